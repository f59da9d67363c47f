package caller_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
)

// Guards against a part of a reply that counts as whole although its router reset the connection with the call unread.
func TestPartOfUnframedReplyIsNoReply(t *testing.T) {
	address := rawserver.Serve(t, rawserver.Part("HTTP/1.1 200 OK\r\n\r\npart"))
	call := &caller.ServiceCall{Service: "s", Path: "/", Method: http.MethodPut, Body: make([]byte, rawserver.UploadBytes)}
	if reply, err := caller.New("k", "o", nil).Service(t.Context(), address, call); err == nil {
		t.Errorf("status %d with %q is a reply", reply.Status, reply.Body)
	}
}

// Guards against a reply that counts as whole where its reader stopped, because it is larger than that reads.
func TestReplyThatIsTooLargeIsNoReply(t *testing.T) {
	address := rawserver.Serve(t, rawserver.Text(rawserver.Sound.With("", strings.Repeat("x", 9<<20))))
	if reply, err := caller.New("k", "o", nil).RequestState(t.Context(), address, "r"); err == nil {
		t.Errorf("%d bytes are a reply", len(reply.Body))
	}
}
