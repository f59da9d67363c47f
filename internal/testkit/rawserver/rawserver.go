// Package rawserver serves HTTP for tests of clients that must withstand broken responses: a
// test writes the bytes of each response and decides how its connection ends.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Answer answers a request, whose body may be unread. It returns false if the connection is to
// be closed, which resets it if bytes of the request have arrived that were not read.
type Answer func(conn *net.TCPConn, r *http.Request) (keep bool)

// headBytes bounds what is read of a connection beyond the head of a request.
const headBytes = 16

// Serve starts a server and returns its address.
func Serve(t testing.TB, answer Answer) string {
	t.Helper()
	return Listen(t, func(conn *net.TCPConn) { serveConnection(conn, answer) })
}

// Listen starts a server that handles each connection as it wants, and returns its address.
func Listen(t testing.TB, handle func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func serveConnection(conn *net.TCPConn, answer Answer) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, headBytes)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !answer(conn, r) {
			return
		}
	}
}

// Server is a server that answers each request with the Answer set last, so that many responses
// can be played at one address.
type Server struct {
	Address string
	answer  atomic.Value
}

// Start starts a server, for which Set must be called before the first request.
func Start(t testing.TB) *Server {
	t.Helper()
	s := &Server{}
	s.Address = Serve(t, func(conn *net.TCPConn, r *http.Request) bool { return s.answer.Load().(Answer)(conn, r) })
	return s
}

// Set sets the answer to the next requests.
func (s *Server) Set(answer Answer) { s.answer.Store(answer) }

// Text returns an Answer that reads the request and sends the response, which ends with its
// connection.
func Text(response string) Answer {
	return func(conn *net.TCPConn, r *http.Request) bool {
		// An error shows with the next request.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, response)
		return false
	}
}

// UploadBytes is the size of a request that the buffers of a connection don't hold.
const UploadBytes = 16 << 20

const (
	// endDelay is the time between the end of a part and the reset of its connection.
	endDelay = 100 * time.Millisecond
	// resetDelay is the time between a response and the reset of its connection.
	resetDelay = time.Millisecond
)

// Part returns an Answer that sends the response and ends its side of the connection, which it
// then resets with the request unread.
func Part(response string) Answer {
	return func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, response)
		_ = conn.CloseWrite()
		time.Sleep(endDelay)
		return false
	}
}

// Reset returns an Answer that reads the request, sends the response and resets the connection
// once the response has arrived.
func Reset(response string) Answer {
	return func(conn *net.TCPConn, r *http.Request) bool {
		// An error shows with the next request.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, response)
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
		return false
	}
}
