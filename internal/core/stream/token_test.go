package stream

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
)

var (
	keyA = []byte("0123456789abcdef")
	keyB = []byte("fedcba9876543210")
)

func sampleToken() Token {
	return Token{
		EndpointID: "e1", Address: "127.0.0.1:8001", Incarnation: 7,
		Generation: "router-1.x.1", Organisation: "kegsetu",
	}
}

func TestTokenRoundTrip(t *testing.T) {
	text := NewTokens(keyA).Encode(sampleToken())
	got, err := NewTokens(keyB, keyA).Decode(text, "kegsetu")
	if err != nil || got != sampleToken() {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// A caller that could forge a token could make routers connect to an address of its
// choice, or read the answer of another organisation.
func TestForgedAndForeignTokensAreRefused(t *testing.T) {
	tokens := NewTokens(keyA)
	text := tokens.Encode(sampleToken())
	if _, err := tokens.Decode(text, "bayani"); !errors.Is(err, ErrForeignToken) {
		t.Fatalf("token of another organisation: got %v", err)
	}
	if _, err := NewTokens(keyB).Decode(text, "kegsetu"); !errors.Is(err, ErrBadToken) {
		t.Fatalf("signed with another key: got %v", err)
	}
	for i := range len(text) {
		replacement := "A"
		if text[i] == 'A' {
			replacement = "B"
		}
		changed := text[:i] + replacement + text[i+1:]
		if _, err := tokens.Decode(changed, "kegsetu"); err == nil {
			t.Fatalf("a token with character %d changed was accepted", i)
		}
	}
}

func TestTokenAddressMustBeNumeric(t *testing.T) {
	tok := sampleToken()
	tok.Address = "example.org:80"
	tokens := NewTokens(keyA)
	if _, err := tokens.Decode(tokens.Encode(tok), "kegsetu"); !errors.Is(err, ErrBadToken) {
		t.Fatalf("got %v", err)
	}
}

func TestEventIDs(t *testing.T) {
	text, index, err := SplitEventID(EventID("abc", 12))
	if err != nil || text != "abc" || index != 12 {
		t.Fatalf("got %q %d %v", text, index, err)
	}
	for _, bad := range []string{"", "abc", "abc:", "abc:-1", "abc:x", "abc:99999999999", "abc:1:2"} {
		if _, _, err := SplitEventID(bad); err == nil {
			t.Errorf("event id %q was accepted", bad)
		}
	}
}

func FuzzTokenDecode(f *testing.F) {
	tokens := NewTokens(keyA)
	good := tokens.Encode(sampleToken())
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add("")
	f.Add("AAAA")
	f.Add(strings.Repeat("A", MaxTokenBytes+1))
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := tokens.Decode(text, "kegsetu")
		if err != nil {
			return
		}
		if reencoded := tokens.Encode(tok); reencoded != text {
			t.Fatalf("%q decodes, but encodes as %q", text, reencoded)
		}
	})
}

// FuzzSignedTokenDecode checks that a correctly signed document, which an older or
// newer router may have written, is either refused or decoded completely.
func FuzzSignedTokenDecode(f *testing.F) {
	tokens := NewTokens(keyA)
	f.Add([]byte{0x30, 0x00})
	f.Add([]byte{0x30, 0x84, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, document []byte) {
		text := base64.RawURLEncoding.EncodeToString(append(mac(keyA, document), document...))
		tok, err := tokens.Decode(text, "kegsetu")
		if err != nil {
			return
		}
		if tok.Organisation != "kegsetu" || tok.Address == "" {
			t.Fatalf("%x decodes as %+v", document, tok)
		}
	})
}
