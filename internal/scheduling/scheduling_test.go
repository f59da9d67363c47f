package scheduling

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

// clock is a time that a test moves on.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fleet is daemons with their schedulers, and calls between them that can fail.
type fleet struct {
	clock      *clock
	names      []string
	down       map[string]bool
	schedulers map[string]*PoolScheduler
	own        map[string]*routing.Scheduler
	clients    map[string]*Client
	// old are daemons of a build that admits nothing.
	old map[string]bool
	// lose draws what becomes of the next call: 0 works, 1 is lost on its way,
	// 2 is carried out and its answer lost.
	lose func() int
}

const numRunners = 3

func runners() []port.Endpoint {
	out := make([]port.Endpoint, numRunners)
	for i := range out {
		out[i] = port.Endpoint{
			ID: fmt.Sprint("runner-", i), Kind: port.KindRunner, Pool: "pool", State: port.EndpointLive,
			Models: []string{"m"}, CacheTokens: 10_000, Slots: 24,
		}
	}
	return out
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		clock: &clock{now: start}, names: names, down: map[string]bool{}, schedulers: map[string]*PoolScheduler{},
		own: map[string]*routing.Scheduler{}, clients: map[string]*Client{}, lose: func() int { return 0 },
	}
	for _, name := range names {
		f.own[name] = routing.NewScheduler(routing.Options{RouterID: name})
		f.own[name].SetEndpoints(start, runners())
		f.schedulers[name] = NewPoolScheduler(f.own[name], f.clock.Now)
		f.clients[name] = NewClient(Options{
			Self: name, Members: f, Clock: f.clock.Now, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			Dial: func(address string) Peer { return &link{fleet: f, to: address} },
		}, f.schedulers[name])
	}
	return f
}

// Members lists the daemons that are not down; an address is a name here.
func (f *fleet) Members() []port.Member {
	var out []port.Member
	for _, name := range f.names {
		state := port.MemberLive
		if f.down[name] {
			state = port.MemberDead
		}
		out = append(out, port.Member{ID: name, State: state, CallerAddress: name, PeerAddress: name})
	}
	return out
}

func (f *fleet) Changed() <-chan struct{} { return nil }

var errLost = errors.New("lost")

// link is the connection from one daemon to the scheduler of another.
type link struct {
	fleet *fleet
	to    string
}

func (l *link) call(effect func()) error {
	fate := l.fleet.lose()
	if l.fleet.down[l.to] || fate == 1 {
		return errLost
	}
	effect()
	if fate == 2 {
		return errLost
	}
	return nil
}

func (l *link) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) (port.Decision, error) {
	var d port.Decision
	err := l.call(func() { d = l.fleet.schedulers[l.to].Place(ctx, r, held) })
	return d, err
}

func (l *link) Relocate(_ context.Context, run *port.RunningRequest, terms port.Relocation) (port.Decision, error) {
	var d port.Decision
	err := l.call(func() { d = l.fleet.schedulers[l.to].Relocate(run, terms) })
	return d, err
}

func (l *link) Update(_ context.Context, adopted []port.RunningRequest, events []RunEvent) error {
	return l.call(func() { l.fleet.schedulers[l.to].Update(adopted, events) })
}

func (l *link) Admit(_ context.Context, pool string, asks []ratelimit.Ask, patience time.Duration) (ratelimit.Grant, error) {
	if l.fleet.old[l.to] {
		return ratelimit.Grant{}, ErrNotAdmitting
	}
	var g ratelimit.Grant
	err := l.call(func() { g = l.fleet.clients[l.to].AdmitHere(pool, asks, patience) })
	return g, err
}

func (l *link) Close() {}

// settle lets every client tell what it has to tell.
func (f *fleet) settle() {
	for range 4 {
		for _, name := range f.names {
			c := f.clients[name]
			c.tellProgress()
			c.rehome()
			c.flushNow()
		}
	}
}

// flushNow is flush without goroutines.
func (c *Client) flushNow() {
	c.mu.Lock()
	type message struct {
		d       daemon
		p       *peerState
		adopted []port.RunningRequest
		events  []RunEvent
	}
	var out []message
	for id, p := range c.peers {
		out = append(out, message{daemon{id, p.address}, p, p.adopted, p.events})
		p.adopted, p.events = nil, nil
	}
	c.mu.Unlock()
	for _, m := range out {
		c.send(context.Background(), m.d, m.p, m.adopted, m.events)
	}
}

func ask(now time.Time, id string, prompt int) *port.GenerationRequest {
	return &port.GenerationRequest{
		RequestID: id, Organisation: "o", Pool: "pool", Model: "m", PromptTokens: prompt, MaxTokens: 500, Attempt: 1,
		Arrived: now, Deadline: now.Add(time.Second),
	}
}

func nobody(*port.Decision) {}

// Three daemons place nine reports that fill three runners to the brim. With
// one coordinator they find three on each; by itself each daemon would take its
// three for the only ones.
func TestOneDaemonCoordinatesAPool(t *testing.T) {
	f := newFleet("a", "b", "c")
	placed := map[string]int{}
	for i := range 9 {
		c := f.clients[f.names[i%3]]
		d := c.Place(t.Context(), ask(f.clock.Now(), fmt.Sprint("r", i), 2000), nobody)
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("report %d: %v for %s", i, d.Verdict, d.Reason)
		}
		placed[d.Endpoint.ID]++
	}
	for id, n := range placed {
		if n != 3 {
			t.Errorf("%s has %d reports, want 3", id, n)
		}
	}
}

// The coordinator is killed. The next request is placed by the next
// in line, which hears of the runs under way before it matters: it doesn't take
// full runners for empty ones.
func TestNextInLineHearsWhatRuns(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	var others []string
	for _, name := range f.names {
		if name != coordinator {
			others = append(others, name)
		}
	}
	for i := range 8 {
		f.clients[others[i%2]].Place(t.Context(), ask(f.clock.Now(), fmt.Sprint("r", i), 2000), nobody)
	}
	f.down[coordinator] = true
	d := f.clients[others[0]].Place(t.Context(), ask(f.clock.Now(), "next", 10), nobody)
	if d.Verdict != port.VerdictPlace {
		t.Fatalf("%v for %s with the coordinator down", d.Verdict, d.Reason)
	}
	f.settle()
	next := f.clients[others[0]].coordinator("pool").id
	if next == coordinator {
		t.Fatal("a daemon that is down still coordinates")
	}
	if n := f.schedulers[next].Held(); n != 9 {
		t.Fatalf("the next in line holds %d runs, want 9", n)
	}
}

// A daemon loses its power with reports running. Nobody tells of their end;
// without the word of a daemon its runs leave the scheduler after a while, and
// callers find the room again.
func TestSilentDaemonsRunsLeaveTheScheduler(t *testing.T) {
	f := newFleet("a", "b")
	b := f.schedulers["a"]
	// Those that don't fit are not waited for.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 4 * numRunners {
		b.Place(ctx, ask(f.clock.Now(), fmt.Sprint("r", i), 2000), nobody)
	}
	if !b.full(t, f.clock.Now()) {
		t.Fatal("the runners are not full, so the test shows nothing")
	}
	f.clock.pass(silentAfter - time.Millisecond)
	b.Expire()
	if b.Held() == 0 {
		t.Fatal("runs were dropped before their daemon was silent for long")
	}
	f.clock.pass(time.Millisecond)
	b.Expire()
	if b.Held() != 0 || b.full(t, f.clock.Now()) {
		t.Fatalf("%d runs of a silent daemon are left", b.Held())
	}
}

// full reports whether a large request would be held.
func (b *PoolScheduler) full(t *testing.T, now time.Time) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	was := false
	r := ask(now, fmt.Sprint("probe", now.UnixNano()), 5000)
	d := b.Place(ctx, r, func(*port.Decision) { was = true })
	if d.Verdict == port.VerdictPlace {
		b.Update(nil, []RunEvent{{RequestID: r.RequestID, Finish: port.FinishElsewhere}})
	}
	return was
}

// An answer that says where a request may run is lost, and the daemon has it
// placed by another scheduler, where it ends. The daemon goes on to speak of its other
// runs; the one that it never mentions leaves the scheduler all the same.
func TestPlacementWhoseAnswerWasLostLeavesTheScheduler(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	asks := f.clients["a"]
	if coordinator == "a" {
		asks = f.clients["b"]
	}
	asks.Place(t.Context(), ask(f.clock.Now(), "kept", 100), nobody)
	lost := []int{2}
	f.lose = func() int {
		if len(lost) == 0 {
			return 0
		}
		fate := lost[0]
		lost = lost[1:]
		return fate
	}
	asks.Place(t.Context(), ask(f.clock.Now(), "lost", 100), nobody)
	if n := f.schedulers[coordinator].Held(); n != 2 {
		t.Fatalf("%d runs at the coordinator, want the kept one and the lost one", n)
	}
	asks.Finished("lost", 0, port.FinishDone)
	for range 5 {
		f.clock.pass(mentionEvery)
		f.settle()
		f.schedulers[coordinator].Expire()
	}
	if n := f.schedulers[coordinator].Held(); n != 1 {
		t.Fatalf("%d runs at the coordinator, want the kept one", n)
	}
}

// Requests come, grow, move and end at three daemons while calls and answers
// between them are lost and daemons go down and come back. Once all is quiet
// each run is counted by its pool's coordinator; once all have ended and the
// silent are forgotten, no scheduler counts anything.
func TestSchedulersAgreeOnceAllIsQuiet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c")
		faulty := true
		f.lose = func() int {
			if !faulty {
				return 0
			}
			return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fate")
		}
		type running struct{ at, id string }
		var open []running
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			f.clock.pass(50 * time.Millisecond)
			name := rapid.SampledFrom(f.names).Draw(t, "daemon")
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action <= 1 && !f.down[name]:
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				id := fmt.Sprint("r", i)
				if d := f.clients[name].Place(ctx, ask(f.clock.Now(), id, 300), nobody); d.Verdict == port.VerdictPlace {
					open = append(open, running{name, id})
				}
			case action == 2 && len(open) > 0:
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "run")]
				f.clients[r.at].Progress(r.id, rapid.IntRange(1, 400).Draw(t, "tokens"))
			case action == 3 && len(open) > 0:
				at := rapid.IntRange(0, len(open)-1).Draw(t, "run")
				f.clients[open[at].at].Finished(open[at].id, 0, port.FinishDone)
				open = append(open[:at], open[at+1:]...)
			case action == 4 && len(open) > 0:
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "run")]
				d := f.clients[r.at].Relocate(context.Background(), r.id, port.Relocation{})
				moved := d.Verdict == port.VerdictPlace && rapid.Bool().Draw(t, "moved")
				f.clients[r.at].Relocated(r.id, moved, d.Endpoint.ID)
			case action == 5:
				f.down[name] = !f.down[name] && name != "a"
			}
		}
		faulty = false
		clear(f.down)
		f.clock.pass(avoidFor)
		f.settle()
		coordinator := f.clients["a"].coordinator("pool").id
		pools := f.schedulers[coordinator]
		for _, r := range open {
			pools.mu.Lock()
			_, known := pools.heard[r.id]
			pools.mu.Unlock()
			if !known {
				t.Fatalf("run %s of %s is not counted by %s", r.id, r.at, coordinator)
			}
		}
		for _, r := range open {
			f.clients[r.at].Finished(r.id, 10, port.FinishDone)
		}
		f.settle()
		f.clock.pass(silentAfter)
		for _, name := range f.names {
			f.schedulers[name].Expire()
			if n := f.schedulers[name].Held(); n != 0 {
				t.Fatalf("%s holds %d runs after all have ended", name, n)
			}
			if n := f.own[name].Placed(); n != 0 {
				t.Fatalf("the runners at %s still count %d runs", name, n)
			}
		}
	})
}

// Guards against placing a failed attempt at the same runner again.
func TestNextPlaceIsAskedForAfterTheEndOfTheLastIsTold(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	for _, name := range f.names {
		if name == coordinator {
			continue
		}
		r := ask(f.clock.Now(), "r-"+name, 1000)
		first := f.clients[name].Place(t.Context(), r, nobody)
		f.clients[name].Finished(r.RequestID, 0, port.FinishNotStarted)
		r.Attempt, r.Excluded = 2, []string{first.Endpoint.ID}
		next := f.clients[name].Place(t.Context(), r, nobody)
		if next.Verdict != port.VerdictPlace || next.Endpoint.ID == first.Endpoint.ID {
			t.Errorf("%s: first %s, then %s %s: %s", name, first.Endpoint.ID, next.Verdict, next.Endpoint.ID, next.Reason)
		}
		f.settle()
		if held := f.schedulers[coordinator].Held(); held != 1 {
			t.Errorf("%s: %d runs are counted", name, held)
		}
		f.clients[name].Finished(r.RequestID, 1, port.FinishDone)
		f.settle()
	}
}
