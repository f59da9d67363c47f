package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const coldPerSecond = 4

// setColdRate configures the rate of cold endpoints for all pools.
func (b *harness) setColdRate() {
	t := testTable(2)
	for i := range t.Pools {
		t.Pools[i].ColdRate = coldPerSecond
	}
	b.view.mu.Lock()
	b.view.records = []port.Record{recordOf(t)}
	b.view.mu.Unlock()
	b.apply()
}

// listAsCold has the view list an endpoint as cold.
func (b *harness) listAsCold(id string, coldFor time.Duration) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if b.view.endpoints[i].ID == id {
			b.view.endpoints[i].ColdFor = coldFor
			b.view.endpoints[i].Revision++
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

// Guards against sending a cold endpoint more calls than its cold rate, and
// against avoiding it while it is cold or afterwards.
func TestColdEndpointLoadMatchesColdRate(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	now := time.Now()
	var mu sync.Mutex
	b.Clock = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	b.Placer = scheduling.NewClient(scheduling.Options{Self: "g", Members: b.view, Logger: discardLogger(), Clock: b.Clock}, nil)
	advance := func(d time.Duration) {
		mu.Lock()
		now = now.Add(d)
		mu.Unlock()
	}
	got := countSends(b)
	const coldFor = 3 * time.Second
	b.listAsCold("s0", coldFor)
	for range 300 {
		advance(coldFor / 300)
		if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	cold := got()["s0"]
	if most := coldPerSecond*3 + 2; cold > most || cold < coldPerSecond*3/2 {
		t.Errorf("%d of 300 calls in 3 s at a cold endpoint that accepts %d a second", cold, coldPerSecond)
	}
	advance(100 * time.Millisecond)
	b.restoreWarmed()
	for range 300 {
		advance(coldFor / 300)
		if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if warm := got()["s0"] - cold; warm < 60 || warm > 160 {
		t.Errorf("%d of 300 calls at one of three warm endpoints", warm)
	}
}

// Guards against holding callers when all endpoints are cold.
func TestExcessCallsAreRefusedAtOnceWhenAllEndpointsAreCold(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	countSends(b)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.listAsCold(id, time.Minute)
	}
	const calls = 60
	began := time.Now()
	answers := make(chan *Refusal, calls)
	for i := range calls {
		go func() { answers <- b.sendWithID(t, fmt.Sprint("cold", i), "/once/x", &fakeCaller{}) }()
	}
	refused := 0
	for range calls {
		refusal := <-answers
		if refusal == nil {
			continue
		}
		if refusal.Outcome != "not_run" || refusal.RetryAfter <= 0 {
			t.Fatalf("%+v", refusal)
		}
		refused++
	}
	if refused == 0 || refused == calls {
		t.Errorf("%d of %d calls were refused, want some but not all", refused, calls)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the last call was answered after %v", took)
	}
}

// Guards against sending the usual share to an endpoint that has restarted, when only its health check says that it is cold.
func TestColdnessIsReadFromHealthChecks(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	countSends(b)
	b.backends.handlers["s0"] = failure(port.ErrEndpointLost)
	coldFor := time.Minute
	b.backends.onCheck = func(at port.Endpoint) {
		b.ObserveNotice(at, port.EndpointNotice{ColdFor: &coldFor, Call: port.CallHealthCheck, Status: 200})
	}
	for b.countArrivals("s0") == 0 {
		_ = b.send(t, "/safe/x", &fakeCaller{})
	}
	eventually.True(t, "the endpoint is cold", func() bool {
		h, _ := b.endpointTable.get("s0")
		return h.ColdRate == coldPerSecond
	})
	eventually.True(t, "the other daemons are informed", func() bool {
		for _, e := range b.view.Endpoints() {
			if e.ID == "s0" && e.ColdFor == coldFor {
				return true
			}
		}
		return false
	})
}

// Guards against the usual share from the other daemons, when an endpoint has restarted under its id while it was cold.
func TestLongerColdTimeIsAnnounced(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	b.listAsCold("s0", time.Second)
	h, _ := b.endpointTable.get("s0")
	announced := func() time.Duration {
		for _, e := range b.view.Endpoints() {
			if e.ID == "s0" {
				return e.ColdFor
			}
		}
		return 0
	}
	longer := 3 * time.Second
	for _, remaining := range []time.Duration{longer, longer + 10*time.Millisecond, longer - time.Second} {
		b.ObserveNotice(h.Endpoint, port.EndpointNotice{ColdFor: &remaining, Call: port.CallHealthCheck, Status: 200})
		if got := announced(); got != longer {
			t.Errorf("the other daemons were informed of %v after an answer that states %v, want %v", got, remaining, longer)
		}
	}
}

// Guards against ignoring the coldness that an endpoint reports in its answers.
func TestColdnessIsReadFromAnswers(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	coldFor := 50 * time.Millisecond
	b.setHandlers("s", func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(200, "fine")(x)
		a.ColdFor = &coldFor
		return a, err
	})
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	at := b.backends.arrivals()[0]
	if h, _ := b.endpointTable.get(at); h.ColdRate != coldPerSecond {
		t.Fatalf("%s accepts %v requests a second", at, h.ColdRate)
	}
	eventually.True(t, "the endpoint is warm", func() bool {
		b.restoreWarmed()
		h, _ := b.endpointTable.get(at)
		return h.ColdRate == 0
	})
}

// Guards against held requests that are all released to a restarted endpoint before it has answered whether it is cold.
func TestRestartedEndpointCountsAsColdUntilItAnswers(t *testing.T) {
	b := newHarness(t)
	b.setColdRate()
	answer := make(chan struct{})
	b.backends.onCheck = func(port.Endpoint) { <-answer }
	b.restart("s0")
	rate := func() float64 {
		h, _ := b.endpointTable.get("s0")
		return h.ColdRate
	}
	if got := rate(); got != coldPerSecond {
		t.Errorf("it accepts %v requests a second before it has answered, want %d", got, coldPerSecond)
	}
	close(answer)
	eventually.True(t, "it is warm", func() bool { return rate() == 0 })
}
