package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
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

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// harness is a gateway with fake dependencies.
type harness struct {
	*Gateway
	quarantine *quarantine.Register
	backends   *fakeEndpoints
	view       *fakeView
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
			{Name: "resume", Host: "h", PathPrefix: "/resume/", Targets: []route.Target{{Pool: "engines"}}, Repeat: route.RepeatNever, Streams: true, MaxAttempts: 2, Timeout: time.Minute, Resumable: true},
			{Name: "two", Host: "h", PathPrefix: "/two/", Targets: []route.Target{{Pool: "engines"}}, Repeat: route.RepeatNever, Streams: true, MaxAttempts: 2, Timeout: time.Minute},
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

func newHarness(t *testing.T) *harness {
	t.Helper()
	b := newIdleHarness()
	b.apply()
	return b
}

// newIdleHarness returns a harness that has not applied the state of its view yet.
func newIdleHarness() *harness {
	b := &harness{
		backends: &fakeEndpoints{handlers: map[string]func(*port.Exchange) (*port.Answer, error){}},
		sink:     &fakes.Decisions{},
		view:     &fakeView{changed: make(chan struct{}), records: []port.Record{recordOf(testTable(1))}},

		quarantine: quarantine.NewRegister(node.New(), func(quarantine.Change) {}),
	}
	for i := range 3 {
		b.view.endpoints = append(b.view.endpoints,
			testEndpoint(fmt.Sprint("s", i), "plain", port.KindService),
			testEndpoint(fmt.Sprint("e", i), "engines", port.KindRunner))
	}
	scheduler := routing.NewScheduler(routing.Options{RouterID: "g"})
	clock := func() time.Time { return b.Clock() }
	placer := scheduling.NewClient(scheduling.Options{Self: "g", Members: b.view, Logger: discardLogger(), Clock: clock}, scheduling.NewPoolScheduler(scheduler, clock))
	b.Gateway = New(Options{
		ID: "g", CallerAddress: "127.0.0.1:1", MaxOpen: 100, MaxRefusals: 3, ReportMaxAge: time.Second,
		RetryShare: 0.2, RetryBurst: 20, EntryValidity: time.Second, ReclaimNotice: 1500 * time.Millisecond,
		Breaker: breaker.Options{Failures: 1000, OpenFor: time.Minute, MaxOpenFor: time.Minute, MaxEndpoints: 100},
		Drain:   DrainOptions{AcceptGenerationsFor: time.Hour, AcceptCallsFor: time.Hour, ForceCloseAfter: 2 * time.Hour},
	}, Ports{
		Endpoints: b.backends, Scheduler: scheduler, Placer: placer, View: b.view, Announcer: b.view,
		Quarantine: b.quarantine, Limits: b.view, Notices: b.view,
		Sink: b.sink, Policy: record.Policy,
	})
	return b
}

// setHandlers sets the handler of all endpoints whose id starts with the
// prefix.
func (b *harness) setHandlers(prefix string, handler func(*port.Exchange) (*port.Answer, error)) {
	b.backends.mu.Lock()
	defer b.backends.mu.Unlock()
	for i := range 3 {
		b.backends.handlers[fmt.Sprint(prefix, i)] = handler
	}
}

// setLeaving marks an endpoint as leaving in the view and applies the change.
func (b *harness) setLeaving(id string) { b.removeEntry(id, false) }

// removeEntry makes an endpoint leaving, as one that has announced it or one whose entry
// was dropped.
func (b *harness) removeEntry(id string, dropped bool) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if b.view.endpoints[i].ID == id {
			b.view.endpoints[i].State, b.view.endpoints[i].Dropped = port.EndpointLeaving, dropped
			b.view.endpoints[i].Revision++
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

var requestNumber int

// send sends one request through the gateway.
func (b *harness) send(t *testing.T, path string, c Responder) *Refusal {
	t.Helper()
	requestNumber++
	return b.sendWithID(t, fmt.Sprint("r", requestNumber), path, c)
}

func (b *harness) sendWithID(t *testing.T, id, path string, c Responder) *Refusal {
	t.Helper()
	return b.sendParts(t, id, path, c)
}

// sendParts sends a request whose prompt consists of the given parts, if it is a
// generation.
func (b *harness) sendParts(t *testing.T, id, path string, c Responder, parts ...uint64) *Refusal {
	t.Helper()
	return b.sendPartsUntil(t.Context(), t, id, path, c, parts...)
}

// sendAfter sends a request of a caller that has all events up to the one with an id.
func (b *harness) sendAfter(t *testing.T, lastEventID, path string, c *fakeCaller) *Refusal {
	t.Helper()
	pass, refusal := b.Admit("h", path, "aa")
	if refusal != nil {
		return refusal
	}
	requestNumber++
	return b.Serve(t.Context(), &Request{
		ID: fmt.Sprint("r", requestNumber), Method: "POST", Target: path, Host: "h", Header: http.Header{"Last-Event-Id": {lastEventID}}, Admission: pass,
		Arrived: time.Now(), CallerTimeout: time.Minute, Path: path, KeySHA256: "aa",
		Generation: &GenerationParams{Model: "m", PromptTokens: 1000, MaxTokens: 400},
	}, c)
}

// sendPartsUntil is sendParts for a caller that leaves when the context ends.
func (b *harness) sendPartsUntil(ctx context.Context, t *testing.T, id, path string, c Responder, parts ...uint64) *Refusal {
	t.Helper()
	pass, refusal := b.Admit("h", path, "aa")
	if refusal != nil {
		return refusal
	}
	req := &Request{
		ID: id, Method: "POST", Target: path, Host: "h", Header: http.Header{}, Admission: pass,
		Arrived: time.Now(), CallerTimeout: time.Minute, Path: path, KeySHA256: "aa",
	}
	if pass.Route.Streams {
		req.Generation = &GenerationParams{Model: "m", PromptTokens: 1000, MaxTokens: 400}
		for _, id := range parts {
			req.Generation.Parts = append(req.Generation.Parts, PromptPart{ID: id, Tokens: 100})
		}
	}
	return b.Serve(ctx, req, c)
}
