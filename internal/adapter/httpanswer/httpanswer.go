// Package httpanswer reads complete HTTP responses and fails if they stall. It
// is used by clients of object stores and doesn't interpret the responses.
package httpanswer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/core/reply"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ErrStalled is returned if the response doesn't start or continue in time.
var ErrStalled = merry.Sentinel("http: the answer doesn't come")

// maxBodyTime limits a response that keeps arriving but never ends. It suffices
// for a list of one megabyte over a link of 1 Mbit/s.
const maxBodyTime = 10 * time.Second

// Bounds are the limits of one response.
type Bounds struct {
	// StartTimeout limits the wait for a connection, and then that for the start of the
	// response, IdleTimeout the wait for each further part of it.
	StartTimeout, IdleTimeout time.Duration
	// MaxBytes limits the size of the body; httpstrict.ErrTooLarge is returned for larger ones.
	MaxBytes int64
}

// Answer is a response with its complete body.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends each request over a connection of its own, because a store's responses don't
// name the call that they answer: a late one would be read as the answer to the next call.
type Client struct {
	client *http.Client
}

// NewClient returns a client that connects with the dialer.
func NewClient(dialer *net.Dialer) *Client {
	return &Client{client: &http.Client{
		Transport: httpstrict.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
		// Following a redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request and reads the complete response. It returns port.ErrForeignAnswer for one
// that may be that to another request. The time limits apply to the progress of the response:
// with a short limit on the total time, every attempt to read a large response over a slow link
// would be cut off before its end.
func (c *Client) Do(r *http.Request, b Bounds) (*Answer, error) {
	ctx, cancel := context.WithTimeoutCause(r.Context(), b.StartTimeout+maxBodyTime, ErrStalled)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	stalled := time.AfterFunc(b.StartTimeout, func() { cancelCause(ErrStalled) })
	defer stalled.Stop()
	var reused atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reused.Store(info.Reused)
		// The time to connect is limited by the dialer.
		stalled.Reset(b.StartTimeout)
	}}
	a, err := read(c.client, r.WithContext(httptrace.WithClientTrace(ctx, &trace)), b.MaxBytes, func() { stalled.Reset(b.IdleTimeout) })
	switch cause := context.Cause(ctx); {
	case err != nil && cause != nil:
		return nil, cause
	case err != nil:
		return nil, err
	}
	head := port.Reply{Status: a.Status, Identity: port.IdentityNone, Reused: reused.Load()}
	if err := reply.Check(&head, reply.ByConnection); err != nil {
		return nil, err
	}
	return a, nil
}

func read(client *http.Client, r *http.Request, maxBytes int64, onProgress func()) (*Answer, error) {
	res, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	onProgress()
	body, err := httpstrict.ReadAll(&progressReader{Reader: res.Body, onProgress: onProgress}, maxBytes)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// progressReader calls a function after each read that returns data.
type progressReader struct {
	io.Reader
	onProgress func()
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.onProgress()
	}
	return n, err
}
