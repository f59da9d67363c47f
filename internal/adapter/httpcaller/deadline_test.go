package httpcaller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// Guards against a caller that opens a stream and never reads: once the
// buffers in between are full, a write would block for as long as the
// connection is open and occupy the run's slot. The write deadline ends it.
func TestWriteTimeoutEndsStreamOfNonReadingCaller(t *testing.T) {
	ended := make(chan error, 1)
	a := &fakeApplication{generate: func(answer router.FrameWriter) *router.Refusal {
		f := port.Frame{Generation: "g", Text: strings.Repeat("t", 32<<10)}
		for ; ; f.Index++ {
			err := answer.WriteFrame("token", &f)
			if err == nil {
				err = answer.Flush()
			}
			if err != nil {
				ended <- err
				return nil
			}
		}
	}}
	server := serveWithTimeouts(t, a, testTimeout, 50*time.Millisecond)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := `{"model":"m","prompt":"p","stream":true}`
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("a write to a caller that never reads still blocks")
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
}
