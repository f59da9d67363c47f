// Package caller is a client of the callers' API. It looks up entry addresses,
// reads streams, resumes a broken stream at another router, and checks that
// the tokens of an answer are complete and in order.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
)

// Headers of the callers' API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Request-Non-Idempotent"
	HeaderRequestID      = "Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
)

// Errors of this package.
var (
	ErrNoEntry = merry.Sentinel("caller: no router gave an entry address")
	// ErrBroken means that an event of an answer is invalid, or that indexes
	// or the token count show a lost, repeated or foreign token.
	ErrBroken = merry.Sentinel("caller: the answer is broken")
	// ErrCut means that a stream ended early and could not be resumed.
	ErrCut = merry.Sentinel("caller: the stream was cut")
)

const (
	// maxReplyBytes bounds a reply that is read whole.
	maxReplyBytes = 8 << 20
	// DefaultMaxResumes is the default of Client.MaxResumes.
	DefaultMaxResumes = 10
	// DefaultResumePause is the default of Client.ResumePause.
	DefaultResumePause = 100 * time.Millisecond
)

// Entry is the body of a reply to GET /v1/entry.
type Entry struct {
	Addresses      []string `json:"addresses"`
	ValidForMillis int64    `json:"valid_for_ms"`
}

// Client calls the API on behalf of one organisation.
type Client struct {
	// Key is the organisation's bearer key.
	Key string
	// Organisation is sent to /v1/entry.
	Organisation string
	HTTP         *http.Client
	// Seeds are the addresses of the routers at which entry addresses are
	// looked up, in order.
	Seeds []string
	// MaxResumes bounds how often one stream is resumed. ResumePause is the
	// pause before each resume but the first.
	MaxResumes  int
	ResumePause time.Duration
}

// New returns a client with its own connection pool.
func New(key, organisation string, seeds []string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 256
	return &Client{
		Key: key, Organisation: organisation, Seeds: seeds,
		HTTP:       &http.Client{Transport: httpstrict.NewTransport(transport)},
		MaxResumes: DefaultMaxResumes, ResumePause: DefaultResumePause,
	}
}

// Entry returns entry addresses from the first seed that provides them.
func (c *Client) Entry(ctx context.Context, model string) (Entry, error) {
	query := url.Values{"organisation": {c.Organisation}, "model": {model}}
	var lastErr error
	for _, seed := range c.Seeds {
		reply, err := c.do(ctx, http.MethodGet, seed, "/v1/entry?"+query.Encode(), nil, nil)
		if err != nil {
			lastErr = err
			continue
		}
		if reply.Status != http.StatusOK {
			lastErr = merry.Errorf("%s: status %d", seed, reply.Status)
			continue
		}
		var entry Entry
		if err := json.Unmarshal(reply.Body, &entry); err != nil {
			lastErr = err
			continue
		}
		return entry, nil
	}
	return Entry{}, merry.Wrap(ErrNoEntry, merry.WithCause(lastErr))
}

// Reply is a response whose body was read whole.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Problem is set if the body is a problem document.
	Problem *problem.Problem
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service string
	Path    string
	Method  string
	Body    []byte
	// IdempotencyKey is the idempotency key. NonIdempotent forbids running the call
	// twice.
	IdempotencyKey string
	NonIdempotent  bool
}

// Service calls a plain service through the router at address.
func (c *Client) Service(ctx context.Context, address string, call *ServiceCall) (*Reply, error) {
	header := http.Header{}
	if call.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.NonIdempotent {
		header.Set(HeaderNonIdempotent, "true")
	}
	path := "/v1/services/" + url.PathEscape(call.Service) + call.Path
	return c.do(ctx, call.Method, address, path, header, call.Body)
}

// RequestState reads the state of a request from the router at address.
func (c *Client) RequestState(ctx context.Context, address, requestID string) (*Reply, error) {
	return c.do(ctx, http.MethodGet, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
}

func (c *Client) do(ctx context.Context, method, address, path string, header http.Header, body []byte) (*Reply, error) {
	res, err := c.send(ctx, method, address, path, header, body)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	return readReply(res)
}

func (c *Client) send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(r)
}

func readReply(res *http.Response) (*Reply, error) {
	raw, err := httpstrict.ReadAll(res.Body, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	reply := &Reply{Status: res.StatusCode, Header: res.Header, Body: raw}
	if res.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		if json.Unmarshal(raw, &p) == nil {
			reply.Problem = &p
		}
	}
	return reply, nil
}
