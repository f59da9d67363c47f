// Package httporders implements port.Orderer: it sends placement orders to
// runners over HTTP and reads the runners' actual state.
package httporders

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/oncehttp"
	"github.com/dragonflyrail/dragonflyrail/internal/core/reply"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits of the calls.
const (
	dialTimeout   = 500 * time.Millisecond
	maxReplyBytes = 1 << 20
)

// Client calls runners and sends each order at most once. Each call has a connection of its
// own, because replies don't name the call that they answer. Its errors are
// port.ErrNotSent, port.ErrRefused, port.ErrStaleFence and port.ErrEndpointLost.
type Client struct {
	client *oncehttp.Client
}

var _ port.Orderer = (*Client)(nil)

// New returns a Client.
func New() *Client {
	return &Client{client: oncehttp.New(oncehttp.Options{DialTimeout: dialTimeout, DisableKeepAlives: true})}
}

// Order sends one order. After port.ErrEndpointLost the runner may have accepted
// the order; read its state before sending another.
func (c *Client) Order(ctx context.Context, e port.Endpoint, o port.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	status, _, err := c.call(ctx, http.MethodPost, e, "/v1/orders", body)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return port.ErrStaleFence
	case status < http.StatusInternalServerError:
		return merry.Appendf(port.ErrRefused, "status %d", status)
	default:
		return merry.Appendf(port.ErrEndpointLost, "status %d", status)
	}
}

// State returns the state that the runner itself reports, such as its models.
func (c *Client) State(ctx context.Context, e port.Endpoint) (port.RunnerState, error) {
	var s port.RunnerState
	status, body, err := c.call(ctx, http.MethodGet, e, "/v1/state", nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, merry.Appendf(port.ErrRefused, "status %d", status)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, merry.Append(port.ErrEndpointLost, err.Error())
	}
	return s, nil
}

// call returns the status and the body of the reply to a call.
func (c *Client) call(ctx context.Context, method string, e port.Endpoint, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, http.NoBody)
	if err != nil {
		return 0, nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(r, body, nil)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	if err := oncehttp.CheckHead(res, port.IdentityNone, reply.ByConnection, false); err != nil {
		return 0, nil, err
	}
	raw, err := httpstrict.ReadAll(res.Body, maxReplyBytes)
	if err != nil {
		return 0, nil, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
	}
	return res.StatusCode, raw, nil
}
