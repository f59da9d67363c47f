package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fakeEndpoints is a port.Exchanger whose endpoints answer with handlers.
type fakeEndpoints struct {
	mu sync.Mutex
	// handlers answer the requests, by endpoint id.
	handlers map[string]func(x *port.Exchange) (*port.Answer, error)
	// copyHandler answers copies of runs.
	copyHandler func(from port.Endpoint, to port.Endpoint, stop bool) (port.Copy, error)
	sent        []port.Exchange
	// contexts holds the context of each request in sent.
	contexts []context.Context
	// silent endpoints receive requests and never answer them.
	silent map[string]bool
	// presence is the result of probing an endpoint, by id; others are serving.
	presence map[string]port.Presence
	// onCheck is called with each endpoint whose presence is checked.
	onCheck func(port.Endpoint)
	probes  int
	// noReports: load reports can't be read.
	noReports bool
	// released lists the released copies, each as runner/handle.
	released []string
}

func (e *fakeEndpoints) Send(ctx context.Context, x *port.Exchange) (*port.Answer, error) {
	e.mu.Lock()
	e.sent, e.contexts = append(e.sent, *x), append(e.contexts, ctx)
	answer := e.handlers[x.Endpoint.ID]
	silent := e.silent[x.Endpoint.ID]
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, merry.Wrap(port.ErrEndpointLost, merry.WithCause(ctx.Err()))
	}
	if answer == nil {
		return nil, port.ErrNotSent
	}
	a, err := answer(x)
	if a != nil {
		a.Body = &contextBody{ReadCloser: a.Body, ctx: ctx}
	}
	return a, err
}

// contextBody is a body that fails once its request's context has ended.
type contextBody struct {
	io.ReadCloser
	ctx context.Context
}

func (b *contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

// Load returns a report of the endpoint's known start if the endpoint serves.
func (e *fakeEndpoints) Load(_ context.Context, at port.Endpoint) (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, set := e.presence[at.ID]; e.noReports || set && p != port.PresenceServing {
		return port.LoadReport{}, port.ErrNotSent
	}
	return port.LoadReport{EndpointID: at.ID, Incarnation: at.Incarnation, State: port.EndpointLive}, nil
}

// errSilent has a call to copy a run stay without an answer.
var errSilent = errors.New("silent")

func (e *fakeEndpoints) Copy(ctx context.Context, from port.Endpoint, _ string, to port.Endpoint, stop bool) (port.Copy, error) {
	e.mu.Lock()
	f := e.copyHandler
	e.mu.Unlock()
	if f == nil {
		return port.Copy{}, port.ErrNoGeneration
	}
	c, err := f(from, to, stop)
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return port.Copy{}, merry.Wrap(port.ErrEndpointLost, merry.WithCause(ctx.Err()))
	}
	c.Stopped = stop && c.Handle != "" && (err == nil || errors.Is(err, port.ErrNoRoom))
	return c, err
}

func (e *fakeEndpoints) CheckPresence(_ context.Context, at port.Endpoint, _ string) port.Presence {
	e.mu.Lock()
	onCheck := e.onCheck
	e.mu.Unlock()
	if onCheck != nil {
		onCheck(at)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes++
	if p, set := e.presence[at.ID]; set {
		return p
	}
	return port.PresenceServing
}

func (e *fakeEndpoints) CheckPath(ctx context.Context, at port.Endpoint, path string) port.Presence {
	return e.CheckPresence(ctx, at, path)
}

func (e *fakeEndpoints) Release(_ context.Context, at port.Endpoint, handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = append(e.released, at.ID+"/"+handle)
	return nil
}

// releasedCopies lists the copies that were released.
func (e *fakeEndpoints) releasedCopies() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.released)
}

// arrivals lists the endpoints to which requests were sent, in order.
func (e *fakeEndpoints) arrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, x := range e.sent {
		out = append(out, x.Endpoint.ID)
	}
	return out
}

// reply returns a handler that answers with a complete body.
func reply(status int, body string) func(*port.Exchange) (*port.Answer, error) {
	return func(*port.Exchange) (*port.Answer, error) {
		return &port.Answer{
			Status: status, Header: http.Header{"X-From": {"endpoint"}}, Length: int64(len(body)), Delimited: true,
			Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func failure(err error) func(*port.Exchange) (*port.Answer, error) {
	return func(*port.Exchange) (*port.Answer, error) { return nil, err }
}

// sequence returns a handler that calls one handler after the other, and the
// last one for all further requests.
func sequence(scripts ...func(*port.Exchange) (*port.Answer, error)) func(*port.Exchange) (*port.Answer, error) {
	n := 0
	return func(x *port.Exchange) (*port.Answer, error) {
		script := scripts[min(n, len(scripts)-1)]
		n++
		return script(x)
	}
}

var errReset = errors.New("connection reset")

// cutBody returns its text and then fails.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errReset
	}
	return n, err
}

func (cutBody) Close() error { return nil }

// fakeCaller is a Responder that stores the answer; its methods return err.
type fakeCaller struct {
	mu     sync.Mutex
	status int
	header http.Header
	length int64
	body   bytes.Buffer
	err    error
}

func (c *fakeCaller) Begin(status int, h http.Header, length int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.header, c.length = status, h, length
	return c.err
}

func (c *fakeCaller) Write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.Write(p)
	return c.err
}

func (c *fakeCaller) Flush() error { return nil }

func (c *fakeCaller) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.String()
}

// fakeView is the state that the gateway follows.
type fakeView struct {
	mu        sync.Mutex
	records   []port.Record
	endpoints []port.Endpoint
	members   []port.Member
	changed   chan struct{}
	// incomplete: some records have not arrived yet.
	incomplete bool
	// leavingPublished lists the published departures, each as
	// endpoint/incarnation.
	leavingPublished []string
}

func (v *fakeView) Records() []port.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records
}

func (v *fakeView) Endpoints() []port.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Endpoint(nil), v.endpoints...)
}

func (v *fakeView) FollowEndpoints() func() (changed []port.Endpoint, forgotten []string) {
	reported := make(map[string]port.Endpoint)
	return func() (changed []port.Endpoint, forgotten []string) {
		present := make(map[string]bool)
		for _, e := range v.Endpoints() {
			if before, existed := reported[e.ID]; !existed || !reflect.DeepEqual(before, e) {
				changed = append(changed, e)
			}
			reported[e.ID], present[e.ID] = e, true
		}
		for id := range reported {
			if !present[id] {
				forgotten = append(forgotten, id)
				delete(reported, id)
			}
		}
		return changed, forgotten
	}
}

func (v *fakeView) Members() []port.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) Synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.incomplete
}

func (v *fakeView) setIncomplete(incomplete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.incomplete = incomplete
}

func (v *fakeView) SetLeaving() {}

// PublishLostPools sets the lost pools of the member with the harness's own id.
func (v *fakeView) PublishLostPools(pools []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = slices.Clone(v.members)
	for i := range v.members {
		if v.members[i].ID == "g" {
			v.members[i].LostPools = pools
		}
	}
}

func (v *fakeView) PublishLimit(endpoint string, incarnation uint64, perSecond float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.endpoints {
		if e := &v.endpoints[i]; e.ID == endpoint && e.Incarnation == incarnation {
			e.RateLimit = perSecond
		}
	}
}

func (v *fakeView) PublishLeaving(endpoint string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leavingPublished = append(v.leavingPublished, fmt.Sprint(endpoint, "/", incarnation))
}

func (v *fakeView) PublishCold(endpoint string, incarnation uint64, coldFor time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.endpoints {
		if e := &v.endpoints[i]; e.ID == endpoint && e.Incarnation == incarnation {
			e.ColdFor = coldFor
			e.ColdReports++
		}
	}
}
