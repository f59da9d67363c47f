package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
)

// maxReplyBytes bounds the body of a reply.
const maxReplyBytes = 64 << 20

// reply is a daemon's HTTP response with its body read.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r *reply) decode(out any) error {
	return merry.Prepend(json.Unmarshal(r.body, out), "cannot decode the daemon's reply")
}

// problemReply is the body of a refusal. Winner is the record in force, for a
// conflict that reports it.
type problemReply struct {
	Title      string           `json:"title"`
	Detail     string           `json:"detail"`
	Reason     string           `json:"reason"`
	Outcome    string           `json:"outcome"`
	Field      string           `json:"field"`
	DecisionID string           `json:"decision_id"`
	Winner     *versionedRecord `json:"winner"`
}

// text joins the field, the detail and the reason. It leaves out the field if
// the detail starts with it, and falls back to the title.
func (p *problemReply) text() string {
	parts := []string{}
	for _, s := range []string{p.Field, p.Detail, p.Reason} {
		if s != "" && !(s == p.Field && strings.HasPrefix(p.Detail, s)) {
			parts = append(parts, s)
		}
	}
	if len(parts) == 0 {
		return p.Title
	}
	return strings.Join(parts, ": ")
}

// request is an HTTP request to a daemon, without the address.
type request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

func (r *request) isWrite() bool { return r.method != http.MethodGet }

type client struct {
	conn *Connection
	http *http.Client
}

// newClient returns a client that makes each request over a connection of its own, because
// replies don't name the request that they answer.
func newClient(c *Connection) *client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return &client{conn: c, http: &http.Client{Timeout: c.Timeout, Transport: httpstrict.NewTransport(transport)}}
}

// callKeeper sends the request to the keepers in turn until one replies with a
// status other than 503. It stops at a missing authorisation, and sends a write
// that may have taken effect to no other keeper.
func (c *client) callKeeper(ctx context.Context, r *request) (*reply, error) {
	if len(c.conn.Keepers) == 0 {
		return nil, withAdvice(merry.Append(ErrUsage, "no keeper is known"),
			"pass --keeper IP:PORT, set DRAGONFLYCTL_KEEPERS, or list the keepers in the --config file")
	}
	var lastErr error
	for _, address := range c.conn.Keepers {
		got, err := c.do(ctx, address, r)
		if err == nil && got.status != http.StatusServiceUnavailable {
			return got, checkStatus(r, got)
		}
		if err == nil {
			err = checkStatus(r, got)
		}
		if errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnauthorized) {
			return nil, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// do sends a request to one daemon. If no complete response arrives, it
// returns ErrUnknown for a write that may have taken effect, else ErrUnavailable.
func (c *client) do(ctx context.Context, address string, r *request) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, merry.Append(ErrUsage, err.Error())
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+c.conn.Token)
	}
	if c.conn.Actor != "" {
		req.Header.Set("From", c.conn.Actor)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, c.transportError(address, r, err)
	}
	defer res.Body.Close()
	body, err := httpstrict.ReadAll(res.Body, maxReplyBytes)
	if err != nil {
		return nil, c.transportError(address, r, err)
	}
	return &reply{status: res.StatusCode, header: res.Header, body: body}, nil
}

// transportError wraps the error of a request without a complete response. A
// write may have taken effect unless the connection could not be opened.
func (c *client) transportError(address string, r *request, err error) error {
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	if r.isWrite() && !notSent {
		return withAdvice(merry.Appendf(ErrUnknown, "%s: %v", address, err),
			"the change may be in force: check with `dragonflyctl get` or `dragonflyctl why configuration` before trying again")
	}
	return withAdvice(merry.Appendf(ErrUnavailable, "%s: %v", address, err),
		"check that the daemon is running and that the address is its admin listener; nothing was changed")
}

// checkStatus turns a reply with an error status into an error with advice.
// The statuses 412 and 409 mean a conflict. A 504 to a write leaves its outcome
// unknown, while a 504 to a read changed nothing.
func checkStatus(sent *request, r *reply) error {
	if r.status < 300 {
		return nil
	}
	var p problemReply
	// If the body isn't a problem document, the error names the status instead.
	_ = json.Unmarshal(r.body, &p)
	text := p.text()
	if text == "" {
		text = http.StatusText(r.status)
	}
	if r.status == http.StatusGatewayTimeout && !sent.isWrite() {
		return withAdvice(merry.Append(ErrUnavailable, text), "the platform did not answer in time; try again in a second")
	}
	switch r.status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return withAdvice(ErrUnauthorized, "pass the token with --token, DRAGONFLYCTL_TOKEN or admin_token in the --config file")
	case http.StatusNotFound:
		return withAdvice(merry.Append(ErrNotFound, text), "list the existing records with `dragonflyctl list`")
	case http.StatusPreconditionFailed, http.StatusConflict:
		return conflictError(&p)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return withAdvice(merry.Append(ErrUnavailable, text), "nothing was changed; try again in a second, or at another keeper")
	case http.StatusGatewayTimeout:
		return withAdvice(merry.Append(ErrUnknown, text),
			"the change may be in force: search for write id "+p.DecisionID+" with `dragonflyctl why configuration` before trying again")
	}
	if r.status < http.StatusInternalServerError {
		return withAdvice(merry.Append(ErrRefused, text), "correct the named field or condition and try again; nothing was changed")
	}
	return merry.Errorf("status %d: %s", r.status, text)
}

func conflictError(p *problemReply) error {
	err := merry.Append(ErrConflict, p.text())
	if p.Winner == nil {
		return withAdvice(err, "read the record again and repeat the change; nothing was changed")
	}
	err = merry.Appendf(ErrConflict, "the record is now at version %d: %s", p.Winner.Version, compact(p.Winner.Document))
	return withAdvice(err, "compare with `dragonflyctl diff -f FILE` and repeat the change; nothing was changed")
}
