// Package httpservice calls plain services (endpoints that are not model
// engines) over HTTP. It sends each call at most once.
package httpservice

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/oncehttp"
	"github.com/dragonflyrail/dragonflyrail/internal/core/reply"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// maxReportBytes limits the size of a load report.
const maxReportBytes = 64 << 10

// Options configures a Caller.
type Options struct {
	DialTimeout time.Duration
	// LoadTimeout limits the time to read a load report.
	LoadTimeout time.Duration
	// IdleConnections is the number of connections per endpoint that are kept for idempotent
	// calls, and for load reports.
	IdleConnections int
	// Logger is nil for no log.
	Logger *log.Logger
}

// Caller calls plain services.
type Caller struct {
	// once sends each call over a connection of its own: those that must not run twice, those
	// with an idempotency key, whose stored replies name the first call, those to endpoints
	// that don't name the call in their replies, and checks of presence.
	once *oncehttp.Client
	// idempotent sends the other calls.
	idempotent *oncehttp.Client
	naming     naming
	// reports fetches load reports. Its connections carry nothing else, so that a late reply
	// is only an older report.
	reports *oncehttp.Client
	o       Options
}

// New returns a Caller.
func New(o Options) *Caller {
	kept := oncehttp.Options{DialTimeout: o.DialTimeout, IdleConnections: o.IdleConnections, IDHeader: router.HeaderRequestID}
	return &Caller{
		once:       oncehttp.New(oncehttp.Options{DialTimeout: o.DialTimeout, DisableKeepAlives: true}),
		idempotent: oncehttp.New(kept),
		reports:    oncehttp.New(kept),
		o:          o,
	}
}

// forwardedHeaders lists the request headers that are passed to a service. The
// caller's credentials are not among them.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Range", router.HeaderIdempotencyKey, router.HeaderNonIdempotent,
	"Traceparent", "Tracestate",
}

// droppedReplyHeaders lists the reply headers that are not passed to the caller:
// those that apply to a single connection only, and the request ID, which the
// router sets itself.
var droppedReplyHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", router.HeaderRequestID,
}

// Call sends the call at most once. Its errors are port.ErrNotSent and
// port.ErrEndpointLost; the latter is also returned for a reply to another call. The
// caller must close the reply's Rest.
func (c *Caller) Call(ctx context.Context, e port.Endpoint, s *router.ServiceRequest) (*router.ServiceReply, error) {
	r, err := http.NewRequestWithContext(ctx, s.Method, "http://"+e.Address+s.Path, nil)
	if err != nil {
		return nil, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	for _, name := range forwardedHeaders {
		if v := s.Header.Values(name); len(v) > 0 {
			r.Header[name] = v
		}
	}
	r.Header.Set(router.HeaderRequestID, s.RequestID)
	r.Header.Set(router.HeaderOrganisation, s.Organisation)
	resp, err := c.send(r, e, s)
	if err != nil {
		return nil, err
	}
	for _, name := range droppedReplyHeaders {
		resp.Header.Del(name)
	}
	return &router.ServiceReply{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Rest: resp.Body,
		Framed: len(resp.TransferEncoding) > 0 || s.Method == http.MethodHead,
	}, nil
}

// send sends a call and returns the reply to it.
func (c *Caller) send(r *http.Request, e port.Endpoint, s *router.ServiceRequest) (*http.Response, error) {
	keep := s.Idempotent() && r.Header.Get(router.HeaderIdempotencyKey) == "" && c.naming.mayKeep(e)
	client, proof := c.once, reply.ByConnection
	if keep {
		client, proof = c.idempotent, reply.ByName
	}
	resp, err := client.Do(r, s.Body, nil)
	if err != nil {
		if keep {
			c.naming.forget(e)
		}
		return nil, err
	}
	identity := port.IdentityNone
	if keep {
		identity = identityOf(resp, s.RequestID)
		if c.naming.record(e, identity) {
			c.logUnnamed(e, resp.StatusCode)
		}
	}
	if err := oncehttp.CheckHead(resp, identity, proof, false); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// logUnnamed logs that the connections of an endpoint's start are no longer kept.
func (c *Caller) logUnnamed(e port.Endpoint, status int) {
	if c.o.Logger != nil {
		c.o.Logger.Info().Str("event", "service_reply_unnamed").Str("endpoint", e.ID).Uint64("incarnation", e.Incarnation).Int("status", status).Msg("")
	}
}

// identityOf returns what a reply shows of the call that it answers. A service may name other
// calls in it, for example that for which it stored the reply, so that only the name of the
// call before it on the connection makes it that one's.
func identityOf(resp *http.Response, requestID string) port.Identity {
	switch id := resp.Header.Get(router.HeaderRequestID); {
	case id == requestID:
		return port.IdentityOwn
	case id != "" && id == oncehttp.PreviousID(resp):
		return port.IdentityOther
	}
	return port.IdentityNone
}

// CheckPresence checks whether an endpoint serves, over a connection of its own: an older
// report may name a former start.
func (c *Caller) CheckPresence(ctx context.Context, e port.Endpoint) port.Presence {
	report, err := c.load(ctx, c.once, reply.ByConnection, e)
	return oncehttp.PresenceOfReport(e, &report, err)
}

// Load reads an endpoint's load report, over a connection that may be kept.
func (c *Caller) Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error) {
	return c.load(ctx, c.reports, reply.ByKind, e)
}

// load reads a load report. proof is how the replies that client receives are known to be those
// to their calls.
func (c *Caller) load(ctx context.Context, client *oncehttp.Client, proof reply.Proof, e port.Endpoint) (port.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.LoadTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return port.LoadReport{}, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	resp, err := client.Do(r, nil, nil)
	if err != nil {
		return port.LoadReport{}, err
	}
	defer resp.Body.Close()
	var report port.LoadReport
	if err := oncehttp.CheckHead(resp, port.IdentityNone, proof, false); err != nil {
		return report, err
	}
	if resp.StatusCode != http.StatusOK {
		return report, merry.Prependf(port.ErrEndpointLost, "status %d", resp.StatusCode)
	}
	err = oncehttp.DecodeBody(resp, maxReportBytes, &report)
	return report, err
}
