// Package latereply serves HTTP for tests of clients that must not take a late response for
// the answer to a later request.
package latereply

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
)

// Serve starts an endpoint that sends each response a second time on its connection, before
// the response to the next request. answer returns the whole response to a request. Serve
// returns the endpoint's address.
func Serve(t *testing.T, answer func(r *http.Request) string) string {
	t.Helper()
	return rawserver.Listen(t, func(c *net.TCPConn) { serveConnection(c, answer) })
}

func serveConnection(c net.Conn, answer func(r *http.Request) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := answer(r)
		if _, err := io.WriteString(c, late+response); err != nil {
			return
		}
		late = response
	}
}
