package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/asn1"
	"encoding/base64"
	"net/netip"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of resume tokens. They are all that is disclosed to a caller.
var (
	ErrBadToken     = merry.Sentinel("stream: the resume token is not valid")
	ErrForeignToken = merry.Sentinel("stream: the resume token belongs to another organisation")
)

// Bounds of a resume token.
const (
	MaxTokenBytes = 1024
	macBytes      = 16
	tokenVersion  = 1
	// MaxIndex is the maximum token index in an event id.
	MaxIndex = 1 << 30
)

// Token contains what a router needs to resume a run that it did not handle
// before.
type Token struct {
	EndpointID   string
	Address      string
	Incarnation  uint64
	Generation   string
	Organisation string
}

// tokenDocument is the encoded form of a token. The encoding is DER, which is
// compact and canonical.
type tokenDocument struct {
	Version      int
	EndpointID   string `asn1:"utf8"`
	Address      string `asn1:"utf8"`
	Incarnation  int64
	Generation   string `asn1:"utf8"`
	Organisation string `asn1:"utf8"`
}

// Tokens issues and verifies resume tokens. A token contains the address that a
// router connects to. Without the message authentication code a caller could make
// routers connect to an address of its choice, or read the generation of another
// caller. Only the routers know the keys.
type Tokens struct {
	keys [][]byte
}

// NewTokens returns Tokens that sign with the first key and accept tokens signed
// with any of the keys, so that keys can be rotated while old tokens are in use.
func NewTokens(keys ...[]byte) *Tokens { return &Tokens{keys: keys} }

// Encode returns the signed token as text that is safe in a URL path.
func (t *Tokens) Encode(tok Token) string {
	raw, err := asn1.Marshal(tokenDocument{
		Version: tokenVersion, EndpointID: tok.EndpointID, Address: tok.Address,
		Incarnation: int64(tok.Incarnation), Generation: tok.Generation, Organisation: tok.Organisation,
	})
	if err != nil {
		// Marshal fails only on strings that are not UTF-8, and ids are validated
		// before.
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(mac(t.keys[0], raw), raw...))
}

// Decode verifies and decodes a token. It returns ErrForeignToken if the token
// belongs to another organisation.
func (t *Tokens) Decode(text, organisation string) (Token, error) {
	// The base64 decoder ignores line breaks, which would allow several texts
	// for one token.
	if len(text) > MaxTokenBytes || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrBadToken
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return Token{}, ErrBadToken
	}
	if !t.validMAC(raw[:macBytes], raw[macBytes:]) {
		return Token{}, ErrBadToken
	}
	var d tokenDocument
	rest, err := asn1.Unmarshal(raw[macBytes:], &d)
	if err != nil || len(rest) > 0 || d.Version != tokenVersion {
		return Token{}, ErrBadToken
	}
	if _, err := netip.ParseAddrPort(d.Address); err != nil {
		return Token{}, ErrBadToken
	}
	if d.Organisation != organisation {
		return Token{}, ErrForeignToken
	}
	return Token{
		EndpointID: d.EndpointID, Address: d.Address, Incarnation: uint64(d.Incarnation),
		Generation: d.Generation, Organisation: d.Organisation,
	}, nil
}

func (t *Tokens) validMAC(sum, raw []byte) bool {
	for _, key := range t.keys {
		if hmac.Equal(sum, mac(key, raw)) {
			return true
		}
	}
	return false
}

func mac(key, raw []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(raw)
	return h.Sum(nil)[:macBytes]
}

// EventID returns the id of an event sent to a caller: the token and the index,
// separated by a colon.
func EventID(token string, index int) string { return token + ":" + strconv.Itoa(index) }

// SplitEventID splits an event id into its token and index.
func SplitEventID(id string) (token string, index int, err error) {
	token, digits, found := strings.Cut(id, ":")
	if !found {
		return "", 0, ErrBadToken
	}
	index, err = strconv.Atoi(digits)
	if err != nil || index < 0 || index > MaxIndex {
		return "", 0, ErrBadToken
	}
	return token, index, nil
}
