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
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// endpoints is the world behind a gateway: scripted answers by endpoint.
type endpoints struct {
	mu sync.Mutex
	// on answers a request at an endpoint.
	on map[string]func(x *port.Exchange) (*port.Answer, error)
	// copies answers copies.
	copies func(from port.Endpoint, to port.Endpoint, stop bool) (port.Copy, error)
	sent   []port.Exchange
	// presence is what a look at an endpoint shows, in place of serving.
	presence map[string]port.Presence
	looks    int
	// released lists the copies that were freed, each as runner/handle.
	released []string
}

func (e *endpoints) Send(ctx context.Context, x *port.Exchange) (*port.Answer, error) {
	e.mu.Lock()
	e.sent = append(e.sent, *x)
	answer := e.on[x.Endpoint.ID]
	e.mu.Unlock()
	if answer == nil {
		return nil, port.ErrNotSent
	}
	a, err := answer(x)
	if a != nil {
		a.Body = &endsWith{ReadCloser: a.Body, ctx: ctx}
	}
	return a, err
}

// endsWith is a body that ends with its request.
type endsWith struct {
	io.ReadCloser
	ctx context.Context
}

func (b *endsWith) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}

func (e *endpoints) Load(context.Context, port.Endpoint) (port.LoadReport, error) {
	return port.LoadReport{}, port.ErrNotSent
}

func (e *endpoints) Copy(_ context.Context, from port.Endpoint, _ string, to port.Endpoint, stop bool) (port.Copy, error) {
	e.mu.Lock()
	f := e.copies
	e.mu.Unlock()
	if f == nil {
		return port.Copy{}, port.ErrNoGeneration
	}
	return f(from, to, stop)
}

func (e *endpoints) Look(_ context.Context, at port.Endpoint, _ string) port.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.looks++
	if p, set := e.presence[at.ID]; set {
		return p
	}
	return port.PresenceServing
}

func (e *endpoints) Release(_ context.Context, at port.Endpoint, handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = append(e.released, at.ID+"/"+handle)
	return nil
}

// freed lists the copies that were released.
func (e *endpoints) freed() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.released)
}

// arrivals lists the endpoints that got a request.
func (e *endpoints) arrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, x := range e.sent {
		out = append(out, x.Endpoint.ID)
	}
	return out
}

// reply is an answer with a body that is whole.
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

// inTurn gives one script after the other, the last again and again.
func inTurn(scripts ...func(*port.Exchange) (*port.Answer, error)) func(*port.Exchange) (*port.Answer, error) {
	n := 0
	return func(x *port.Exchange) (*port.Answer, error) {
		script := scripts[min(n, len(scripts)-1)]
		n++
		return script(x)
	}
}

var errReset = errors.New("connection reset")

// cutBody gives its text and then breaks off.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errReset
	}
	return n, err
}

func (cutBody) Close() error { return nil }

// caller takes an answer.
type caller struct {
	mu     sync.Mutex
	status int
	header http.Header
	length int64
	body   bytes.Buffer
	err    error
}

func (c *caller) Begin(status int, h http.Header, length int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.header, c.length = status, h, length
	return c.err
}

func (c *caller) Write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.Write(p)
	return c.err
}

func (c *caller) Flush() error { return nil }

func (c *caller) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.String()
}

// view is the state that the gateway follows.
type view struct {
	mu        sync.Mutex
	records   []port.Record
	endpoints []port.Endpoint
	members   []port.Member
	changed   chan struct{}
}

func (v *view) Records() []port.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records
}

func (v *view) Endpoints() []port.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Endpoint(nil), v.endpoints...)
}

func (v *view) FollowEndpoints() func() (changed []port.Endpoint, forgotten []string) {
	handed := make(map[string]port.Endpoint)
	return func() (changed []port.Endpoint, forgotten []string) {
		held := make(map[string]bool)
		for _, e := range v.Endpoints() {
			if before, had := handed[e.ID]; !had || !reflect.DeepEqual(before, e) {
				changed = append(changed, e)
			}
			handed[e.ID], held[e.ID] = e, true
		}
		for id := range handed {
			if !held[id] {
				forgotten = append(forgotten, id)
				delete(handed, id)
			}
		}
		return changed, forgotten
	}
}

func (v *view) Members() []port.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) Synced() bool { return true }

func (v *view) SetLeaving() {}

func (v *view) TellLimit(endpoint string, incarnation uint64, perSecond float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range v.endpoints {
		if e := &v.endpoints[i]; e.ID == endpoint && e.Incarnation == incarnation {
			e.RateLimit = perSecond
		}
	}
}

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// bench is a gateway over fakes.
type bench struct {
	*Gateway
	quarantine *quarantine.Register
	world      *endpoints
	view       *view
	sink       *fakes.Decisions
}

func testTable(version uint64) *route.Table {
	rank := 2
	return &route.Table{
		Schema: route.SchemaVersion, Version: version,
		Routes: []route.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Targets: []route.Target{{Pool: "plain"}}, Repeat: route.RepeatSafe, MaxAttempts: 2, Timeout: time.Minute},
			{Name: "once", Host: "h", PathPrefix: "/once/", Targets: []route.Target{{Pool: "plain"}}, Repeat: route.RepeatNever, MaxAttempts: 1, Timeout: time.Minute},
			{Name: "brief", Host: "h", PathPrefix: "/brief/", Targets: []route.Target{{Pool: "plain"}}, Repeat: route.RepeatSafe, MaxAttempts: 2, Timeout: 50 * time.Millisecond},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Targets: []route.Target{{Pool: "engines"}}, Repeat: route.RepeatNever, Streams: true, MaxAttempts: 1, Timeout: time.Minute},
			{Name: "open", Host: "h", PathPrefix: "/open/", Targets: []route.Target{{Pool: "plain"}}, Repeat: route.RepeatSafe, MaxAttempts: 2, Timeout: time.Minute, Open: true},
		},
		Pools: []route.Pool{
			{Name: "plain"},
			{Name: "engines", Engine: &route.Engine{Batch: 24, CacheTokens: 30_000, EventTokens: 4, CopiesOnRequest: true, Models: []string{"m"}}},
		},
		Organisations: []route.Organisation{{Name: "o", Rank: &rank, KeySHA256: []string{"aa"}}},
	}
}

func recordOf(t *route.Table) port.Record {
	return port.Record{Kind: route.RecordKind, Name: "main", Version: t.Version, Body: t.Encode()}
}

func testEndpoint(id, pool string, kind port.EndpointKind) port.Endpoint {
	e := port.Endpoint{ID: id, Kind: kind, Pool: pool, Address: id + ":1", Incarnation: 1, State: port.EndpointLive}
	if kind == port.KindRunner {
		e.Models = []string{"m"}
	}
	return e
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{
		world: &endpoints{on: map[string]func(*port.Exchange) (*port.Answer, error){}},
		sink:  &fakes.Decisions{},
		view:  &view{changed: make(chan struct{}), records: []port.Record{recordOf(testTable(1))}},

		quarantine: quarantine.NewRegister(node.New(), func(quarantine.Change) {}),
	}
	for i := range 3 {
		b.view.endpoints = append(b.view.endpoints,
			testEndpoint(fmt.Sprint("s", i), "plain", port.KindService),
			testEndpoint(fmt.Sprint("e", i), "engines", port.KindRunner))
	}
	scheduler := routing.NewScheduler(routing.Options{RouterID: "g"})
	placer := scheduling.NewClient(scheduling.Options{Self: "g", Members: b.view, Logger: quiet()}, scheduling.NewPoolScheduler(scheduler, nil))
	b.Gateway = New(Options{
		ID: "g", CallerAddress: "127.0.0.1:1", MaxOpen: 100, RefusalsTried: 3, ReportMaxAge: time.Second,
		RetryShare: 0.2, RetryBurst: 20, EntryValidity: time.Second, ReclaimNotice: 1500 * time.Millisecond,
		Breaker: breaker.Options{Failures: 1000, OpenFor: time.Minute, MaxOpenFor: time.Minute, MaxEndpoints: 100},
		Drain:   DrainOptions{TakeGenerations: time.Hour, TakeCalls: time.Hour, End: 2 * time.Hour},
	}, Ports{
		Endpoints: b.world, Scheduler: scheduler, Placer: placer, View: b.view, Announcer: b.view,
		Quarantine: b.quarantine, Limits: b.view,
		Sink: b.sink, Policy: record.Policy,
	})
	b.apply()
	return b
}

// everywhere sets the script of all endpoints of a pool.
func (b *bench) everywhere(prefix string, script func(*port.Exchange) (*port.Answer, error)) {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	for i := range 3 {
		b.world.on[fmt.Sprint(prefix, i)] = script
	}
}

// leave marks an endpoint as leaving in the view and has the gateway hear it.
func (b *bench) leave(id string) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if b.view.endpoints[i].ID == id {
			b.view.endpoints[i].State = port.EndpointLeaving
			b.view.endpoints[i].Revision++
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

var requestNumber int

// ask sends one request through the gateway.
func (b *bench) ask(t *testing.T, path string, c *caller) *Refusal {
	t.Helper()
	requestNumber++
	return b.askAs(t, fmt.Sprint("r", requestNumber), path, c)
}

func (b *bench) askAs(t *testing.T, id, path string, c *caller) *Refusal {
	t.Helper()
	pass, refusal := b.Admit("h", path, "aa")
	if refusal != nil {
		return refusal
	}
	req := &Request{
		ID: id, Method: "POST", Target: path, Host: "h", Header: http.Header{}, Pass: pass,
		Arrived: time.Now(), Patience: time.Minute,
	}
	if pass.Route.Streams {
		req.Generation = &GenerationAsk{Model: "m", PromptTokens: 1000, MaxTokens: 400}
	}
	return b.Serve(t.Context(), req, c)
}
