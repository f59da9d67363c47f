// Package oncehttp sends an HTTP request to an endpoint at most once, and
// tells whether any byte of it left this process.
package oncehttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// bufferBytes is each connection's read and write buffer. Every open stream
// holds both, and its events are small.
const bufferBytes = 1 << 10

// Options of a client.
type Options struct {
	// DialTimeout bounds a connect.
	DialTimeout time.Duration
	// IdleConnections per endpoint are kept for reuse, each for IdleTimeout;
	// zero is DefaultIdleTimeout.
	IdleConnections int
	IdleTimeout     time.Duration
	// Fresh has each request sent over a connection of its own.
	Fresh bool
}

// DefaultIdleTimeout is how long an unused connection is kept.
const DefaultIdleTimeout = 30 * time.Second

// Client sends each request at most once. It follows no redirect, as the
// place that a redirect names is not an endpoint of the system.
type Client struct {
	transport *http.Transport
}

// New returns a client.
func New(o Options) *Client {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	dialer := net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    o.IdleConnections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
		DisableKeepAlives:      o.Fresh,
	}}
}

// Do sends the request with the body, which may be empty. It fails with
// port.ErrNotSent where no byte left this process, else port.ErrEndpointLost.
//
// http.Transport replays a request by itself when a kept-alive connection
// turns out dead: one with an idempotent method or an Idempotency-Key header,
// and a body that it can rewind or none. The endpoint may have run the first
// copy, so the caller would see one answer and the ledger two entries. The
// body given here is never nil and can't be rewound, which net/http takes as
// not replayable whatever the method and headers are.
func (c *Client) Do(r *http.Request, body []byte) (*http.Response, error) {
	var sent sentTrace
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), sent.hooks()))
	r.Body = io.NopCloser(onlyReader{bytes.NewReader(body)})
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	resp, err := c.transport.RoundTrip(r)
	if err == nil {
		return resp, nil
	}
	if sent.nothing() {
		return nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	return nil, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
}

// CloseIdle closes the connections kept for reuse.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// onlyReader hides the methods by which a body could be rewound.
type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// countedConn counts the bytes given to the kernel.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	// Counted before the write: a write that fails may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// sentTrace compares a connection's count before and after one request.
type sentTrace struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	// unsure is set where the connection can't be watched.
	unsure atomic.Bool
}

func (t *sentTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*countedConn)
		if !ok || t.conn.Load() != nil {
			// A second connection means that the first may have sent.
			t.unsure.Store(true)
			return
		}
		t.before.Store(c.written.Load())
		t.conn.Store(c)
	}}
}

func (t *sentTrace) nothing() bool {
	if t.unsure.Load() {
		return false
	}
	c := t.conn.Load()
	return c == nil || c.written.Load() == t.before.Load()
}
