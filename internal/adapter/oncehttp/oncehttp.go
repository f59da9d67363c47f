// Package oncehttp sends an HTTP request to an endpoint at most once, and
// reports whether any byte of it left this process.
package oncehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
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
	// ReceiveBytes is the receive buffer of each connection, see tcpopt.Buffers; zero
	// means the system's default.
	ReceiveBytes int
	// IDHeader is the header that names each request, for PreviousID; empty for none.
	IDHeader string
	// DisableKeepAlives disables the reuse of connections.
	DisableKeepAlives bool
	// KeepStated closes an unused connection before the time that its server states in
	// Keep-Alive. Repeatable requests reuse connections for up to that time, and at most
	// maxKeep, in place of IdleTimeout.
	KeepStated bool
}

const (
	// maxKeep bounds the time for which connections for repeatable requests are kept.
	maxKeep = 30 * time.Second
	// keptConnections is the number of unused connections per address that are kept for
	// repeatable requests.
	keptConnections = 1
)

// DefaultIdleTimeout is how long an unused connection is kept.
const DefaultIdleTimeout = 30 * time.Second

// Client sends each request at most once. It doesn't follow redirects, because
// their target is not an endpoint of the system.
type Client struct {
	keepStated  bool
	idleTimeout time.Duration
	idHeader    string
	// once sends the requests that must not be lost, repeatable those that may be. It is
	// nil without KeepStated.
	once, repeatable *pool
}

// pool is a transport with its connections.
type pool struct {
	transport *http.Transport
	conns     connections
}

// New returns a client.
func New(o Options) *Client {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	c := &Client{keepStated: o.KeepStated, idleTimeout: o.IdleTimeout, idHeader: o.IDHeader, once: newPool(o, 0)}
	if o.KeepStated {
		kept := o
		kept.IdleConnections, kept.IdleTimeout = keptConnections, max(maxKeep, o.IdleTimeout)
		c.repeatable = newPool(kept, o.IdleTimeout)
	}
	return c
}

// newPool returns a pool whose connections may be unused for the given time until their
// server states another one; zero means no limit but IdleTimeout.
func newPool(o Options, keepFor time.Duration) *pool {
	dialer := tcpopt.EndpointDialer(o.DialTimeout)
	if o.ReceiveBytes > 0 {
		dialer.Control = tcpopt.Buffers{ReceiveBytes: o.ReceiveBytes}.Control
	}
	if ip := net.ParseIP(o.LocalAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	p := &pool{conns: connections{idle: make(map[string]int)}}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: httpstrict.NewConn(c), pool: &p.conns, address: address, keepFor: keepFor}, nil
		},
		MaxIdleConnsPerHost:    o.IdleConnections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
		DisableKeepAlives:      o.DisableKeepAlives,
	}
	return p
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
	return c.do(c.once, r, body, observe)
}

// DoRepeatable is Do for a request that does no harm if it is lost and sent again. With
// Options.KeepStated it may use a connection that was unused for longer than IdleTimeout.
func (c *Client) DoRepeatable(r *http.Request, body []byte, observe Observer) (*http.Response, error) {
	if c.repeatable == nil || c.once.conns.hasIdle(r.URL.Host) {
		return c.do(c.once, r, body, observe)
	}
	return c.do(c.repeatable, r, body, observe)
}

// HasIdle reports whether an unused connection to the address is kept.
func (c *Client) HasIdle(address string) bool {
	return c.once.conns.hasIdle(address) || c.repeatable != nil && c.repeatable.conns.hasIdle(address)
}

// maxTakes bounds the connections that one request takes in the moment in which they are
// closed because they were unused for too long.
const maxTakes = 3

func (c *Client) do(p *pool, r *http.Request, body []byte, observe Observer) (*http.Response, error) {
	for take := 1; ; take++ {
		resp, expired, err := c.try(p, r, body, observe)
		if !expired || take == maxTakes {
			return resp, err
		}
	}
}

// try sends the request over one connection. expired means that this had been closed
// before anything was sent.
func (c *Client) try(p *pool, r *http.Request, body []byte, observe Observer) (resp *http.Response, expired bool, err error) {
	sent := sentTrace{observe: observe, id: r.Header.Get(c.idHeader)}
	ctx, exchange := httpstrict.Begin(r.Context())
	r = r.WithContext(httptrace.WithClientTrace(ctx, sent.clientTrace()))
	r.Body = io.NopCloser(onlyReader{bytes.NewReader(body)})
	r.GetBody = nil
	r.ContentLength = int64(len(body))
	resp, err = p.transport.RoundTrip(r)
	if err == nil {
		if err = exchange.Check(resp); err != nil {
			sent.closeConnection()
			_ = resp.Body.Close()
		}
	}
	if err == nil {
		c.limitKeepTime(p, &sent, resp.Header)
		sent.observeAnswer()
		resp.Body = &responseBody{ReadCloser: resp.Body, sent: &sent}
		return resp, false, nil
	}
	if sent.responded.Load() {
		err = fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if sent.nothingSent() {
		conn := sent.conn.Load()
		return nil, conn != nil && conn.hasExpired(), merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	return nil, false, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
}

// responseBody is the body of a response, with the request that it came for.
type responseBody struct {
	io.ReadCloser
	sent *sentTrace
}

// CloseConnection closes the connection on which a response of a Client came, so that no
// later request gets what still arrives on it. The connection is left open if another request
// has taken it already.
func CloseConnection(res *http.Response) {
	if body, ok := res.Body.(*responseBody); ok {
		body.sent.closeConnection()
	}
}

// closeConnection closes the connection of a request unless another request uses it.
func (t *sentTrace) closeConnection() {
	if conn := t.conn.Load(); conn != nil {
		conn.abandon(t)
	}
}

// PreviousID returns the id of the request that the connection of a response carried before,
// whose own response may be late; empty for none.
func PreviousID(res *http.Response) string {
	body, ok := res.Body.(*responseBody)
	if !ok {
		return ""
	}
	conn := body.sent.conn.Load()
	if conn == nil {
		return ""
	}
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	return body.sent.previousID
}

// limitKeepTime applies the time that the server states in Keep-Alive to the connection.
func (c *Client) limitKeepTime(p *pool, sent *sentTrace, h http.Header) {
	conn := sent.conn.Load()
	if !c.keepStated || conn == nil {
		return
	}
	stated := statedKeepTime(h)
	switch {
	case p == c.repeatable && stated > 0:
		conn.setKeepFor(min(stated, maxKeep))
	case p == c.repeatable:
		conn.setKeepFor(c.idleTimeout)
	case stated > 0:
		conn.setKeepFor(min(stated, c.idleTimeout))
	}
}

// CloseIdle closes the connections kept for reuse.
func (c *Client) CloseIdle() {
	c.once.transport.CloseIdleConnections()
	if c.repeatable != nil {
		c.repeatable.transport.CloseIdleConnections()
	}
}

// onlyReader hides the methods with which a body could be rewound.
type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// sentTrace detects whether a request sent any bytes, by comparing its
// connection's byte count before and after the request.
type sentTrace struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
	// undetermined is set if the bytes sent can't be determined.
	undetermined atomic.Bool
	// reused is set if the connection had been used before.
	reused atomic.Bool
	// responded is set once a byte of the response has come.
	responded atomic.Bool
	observe   Observer
	// id names the request, and previousID the one that the connection carried before.
	id, previousID string
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
	return &httptrace.ClientTrace{ConnectDone: t.connectDone, PutIdleConn: t.putIdleConn, GotFirstResponseByte: func() { t.responded.Store(true) }, GotConn: func(info httptrace.GotConnInfo) {
		t.reused.Store(info.Reused)
		c, ok := info.Conn.(*countedConn)
		if !ok || t.conn.Load() != nil {
			// If a second connection is used, the first may have sent bytes.
			t.undetermined.Store(true)
			return
		}
		t.before.Store(c.written.Load())
		t.conn.Store(c)
		c.take(t)
	}}
}

func (t *sentTrace) putIdleConn(err error) {
	if c := t.conn.Load(); c != nil && err == nil {
		c.putBack(t)
	}
}

func (t *sentTrace) nothingSent() bool {
	if t.undetermined.Load() {
		return false
	}
	c := t.conn.Load()
	return c == nil || c.written.Load() == t.before.Load()
}
