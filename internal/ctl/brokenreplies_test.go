package ctl

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
)

// Guards against a change that counts as made by a part of a reply whose keeper reset the connection with the change unread.
func TestPartOfUnframedReplyIsNoReply(t *testing.T) {
	address := rawserver.Serve(t, rawserver.Part("HTTP/1.1 200 OK\r\n\r\n"))
	ctl := newClient(&Connection{Keepers: []string{address}, Timeout: 10 * time.Second})
	got, err := ctl.callKeeper(t.Context(), &request{method: http.MethodPut, path: "/", body: make([]byte, rawserver.UploadBytes)})
	if !errors.Is(err, ErrUnknown) {
		t.Errorf("got %+v, %v, want ErrUnknown", got, err)
	}
}

// Guards against a change that counts as made, or as refused, by a reply that isn't valid.
func TestInvalidReplyIsNoReply(t *testing.T) {
	server := rawserver.Start(t)
	ctl := newClient(&Connection{Keepers: []string{server.Address}, Timeout: 10 * time.Second})
	for _, response := range slices.Concat(rawserver.InvalidFields, rawserver.InvalidTrailers, rawserver.InvalidStatuses,
		rawserver.InvalidStatusLines, rawserver.InvalidFramings, rawserver.InvalidChunks) {
		server.Set(rawserver.Text(response.With("", "{}")))
		if got, err := ctl.callKeeper(t.Context(), &request{method: http.MethodPut, path: "/"}); !errors.Is(err, ErrUnknown) {
			t.Errorf("%q: got %+v, %v, want ErrUnknown", response, got, err)
		}
	}
}
