package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// unframedReply returns a reply with neither a length nor chunks.
func unframedReply(size int) func() (*ServiceReply, error) {
	return func() (*ServiceReply, error) {
		return &ServiceReply{
			Status: http.StatusOK, Header: http.Header{}, Length: -1, Rest: io.NopCloser(bytes.NewReader(make([]byte, size))),
		}, nil
	}
}

// Guards against a part of a service's unframed reply that counts as whole, and as the stored reply of its key, because the service ended in the middle of it.
func TestUnframedReplyOfEndedServiceIsNotWhole(t *testing.T) {
	b := newFixture(testOptions("r1"), serviceEndpoint("s1"))
	b.services.endpointsGone = true
	b.services.reply["s1"] = unframedReply(4)
	for _, key := range []string{"", "k"} {
		reply, refusal := b.call(http.MethodPost, key, key == "")
		if refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Errorf("key %q: got %+v, refusal %+v, want outcome unknown", key, reply, refusal)
		}
	}
}

// Guards against the same where the reply is passed on while it is read.
func TestLongUnframedReplyOfEndedServiceBreaksOff(t *testing.T) {
	b := newFixture(testOptions("r1"), serviceEndpoint("s1"))
	b.services.endpointsGone = true
	b.services.reply["s1"] = unframedReply(maxBufferedReply + 10)
	reply, refusal := b.call(http.MethodGet, "", false)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if n, err := io.Copy(io.Discard, reply.Rest); err == nil {
		t.Errorf("the last %d bytes end as a whole reply", n)
	}
	if err := reply.Rest.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against an idempotent call that isn't repeated where the service that answered has ended.
func TestCallIsRepeatedAfterUnframedReplyOfEndedService(t *testing.T) {
	b := newFixture(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"))
	b.services.endpointsGone = true
	cut := unframedReply(4)
	answered := 0
	b.scriptBoth(func() (*ServiceReply, error) {
		if answered++; answered == 1 {
			return cut()
		}
		return okReply("whole")()
	})
	if reply, refusal := b.call(http.MethodGet, "", false); refusal != nil || string(reply.Body) != "whole" {
		t.Errorf("got %+v, refusal %+v", reply, refusal)
	}
}

// Guards against whole unframed replies that are dropped.
func TestUnframedReplyOfServingServiceIsWhole(t *testing.T) {
	for _, size := range []int{0, 4, maxBufferedReply + 10} {
		b := newFixture(testOptions("r1"), serviceEndpoint("s1"))
		b.services.reply["s1"] = unframedReply(size)
		reply, refusal := b.call(http.MethodPost, "", true)
		if refusal != nil {
			t.Fatalf("%d bytes: %+v", size, refusal)
		}
		got := int64(len(reply.Body))
		if reply.Rest != nil {
			rest, err := io.Copy(io.Discard, reply.Rest)
			if _, again := reply.Rest.Read(make([]byte, 1)); !errors.Is(again, io.EOF) {
				t.Errorf("%d bytes: %v after the end", size, again)
			}
			if err = errors.Join(err, reply.Rest.Close()); err != nil {
				t.Errorf("%d bytes: %v", size, err)
			}
			got += rest
		}
		if got != int64(size) {
			t.Errorf("got %d bytes of %d", got, size)
		}
	}
}
