package oncehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
)

const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

// writeOrder is a connection on which a failed write is reported only once a read has ended.
type writeOrder struct {
	*net.TCPConn
	// failed is closed once a write has got a reset, before the client learns it.
	failed chan struct{}
	// ended is closed once a read has ended.
	ended chan struct{}
	// hold blocks all writes after the first one until it is closed; nil for none.
	hold   chan struct{}
	writes int
}

func newWriteOrder() *writeOrder {
	return &writeOrder{failed: make(chan struct{}), ended: make(chan struct{})}
}

// idleTime is the time without new bytes after which a server has read all that was sent.
const idleTime = 100 * time.Millisecond

func (c *writeOrder) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		close(c.ended)
	}
	return n, err
}

func (c *writeOrder) Write(p []byte) (int, error) {
	if c.writes++; c.hold != nil && c.writes > 1 {
		<-c.hold
	}
	n, err := c.TCPConn.Write(p)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			close(c.failed)
		}
		<-c.ended
	}
	return n, err
}

// unframedCase is one request with a body, whose response has no length.
type unframedCase struct {
	client *writeOrder
	answer rawserver.Answer
	// beforeRead is called on the client's side before the body of the response is read.
	beforeRead func()
	size       int
}

// read sends the request and reads the response.
func (c *unframedCase) read(t *testing.T) (string, error) {
	t.Helper()
	address := rawserver.Serve(t, c.answer)
	client := New(Options{DialTimeout: testTimeout})
	dial := client.once.transport.DialContext
	client.once.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil && c.client != nil {
			inner := conn.(*countedConn).Conn
			c.client.TCPConn = inner.Conn.(*net.TCPConn)
			inner.Conn = c.client
		}
		return conn, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r := (&http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Header: http.Header{}}).WithContext(ctx)
	res, err := client.Do(r, bytes.Repeat([]byte("u"), c.size), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if c.beforeRead != nil {
		c.beforeRead()
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against a part that counts as a whole body because a write got the connection's reset, so that reading ended without an error.
func TestUnframedBodyIsNotWholeAfterResetThatAWriteGot(t *testing.T) {
	order := newWriteOrder()
	begun := make(chan struct{})
	c := unframedCase{
		client: order, size: rawserver.UploadBytes,
		answer: func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframedHead+"part")
			<-begun
			_ = conn.SetLinger(0)
			return false
		},
		beforeRead: func() { close(begun); <-order.failed },
	}
	if body, err := c.read(t); err == nil {
		t.Errorf("%q is a whole body", body)
	}
}

// Guards against a part that counts as a whole body because its server closed the connection while more of the request was to be written.
func TestUnframedBodyIsNotWholeBeforeItsRequestIsWritten(t *testing.T) {
	order := newWriteOrder()
	order.hold = make(chan struct{})
	c := unframedCase{
		client: order, size: rawserver.UploadBytes,
		answer: func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframedHead+"part")
			// Closing the connection doesn't reset it if all that was sent is read.
			_ = conn.SetReadDeadline(time.Now().Add(idleTime))
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			close(order.hold)
			return false
		},
	}
	if body, err := c.read(t); err == nil {
		t.Errorf("%q is a whole body", body)
	}
}

// Guards against a part that counts as a whole body because its server ended its side before it reset the connection with the request unread.
func TestUnframedBodyIsNotWholeBeforeItsRequestIsReceived(t *testing.T) {
	c := unframedCase{size: rawserver.UploadBytes, answer: rawserver.Part(unframedHead + "part")}
	if body, err := c.read(t); err == nil {
		t.Errorf("%q is a whole body", body)
	}
}

// Guards against whole bodies that are dropped because their server answers before it has read the request.
func TestUnframedBodyIsWholeOnceItsRequestIsReceived(t *testing.T) {
	for _, size := range []int{0, 10, 5000, rawserver.UploadBytes} {
		order := newWriteOrder()
		for name, c := range map[string]unframedCase{
			"read before": {size: size, answer: rawserver.Text(unframedHead + "whole")},
			"read after": {size: size, client: order, answer: func(conn *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(conn, unframedHead+"whole")
				_ = conn.CloseWrite()
				<-order.ended
				_, _ = io.Copy(io.Discard, r.Body)
				return false
			}},
		} {
			if body, err := c.read(t); err != nil || body != "whole" {
				t.Errorf("%s, %d bytes: %q, %v", name, size, body, err)
			}
		}
	}
}
