// Package httpplatform is an HTTP client of the platform's object API.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpanswer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits of calls and replies.
const (
	DefaultTimeout = 5 * time.Second
	dialTimeout    = 2 * time.Second
	// MaxValueBytes is the platform's limit on one value.
	MaxValueBytes = 1 << 20
	// maxReplyBytes limits every reply. Only a list comes near it; a single
	// object is far smaller.
	maxReplyBytes = 256 << 20
	// watchSlack is added to the wait of a long poll before the poll is treated
	// as lost.
	watchSlack = 5 * time.Second
)

// Errors of malformed replies and of those about another object. A read then counts as
// unavailable, a write as of unknown outcome.
var (
	errBadReply    = merry.Sentinel("platform: reply makes no sense")
	errOtherObject = merry.Sentinel("platform: reply about another object")
)

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's address, such as http://127.0.0.1:7001.
	BaseURL string
	// Timeout limits the wait for the start of an answer (except for a watch)
	// and for each further part of it; zero means DefaultTimeout.
	Timeout time.Duration
	// Registry holds the call counters; if nil, they are not exported.
	Registry gometrics.Registry
}

// Client implements port.Platform. Each call has a connection of its own, because replies to
// calls that failed name no object, and others may be an older state of theirs.
type Client struct {
	base    string
	timeout time.Duration
	http    *httpanswer.Client
	reads   gometrics.Counter
	writes  gometrics.Counter
	failed  gometrics.Counter
}

var _ port.Platform = (*Client)(nil)

// New returns a client.
func New(o Options) *Client {
	registry := o.Registry
	if registry == nil {
		registry = gometrics.NewRegistry()
	}
	timeout := o.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		base:    strings.TrimSuffix(o.BaseURL, "/"),
		timeout: timeout,
		http:    httpanswer.NewClient(tcpopt.StoreDialer(dialTimeout)),
		reads:   gometrics.GetOrRegisterCounter("platform_reads_total", registry),
		writes:  gometrics.GetOrRegisterCounter("platform_writes_total", registry),
		failed:  gometrics.GetOrRegisterCounter("platform_failures_total", registry),
	}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (port.Object, error) {
	raw, err := c.read(ctx, c.timeout, objectPath(kind, name))
	if err != nil {
		return port.Object{}, err
	}
	o, err := decodeObject(raw, kind, name)
	if err != nil {
		return port.Object{}, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	return o, nil
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]port.Object, port.StoreRevision, error) {
	raw, err := c.read(ctx, c.timeout, "/v1/objects/"+url.PathEscape(kind))
	if err != nil {
		return nil, 0, err
	}
	return decodeListing(raw, kind, 0)
}

// Watch waits for changes of a kind after the given revision.
func (c *Client) Watch(ctx context.Context, kind string, revision port.StoreRevision, wait time.Duration) ([]port.Object, port.StoreRevision, error) {
	query := url.Values{
		"after": {strconv.FormatUint(uint64(revision), 10)},
		"wait":  {wait.String()},
	}
	raw, err := c.read(ctx, wait+watchSlack, "/v1/watch/"+url.PathEscape(kind)+"?"+query.Encode())
	if err != nil {
		return nil, 0, err
	}
	return decodeListing(raw, kind, revision)
}

// Hosts reads the platform's list of hosts, which may lag behind.
func (c *Client) Hosts(ctx context.Context) ([]port.HostEntry, error) {
	raw, err := c.read(ctx, c.timeout, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	return decodeHosts(raw)
}

// Put writes the value if the stored version equals expect.
func (c *Client) Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	if len(value) > MaxValueBytes {
		return port.Object{}, port.ErrTooLarge
	}
	c.writes.Inc(1)
	var sent atomic.Bool
	r, err := c.writeRequest(ctx, &sent, objectPath(kind, name), expect, value)
	if err != nil {
		return port.Object{}, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	status, raw, err := c.do(r, c.timeout)
	if err != nil {
		c.failed.Inc(1)
		return port.Object{}, noReplyError(sent.Load(), err)
	}
	return writeResult(status, raw, kind, name)
}

// writeRequest builds a conditional write that is sent at most once.
//
// The transport retries a request by itself if a kept-alive connection fails
// and the body can be rewound. A retried conditional write would conflict with
// its own first attempt, and a write that took effect would be reported as
// refused. Without GetBody the body can't be rewound, and a PUT without an
// idempotency header is not retried once sent.
func (c *Client) writeRequest(ctx context.Context, sent *atomic.Bool, path string, expect uint64, value json.RawMessage) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	if expect == 0 {
		r.Header.Set("If-None-Match", "*")
		return r, nil
	}
	r.Header.Set("If-Match", `"`+strconv.FormatUint(expect, 10)+`"`)
	return r, nil
}

// noReplyError returns the error of a write without a reply. Once the write had a
// connection, some of its bytes may have been sent, so the outcome is unknown.
func noReplyError(sent bool, err error) error {
	if sent {
		return merry.Prepend(port.ErrOutcomeUnknown, err.Error())
	}
	return merry.Prepend(port.ErrPlatformUnavailable, err.Error())
}

func writeResult(status int, raw []byte, kind, name string) (port.Object, error) {
	switch status {
	case http.StatusOK, http.StatusCreated:
		o, err := decodeObject(raw, kind, name)
		if err != nil {
			return port.Object{}, merry.Prepend(port.ErrOutcomeUnknown, err.Error())
		}
		return o, nil
	case http.StatusPreconditionFailed:
		return conflict(raw, kind, name)
	case http.StatusNotFound:
		return port.Object{}, port.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return port.Object{}, port.ErrTooLarge
	case http.StatusTooManyRequests:
		return port.Object{}, port.ErrThrottled
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusPreconditionRequired:
		return port.Object{}, merry.Prependf(port.ErrPlatformUnavailable, "status %d", status)
	default:
		// A gateway in between may return this after the write took effect.
		return port.Object{}, merry.Prependf(port.ErrOutcomeUnknown, "status %d", status)
	}
}

// conflict returns port.ErrConflict and the stored object, if the reply contains one.
func conflict(raw []byte, kind, name string) (port.Object, error) {
	o, err := decodeObject(raw, kind, name)
	switch {
	case err == nil:
		return o, port.ErrConflict
	case errors.Is(err, errOtherObject):
		return port.Object{}, merry.Prepend(port.ErrOutcomeUnknown, err.Error())
	}
	return port.Object{}, port.ErrConflict
}

func (c *Client) read(ctx context.Context, timeout time.Duration, path string) ([]byte, error) {
	c.reads.Inc(1)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	status, raw, err := c.do(r, timeout)
	if err != nil {
		c.failed.Inc(1)
		return nil, merry.Prepend(port.ErrPlatformUnavailable, err.Error())
	}
	switch status {
	case http.StatusOK:
		return raw, nil
	case http.StatusNotFound:
		return nil, port.ErrNotFound
	case http.StatusGone:
		return nil, port.ErrRevisionGone
	case http.StatusTooManyRequests:
		return nil, port.ErrThrottled
	default:
		c.failed.Inc(1)
		return nil, merry.Prependf(port.ErrPlatformUnavailable, "status %d", status)
	}
}

// do sends a request and reads the answer, which must start within the given
// time.
func (c *Client) do(r *http.Request, startTimeout time.Duration) (int, []byte, error) {
	a, err := c.http.Do(r, httpanswer.Bounds{StartTimeout: startTimeout, IdleTimeout: c.timeout, MaxBytes: maxReplyBytes})
	if err != nil {
		return 0, nil, err
	}
	return a.Status, a.Body, nil
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
