package gateway

import (
	"slices"
	"sync"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// slownessPlacer records the stated slowness of the endpoints of runs, with -1 for the
// end of a move.
type slownessPlacer struct {
	Placer
	mu       sync.Mutex
	observed []float64
}

func (p *slownessPlacer) Observe(requestID string, slowness float64) {
	p.add(slowness)
	p.Placer.Observe(requestID, slowness)
}

func (p *slownessPlacer) Relocated(requestID string, moved bool, to string) {
	p.add(-1)
	p.Placer.Relocated(requestID, moved, to)
}

func (p *slownessPlacer) add(v float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = append(p.observed, v)
}

// Guards against a stated slowness that does not reach the placer, or that is passed on
// for the runner that a run has moved away from.
func TestStatedSlownessOfRunnersReachesPlacer(t *testing.T) {
	b := newHarness(t)
	placer := &slownessPlacer{Placer: b.Placer}
	b.Placer = placer
	e := &fakeEngine{next: 1, total: 8, loads: []*port.LoadHint{{Slowness: 2.4}, nil, {Slowness: 0.7}}}
	_, refusal := serveStream(t, b, e, func(n int) {
		if n != 3 && n != 6 {
			return
		}
		from := e.currentRunner()
		b.setLeaving(from)
		eventually.True(t, "the run is resumed at another runner", func() bool { return e.currentRunner() != from })
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	if want := []float64{2.4, -1, 0, -1, 0.7}; !slices.Equal(placer.observed, want) {
		t.Errorf("observed %v, want %v", placer.observed, want)
	}
}

// Guards against a run that continues a stream at another endpoint and is placed and timed by
// the slowness of the endpoint before.
func TestStatedSlownessOfContinuationReachesPlacer(t *testing.T) {
	b := newHarness(t)
	placer := &slownessPlacer{Placer: b.Placer}
	b.Placer = placer
	withSlowness := func(slowness float64, h handler) handler {
		return func(x *port.Exchange) (*port.Answer, error) {
			a, err := h(x)
			a.Load = &port.LoadHint{Slowness: slowness}
			return a, err
		}
	}
	b.setHandlers("e", sequence(withSlowness(2.4, cutStream(events(1, 3))), withSlowness(0.7, wholeStream(events(4, 6)))))
	got := &fakeCaller{}
	if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	if want := []float64{2.4, 0.7}; !slices.Equal(placer.observed, want) {
		t.Errorf("observed %v, want %v", placer.observed, want)
	}
}

// Guards against counting the load of a plain service as the slowness of a run.
func TestLoadOfPlainServiceIsNoSlownessOfRun(t *testing.T) {
	b := newHarness(t)
	placer := &slownessPlacer{Placer: b.Placer}
	b.Placer = placer
	b.setHandlers("s", func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(200, "fine")(x)
		a.Load = &port.LoadHint{Running: 1, Slots: 8, Slowness: 2.5}
		return a, err
	})
	if refusal := b.send(t, "/once/", &fakeCaller{}); refusal != nil || len(placer.observed) > 0 {
		t.Errorf("refusal %v, observed %v, want none", refusal, placer.observed)
	}
}
