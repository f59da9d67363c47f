package httpstrict

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.RoundTripper that checks its responses.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base, whose connections it wraps.
func NewTransport(base *http.Transport) *Transport {
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, x := Begin(r.Context())
	res, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := x.Check(res); err != nil {
		x.closeConnection()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that are kept for reuse.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
