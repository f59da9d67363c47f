package scheduling

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// sampleLog records the samples that reach a scheduler, in order, with the relocations
// between them.
type sampleLog struct {
	port.Relocator
	mu      sync.Mutex
	samples []port.StreamSample
}

// relocated stands for a relocation in a sampleLog.
var relocated = port.StreamSample{Slowness: -1}

func (l *sampleLog) ObserveStream(now time.Time, requestID string, s port.StreamSample) {
	l.add(s)
	l.Relocator.ObserveStream(now, requestID, s)
}

func (l *sampleLog) Relocated(now time.Time, requestID string, moved bool) {
	l.add(relocated)
	l.Relocator.Relocated(now, requestID, moved)
}

func (l *sampleLog) add(s port.StreamSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// take returns the samples since the last call.
func (l *sampleLog) take() []port.StreamSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.samples
	l.samples = nil
	return taken
}

// measuredFleet returns a fleet of three daemons with a log of samples for each, and the
// names of the coordinator and of another daemon.
func measuredFleet() (f *fleet, logs map[string]*sampleLog, coordinator, other string) {
	f, logs = newFleet("a", "b", "c"), map[string]*sampleLog{}
	for _, name := range f.names {
		logs[name] = &sampleLog{Relocator: f.schedulers[name].scheduler}
		f.schedulers[name].scheduler = logs[name]
	}
	coordinator = f.clients["a"].coordinator("pool").id
	other = f.names[(slices.Index(f.names, coordinator)+1)%len(f.names)]
	return f, logs, coordinator, other
}

// stream lets a run produce events of 4 tokens, each after the given time.
func (f *fleet) stream(c *Client, id string, tokens int, passed ...time.Duration) {
	for _, d := range passed {
		f.clock.advance(d)
		tokens += 4
		c.Progress(id, tokens)
	}
}

// Guards against samples that get lost on the way to the coordinator, that are counted
// twice, or that include the wait for the first event.
func TestSamplesReachCoordinator(t *testing.T) {
	const ms = time.Millisecond
	f, logs, coordinator, other := measuredFleet()
	for _, name := range []string{coordinator, other} {
		c, id := f.clients[name], "run-"+name
		if d := c.Place(t.Context(), newRequest(f.clock.Now(), id, 1000), ignoreHold); d.Verdict != port.VerdictPlace {
			t.Fatalf("verdict %v, reason %q", d.Verdict, d.Reason)
		}
		c.Observe(id, 1.3)
		f.stream(c, id, 0, 500*ms, 40*ms, 100*ms)
		f.exchangeUpdates()
		f.stream(c, id, 12, 60*ms)
		c.Finished(id, 16, port.FinishDone)
		f.exchangeUpdates()
		want := []port.StreamSample{{Slowness: 1.3}, {PerToken: 17500 * time.Microsecond, Gap: 100 * ms}, {PerToken: 15 * ms, Gap: 60 * ms}}
		if got := logs[coordinator].take(); !slices.Equal(got, want) {
			t.Errorf("run at %s, coordinator %s: samples %+v, want %+v", name, coordinator, got, want)
		}
	}
}

// Guards against crediting a run's former runner with the time of a move, or its new
// runner with what the former one stated.
func TestMovedRunIsMeasuredAtItsRunner(t *testing.T) {
	const ms = time.Millisecond
	f, logs, coordinator, other := measuredFleet()
	c := f.clients[other]
	c.Place(t.Context(), newRequest(f.clock.Now(), "run", 1000), ignoreHold)
	c.Observe("run", 2.4)
	f.stream(c, "run", 0, 500*ms, 40*ms)
	d := c.Relocate(t.Context(), "run", port.RelocationConstraints{})
	c.Relocated("run", true, d.Endpoint.ID)
	c.Observe("run", 0.7)
	f.stream(c, "run", 8, 900*ms, 20*ms)
	f.exchangeUpdates()
	want := []port.StreamSample{{Slowness: 2.4}, {PerToken: 10 * ms, Gap: 40 * ms}, relocated, {Slowness: 0.7, PerToken: 5 * ms, Gap: 20 * ms}}
	if got := logs[coordinator].take(); !slices.Equal(got, want) {
		t.Errorf("samples %+v, want %+v", got, want)
	}
}

// Guards against runners that count as slow because a caller reads slowly.
func TestSlowCallerIsNoSlowRunner(t *testing.T) {
	const ms = time.Millisecond
	f, logs, coordinator, other := measuredFleet()
	c := f.clients[other]
	c.Place(t.Context(), newRequest(f.clock.Now(), "run", 1000), ignoreHold)
	f.stream(c, "run", 0, 500*ms, 40*ms)
	c.Delayed("run")
	f.stream(c, "run", 8, 900*ms)
	c.Delayed("run")
	f.stream(c, "run", 12, 1*ms, 40*ms)
	c.Finished("run", 20, port.FinishDone)
	f.exchangeUpdates()
	want := []port.StreamSample{{PerToken: 10 * ms, Gap: 40 * ms}}
	if got := logs[coordinator].take(); !slices.Equal(got, want) {
		t.Errorf("samples %+v, want %+v", got, want)
	}
}

// Guards against a new coordinator that never learns what endpoints state, because their
// long answers began before it took over.
func TestSuccessorLearnsStatedSlowness(t *testing.T) {
	f, logs, coordinator, other := measuredFleet()
	c := f.clients[other]
	c.Place(t.Context(), newRequest(f.clock.Now(), "run", 1000), ignoreHold)
	c.Observe("run", 1.3)
	f.stream(c, "run", 0, 500*time.Millisecond)
	f.exchangeUpdates()
	f.down[coordinator] = true
	f.exchangeUpdates()
	f.stream(c, "run", 4, 20*time.Millisecond)
	f.exchangeUpdates()
	successor := c.coordinator("pool").id
	want := []port.StreamSample{{Slowness: 1.3, PerToken: 5 * time.Millisecond, Gap: 20 * time.Millisecond}}
	if got := logs[successor].take(); successor == coordinator || !slices.Equal(got, want) {
		t.Errorf("successor %s of %s got samples %+v, want %+v", successor, coordinator, got, want)
	}
}

// Guards against samples made up for a daemon of the previous build, which sends none:
// its runs progress and end as before.
func TestEventsOfPreviousBuildAreNoSamples(t *testing.T) {
	f, logs, coordinator, _ := measuredFleet()
	s := f.schedulers[coordinator]
	s.Place(t.Context(), newRequest(f.clock.Now(), "run", 1000), ignoreHold)
	s.Update(nil, []RunEvent{{RequestID: "run", Tokens: 4}, {RequestID: "run", Tokens: 8}})
	if n := f.routingSchedulers[coordinator].RunCount(); n != 1 {
		t.Errorf("%d runs are counted, want 1", n)
	}
	s.Update(nil, []RunEvent{{RequestID: "run", Tokens: 8, Finish: port.FinishDone}})
	if got := logs[coordinator].take(); len(got) > 0 || s.RunCount() != 0 {
		t.Errorf("samples %+v and %d runs, want none", got, s.RunCount())
	}
}
