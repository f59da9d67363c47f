// Package oncehttp sends an HTTP request to an endpoint at most once, and
// reports whether any byte of it left this process.
package oncehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// bufferBytes is the size of each connection's read buffer and write buffer. It
// is small because every open stream holds both and its events are small.
const bufferBytes = 1 << 10

// Options configures a Client.
type Options struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// IdleConnections is the number of connections per endpoint that are kept
	// for reuse, each for IdleTimeout; an IdleTimeout of zero means
	// DefaultIdleTimeout.
	IdleConnections int
	IdleTimeout     time.Duration
	// LocalAddress is the IP address to connect from; empty for the host's choice.
	LocalAddress string
	// DisableKeepAlives disables the reuse of connections.
	DisableKeepAlives bool
}

// DefaultIdleTimeout is how long an unused connection is kept.
const DefaultIdleTimeout = 30 * time.Second

// Client sends each request at most once. It doesn't follow redirects, because
// their target is not an endpoint of the system.
type Client struct {
	transport *http.Transport
}

// New returns a client.
func New(o Options) *Client {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	dialer := tcpopt.EndpointDialer(o.DialTimeout)
	if ip := net.ParseIP(o.LocalAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
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
		DisableKeepAlives:      o.DisableKeepAlives,
	}}
}

// Observer receives the evidence that a request gives of the path to its endpoint.
type Observer func(evidence port.PathEvidence, err error)

// Do sends the request with the body, which may be empty. It fails with
// port.ErrNotSent if no byte left this process, otherwise with
// port.ErrEndpointLost.
//
// http.Transport retries a request by itself if a kept-alive connection turns
// out to be closed and the request has an idempotent method or an
// Idempotency-Key header, and either no body or one that can be rewound. The
// endpoint may have run the first copy: the caller would see one answer, and
// the request would have run twice. The body set here is never nil and can't be
// rewound, so net/http never retries, whatever the method and headers.
//
// observe receives what the request shows of the path to the endpoint; nil for
// nothing. A connect that fails is also observed if the request uses another
// connection.
func (c *Client) Do(r *http.Request, body []byte, observe Observer) (*http.Response, error) {
	sent := sentTrace{observe: observe}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), sent.clientTrace()))
	r.Body = io.NopCloser(onlyReader{bytes.NewReader(body)})
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	resp, err := c.transport.RoundTrip(r)
	if err == nil {
		sent.observeAnswer()
		return resp, nil
	}
	if sent.nothingSent() {
		return nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	return nil, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
}

// CloseIdle closes the connections kept for reuse.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// onlyReader hides the methods with which a body could be rewound.
type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// countedConn counts the bytes passed to the kernel.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	// Counted before the write, because a failed write may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// sentTrace detects whether a request sent any bytes, by comparing its
// connection's byte count before and after the request.
type sentTrace struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	// undetermined is set if the bytes sent can't be determined.
	undetermined atomic.Bool
	// reused is set if the connection had been used before.
	reused  atomic.Bool
	observe Observer
}

func (t *sentTrace) observeAnswer() {
	switch {
	case t.observe == nil:
	case t.reused.Load():
		t.observe(port.PathAnswered, nil)
	default:
		t.observe(port.PathReached, nil)
	}
}

func (t *sentTrace) connectDone(_, _ string, err error) {
	switch {
	case t.observe == nil, errors.Is(err, context.Canceled):
	case err == nil:
		t.observe(port.PathConnected, nil)
	default:
		t.observe(port.PathConnectFailed, err)
	}
}

func (t *sentTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{ConnectDone: t.connectDone, GotConn: func(info httptrace.GotConnInfo) {
		t.reused.Store(info.Reused)
		c, ok := info.Conn.(*countedConn)
		if !ok || t.conn.Load() != nil {
			// If a second connection is used, the first may have sent bytes.
			t.undetermined.Store(true)
			return
		}
		t.before.Store(c.written.Load())
		t.conn.Store(c)
	}}
}

func (t *sentTrace) nothingSent() bool {
	if t.undetermined.Load() {
		return false
	}
	c := t.conn.Load()
	return c == nil || c.written.Load() == t.before.Load()
}
