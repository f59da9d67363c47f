// Package httpservice calls plain services (endpoints that are not model
// engines) over HTTP. It sends each call at most once.
package httpservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/oncehttp"
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
	// IdleConnections is the number of connections per endpoint kept for reuse.
	IdleConnections int
}

// Caller calls plain services.
type Caller struct {
	client *oncehttp.Client
	o      Options
}

// New returns a Caller.
func New(o Options) *Caller {
	return &Caller{
		client: oncehttp.New(oncehttp.Options{DialTimeout: o.DialTimeout, IdleConnections: o.IdleConnections}),
		o:      o,
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
// port.ErrEndpointLost. The caller must close the reply's Rest.
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
	resp, err := c.client.Do(r, s.Body, nil)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, merry.Prepend(port.ErrEndpointLost, "the service switched protocols")
	}
	for _, name := range droppedReplyHeaders {
		resp.Header.Del(name)
	}
	return &router.ServiceReply{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Rest: resp.Body,
	}, nil
}

// CheckPresence checks whether an endpoint serves.
func (c *Caller) CheckPresence(ctx context.Context, e port.Endpoint) port.Presence {
	report, err := c.Load(ctx, e)
	return oncehttp.PresenceOfReport(e, &report, err)
}

// Load reads an endpoint's load report.
func (c *Caller) Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.LoadTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/v1/load", nil)
	if err != nil {
		return port.LoadReport{}, merry.Wrap(port.ErrNotSent, merry.WithCause(err))
	}
	resp, err := c.client.Do(r, nil, nil)
	if err != nil {
		return port.LoadReport{}, err
	}
	defer resp.Body.Close()
	var report port.LoadReport
	if resp.StatusCode != http.StatusOK {
		return report, merry.Prependf(port.ErrEndpointLost, "status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err))
	}
	return report, nil
}
