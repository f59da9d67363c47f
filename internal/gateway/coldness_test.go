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

// withColdRate has the operators name what cold endpoints take.
func (b *bench) withColdRate() {
	t := testTable(2)
	for i := range t.Pools {
		t.Pools[i].ColdRate = coldPerSecond
	}
	b.view.mu.Lock()
	b.view.records = []port.Record{recordOf(t)}
	b.view.mu.Unlock()
	b.apply()
}

// listAsCold has the registry list an endpoint as cold.
func (b *bench) listAsCold(id string, left time.Duration) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if b.view.endpoints[i].ID == id {
			b.view.endpoints[i].ColdFor = left
			b.view.endpoints[i].Revision++
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

// Guards against calls that a cold endpoint doesn't bear, and against shunning it while and after it is cold.
func TestColdEndpointGetsWhatItBears(t *testing.T) {
	b := newBench(t)
	b.withColdRate()
	now := time.Now()
	var mu sync.Mutex
	b.Clock = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	b.Placer = scheduling.NewClient(scheduling.Options{Self: "g", Members: b.view, Logger: quiet(), Clock: b.Clock}, nil)
	pass := func(d time.Duration) {
		mu.Lock()
		now = now.Add(d)
		mu.Unlock()
	}
	got := countSends(b)
	const lasting = 3 * time.Second
	b.listAsCold("s0", lasting)
	for range 300 {
		pass(lasting / 300)
		if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	cold := got()["s0"]
	if most := coldPerSecond*3 + 2; cold > most || cold < coldPerSecond*3/2 {
		t.Errorf("%d of 300 calls in 3 s, it bears %d a second", cold, coldPerSecond)
	}
	pass(100 * time.Millisecond)
	b.warm()
	for range 300 {
		pass(lasting / 300)
		if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if warm := got()["s0"] - cold; warm < 60 || warm > 160 {
		t.Errorf("%d of 300 calls at one of three endpoints that are warm", warm)
	}
}

// Guards against callers that wait where all endpoints are cold.
func TestCallersAreRefusedAtOnceWhereAllEndpointsAreCold(t *testing.T) {
	b := newBench(t)
	b.withColdRate()
	countSends(b)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.listAsCold(id, time.Minute)
	}
	const calls = 60
	began := time.Now()
	answers := make(chan *Refusal, calls)
	for i := range calls {
		go func() { answers <- b.askAs(t, fmt.Sprint("cold", i), "/once/x", &caller{}) }()
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
		t.Errorf("%d of %d calls were refused", refused, calls)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the last one was answered after %v", took)
	}
}

// Guards against an endpoint's own word on its coldness that is not heard.
func TestColdnessIsHeardInAnswers(t *testing.T) {
	b := newBench(t)
	b.withColdRate()
	left := 50 * time.Millisecond
	b.everywhere("s", func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(200, "fine")(x)
		a.ColdFor = &left
		return a, err
	})
	if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	at := b.world.arrivals()[0]
	if h, _ := b.known.get(at); h.ColdRate != coldPerSecond {
		t.Fatalf("%s takes %v a second", at, h.ColdRate)
	}
	eventually.True(t, "it is warm", func() bool {
		b.warm()
		h, _ := b.known.get(at)
		return h.ColdRate == 0
	})
}
