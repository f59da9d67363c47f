// Package httpstrict checks the responses that an http.Transport has accepted: net/http is
// more lenient than RFC 9110 and RFC 9112, and takes a body without a length for whole
// whenever reading it ends without an error.
package httpstrict

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// ErrIncomplete means that a body without a length ended with its connection before the server
// had received the whole request, so that nothing shows that the body is whole.
var ErrIncomplete = merry.Sentinel("http: the connection ended before the server had received the request")

// Conn is a client's connection of an http.Transport.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// current is the exchange that uses the connection, or that used it last.
	current *Exchange
}

// NewConn wraps a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// tracked lets a GotConn hook find the Conn in a type that embeds it.
func (c *Conn) tracked() *Conn { return c }

// Read implements net.Conn. It returns ErrIncomplete in place of io.EOF if that would end a
// body that may not be whole.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	x := c.current
	c.mu.Unlock()
	switch {
	case x == nil:
	case n > 0:
		x.record(p[:n])
	case err == io.EOF && x.isEndedByConnection():
		err = x.confirmEnd(c.Conn)
	}
	return n, err
}

// Exchange is one request and its response.
type Exchange struct {
	mu sync.Mutex
	// conn is the connection, nil if it isn't a Conn.
	conn *Conn
	// wrote is closed once the request has been written, or has failed to be, with writeErr.
	wrote    chan struct{}
	writeErr error
	// received is the beginning of what was received until the response is checked.
	received []byte
	checked  bool
	// endedByConnection is set once the response is known to have a body that ends with its
	// connection.
	endedByConnection bool
}

// Begin returns a context with which an http.Transport, whose connections are Conns, reports
// to the exchange.
func Begin(ctx context.Context) (context.Context, *Exchange) {
	x := &Exchange{wrote: make(chan struct{})}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest}), x
}

func (x *Exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(interface{ tracked() *Conn })
	if !ok {
		return
	}
	conn := c.tracked()
	x.mu.Lock()
	if x.conn != nil && isClosed(x.wrote) {
		// net/http sends the request over another connection.
		x.wrote, x.writeErr = make(chan struct{}), nil
	}
	x.conn, x.received = conn, nil
	x.mu.Unlock()
	conn.mu.Lock()
	conn.current = x
	conn.mu.Unlock()
}

func (x *Exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !isClosed(x.wrote) {
		x.writeErr = info.Err
		close(x.wrote)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// closeConnection closes the connection unless another request uses it.
func (x *Exchange) closeConnection() {
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.current == x {
		// The response is dropped, so there is nothing to do about an error.
		_ = conn.Close()
	}
}

// record keeps what was received until the response is checked.
func (x *Exchange) record(p []byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.checked {
		x.received = append(x.received, p[:min(len(p), maxHeadBytes-len(x.received))]...)
	}
}

// Check must be called with the response before its body is read. It returns ErrInvalid if the
// response isn't valid; its connection must not be used again then.
func (x *Exchange) Check(res *http.Response) error {
	x.mu.Lock()
	received := x.received
	x.received, x.checked = nil, true
	x.endedByConnection = res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
	x.mu.Unlock()
	if len(res.TransferEncoding) > 0 {
		res.Body = &checkedBody{ReadCloser: res.Body, res: res}
	}
	return checkHeads(received)
}

func (x *Exchange) isEndedByConnection() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endedByConnection
}

const (
	// minAckPause and maxAckPause limit the time between two looks at what the server's host
	// has acknowledged.
	minAckPause = time.Millisecond
	maxAckPause = 50 * time.Millisecond
)

// confirmEnd returns io.EOF if the end of input of a connection shows that its body is whole.
// The end alone doesn't: a reset is reported once, and if a write gets it, the next read returns
// io.EOF. A server that closes a connection without having read the request also resets it, but
// only once more of the request arrives. So the request must have been received before the end.
// The wait ends at the latest when the connection is closed here.
func (x *Exchange) confirmEnd(c net.Conn) error {
	x.mu.Lock()
	wrote := x.wrote
	x.mu.Unlock()
	<-wrote
	x.mu.Lock()
	err := x.writeErr
	x.mu.Unlock()
	if err != nil {
		return merry.Wrap(ErrIncomplete, merry.WithCause(err))
	}
	for pause := minAckPause; ; pause = min(2*pause, maxAckPause) {
		received, err := isReceived(c)
		switch {
		case err != nil:
			return merry.Wrap(ErrIncomplete, merry.WithCause(err))
		case received:
			return io.EOF
		}
		time.Sleep(pause)
	}
}

// errReset means that the server has reset a connection after it ended its input.
var errReset = merry.Sentinel("http: the server reset the connection")

// isReceived reports whether the server's host has acknowledged all that was written to a
// connection. It fails if the connection was reset or is closed.
func isReceived(c net.Conn) (bool, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return false, err
	}
	switch {
	case infoErr != nil:
		// It isn't a TCP connection; its writes have succeeded.
		return true, nil
	case info.State == unix.BPF_TCP_CLOSE:
		return false, errReset
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
