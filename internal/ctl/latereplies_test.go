package ctl

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/latereply"
)

// A change counts as made, or as refused, by the late second reply to the read before it.
func TestSecondCopyOfReplyIsNotTheNextAnswer(t *testing.T) {
	for _, c := range []struct {
		read, write int
		want        error
	}{{200, 412, ErrConflict}, {404, 200, nil}, {503, 200, nil}} {
		t.Run(fmt.Sprint(c.read, "-", c.write), func(t *testing.T) {
			address := latereply.Serve(t, func(r *http.Request) string {
				status := c.read
				if r.Method == http.MethodPut {
					status = c.write
				}
				return fmt.Sprintf("HTTP/1.1 %d X\r\nETag: \"1\"\r\nContent-Length: 13\r\n\r\n{\"version\":2}", status)
			})
			ctl := newClient(&Connection{Keepers: []string{address}, Timeout: 5 * time.Second})
			// Its result doesn't matter here.
			_, _, _ = ctl.fetch(t.Context(), "pools", "p", 0)
			if _, err := ctl.put(t.Context(), document{"kind": "pools", "name": "p"}, 1); !errors.Is(err, c.want) || c.want == nil && err != nil {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}
