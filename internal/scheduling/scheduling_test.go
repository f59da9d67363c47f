package scheduling

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
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

// clock is a clock that the test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fleet simulates daemons with their schedulers and fallible calls between them.
type fleet struct {
	clock             *clock
	names             []string
	down, leaving     map[string]bool
	schedulers        map[string]*PoolScheduler
	routingSchedulers map[string]*routing.Scheduler
	clients           map[string]*Client
	// noAdmission holds the daemons of a build without support for admission.
	noAdmission map[string]bool
	// noHandOver holds the daemons of a build without support for handovers.
	noHandOver map[string]bool
	// nextFault returns the fault of the next call: 0 none, 1 the request is lost,
	// 2 the request is carried out and the reply is lost.
	nextFault func() int
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
		clock: &clock{now: start}, names: names, down: map[string]bool{}, leaving: map[string]bool{}, schedulers: map[string]*PoolScheduler{},
		routingSchedulers: map[string]*routing.Scheduler{}, clients: map[string]*Client{}, nextFault: func() int { return 0 },
	}
	for _, name := range names {
		f.routingSchedulers[name] = routing.NewScheduler(routing.Options{RouterID: name})
		f.routingSchedulers[name].SetEndpoints(start, runners())
		f.schedulers[name] = NewPoolScheduler(f.routingSchedulers[name], f.clock.Now)
		f.clients[name] = NewClient(Options{
			Self: name, Members: f, Clock: f.clock.Now, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			Dial: func(address string) Peer { return &fakePeer{fleet: f, to: address} },
		}, f.schedulers[name])
	}
	return f
}

// Members lists all daemons, those that are down as dead and the others that stop as
// leaving. A daemon's name is also
// its address.
func (f *fleet) Members() []port.Member {
	var out []port.Member
	for _, name := range f.names {
		state := port.MemberLive
		switch {
		case f.down[name]:
			state = port.MemberDead
		case f.leaving[name]:
			state = port.MemberLeaving
		}
		out = append(out, port.Member{ID: name, State: state, CallerAddress: name, PeerAddress: name})
	}
	return out
}

func (f *fleet) Changed() <-chan struct{} { return nil }

var errLost = errors.New("lost")

// fakePeer is the connection from one daemon to the scheduler of another.
type fakePeer struct {
	fleet *fleet
	to    string
}

func (l *fakePeer) call(handle func()) error {
	fault := l.fleet.nextFault()
	if l.fleet.down[l.to] || fault == 1 {
		return errLost
	}
	handle()
	if fault == 2 {
		return errLost
	}
	return nil
}

func (l *fakePeer) Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) (port.Decision, error) {
	var d port.Decision
	err := l.call(func() { d = l.fleet.schedulers[l.to].Place(ctx, r, onHold) })
	return d, err
}

func (l *fakePeer) Relocate(ctx context.Context, run *port.RunningRequest, terms port.RelocationConstraints) (port.Decision, error) {
	if ctx.Err() != nil {
		return port.Decision{}, errLost
	}
	var d port.Decision
	err := l.call(func() { d = l.fleet.schedulers[l.to].Relocate(run, terms) })
	return d, err
}

func (l *fakePeer) Update(_ context.Context, adopted []port.RunningRequest, events []RunEvent) error {
	return l.call(func() { l.fleet.schedulers[l.to].Update(adopted, events) })
}

func (l *fakePeer) Admit(_ context.Context, pool string, asks []ratelimit.Candidate, maxWait time.Duration) (ratelimit.Grant, error) {
	if l.fleet.noAdmission[l.to] {
		return ratelimit.Grant{}, ErrAdmissionUnsupported
	}
	var g ratelimit.Grant
	err := l.call(func() { g = l.fleet.clients[l.to].AdmitLocally(pool, asks, maxWait) })
	return g, err
}

func (l *fakePeer) HandOver(_ context.Context, m *port.HandOver) (bool, error) {
	if l.fleet.noHandOver[l.to] {
		return false, ErrHandOverUnsupported
	}
	var accepted bool
	var refused error
	if err := l.call(func() { accepted, refused = l.fleet.clients[l.to].ReceiveHandOver(m) }); err != nil {
		return false, err
	}
	return accepted, refused
}

func (l *fakePeer) Close() {}

// exchangeUpdates lets every client send all of its updates.
func (f *fleet) exchangeUpdates() {
	for range 4 {
		for _, name := range f.names {
			c := f.clients[name]
			c.reportRuns()
			c.reassignRuns()
			c.flushSync()
		}
	}
}

// flushSync does the same as flush without goroutines.
func (c *Client) flushSync() {
	c.mu.Lock()
	type message struct {
		d       daemon
		p       *peerState
		adopted []port.RunningRequest
		events  []RunEvent
	}
	var out []message
	for id, p := range c.peers {
		out = append(out, message{daemon{id, p.address}, p, p.pendingRuns, p.pendingEvents})
		p.pendingRuns, p.pendingEvents = nil, nil
	}
	c.mu.Unlock()
	for _, m := range out {
		c.send(context.Background(), m.d, m.p, m.adopted, m.events)
	}
}

func newRequest(now time.Time, id string, prompt int) *port.GenerationRequest {
	return &port.GenerationRequest{
		RequestID: id, Organisation: "o", Pool: "pool", Model: "m", PromptTokens: prompt, MaxTokens: 500, Attempt: 1,
		Arrived: now, Deadline: now.Add(time.Second),
	}
}

func ignoreHold(*port.Decision) {}

// Guards against uncoordinated placement. Nine requests from three daemons fill
// three runners: one coordinator places three on each runner, whereas daemons on
// their own would each count only their own three requests.
func TestOneDaemonCoordinatesPool(t *testing.T) {
	f := newFleet("a", "b", "c")
	placed := map[string]int{}
	for i := range 9 {
		c := f.clients[f.names[i%3]]
		d := c.Place(t.Context(), newRequest(f.clock.Now(), fmt.Sprint("r", i), 2000), ignoreHold)
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("request %d: verdict %v, reason %q", i, d.Verdict, d.Reason)
		}
		placed[d.Endpoint.ID]++
	}
	for id, n := range placed {
		if n != 3 {
			t.Errorf("runner %s has %d requests, want 3", id, n)
		}
	}
}

// Guards against placement on full runners after the coordinator was killed. The
// next coordinator must receive the open runs before it treats full runners as
// empty.
func TestSuccessorAdoptsOpenRuns(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	var peers []string
	for _, name := range f.names {
		if name != coordinator {
			peers = append(peers, name)
		}
	}
	for i := range 8 {
		f.clients[peers[i%2]].Place(t.Context(), newRequest(f.clock.Now(), fmt.Sprint("r", i), 2000), ignoreHold)
	}
	f.down[coordinator] = true
	d := f.clients[peers[0]].Place(t.Context(), newRequest(f.clock.Now(), "next", 10), ignoreHold)
	if d.Verdict != port.VerdictPlace {
		t.Fatalf("verdict %v with the coordinator down, reason %q", d.Verdict, d.Reason)
	}
	f.exchangeUpdates()
	successor := f.clients[peers[0]].coordinator("pool").id
	if successor == coordinator {
		t.Fatal("a daemon that is down is still the coordinator")
	}
	if n := f.schedulers[successor].RunCount(); n != 9 {
		t.Fatalf("the new coordinator tracks %d runs, want 9", n)
	}
}

// Guards against a daemon that takes the coordinator for failed, and coordinates the pool
// beside it, because a run ended while its destination was being chosen.
func TestRelocationThatIsGivenUpKeepsCoordinator(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	c := f.clients[f.names[(slices.Index(f.names, coordinator)+1)%len(f.names)]]
	if d := c.Place(t.Context(), newRequest(f.clock.Now(), "run", 10), ignoreHold); d.Verdict != port.VerdictPlace {
		t.Fatalf("verdict %v, reason %q", d.Verdict, d.Reason)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if d := c.Relocate(ctx, "run", port.RelocationConstraints{}); d.Verdict != port.VerdictRefuse {
		t.Errorf("verdict %v for a run that ended, want a refusal", d.Verdict)
	}
	if got := c.coordinator("pool").id; got != coordinator {
		t.Errorf("the coordinator is %s, want %s", got, coordinator)
	}
}

// Guards against runs that occupy the scheduler forever because their daemon lost
// power and nobody reports their end. They must expire, so that requests can use
// the room again.
func TestRunsWithoutUpdatesExpire(t *testing.T) {
	f := newFleet("a", "b")
	b := f.schedulers["a"]
	// Requests that do not fit are not waited for.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 4 * numRunners {
		b.Place(ctx, newRequest(f.clock.Now(), fmt.Sprint("r", i), 2000), ignoreHold)
	}
	if !b.isFull(t, f.clock.Now()) {
		t.Fatal("the runners are not full, so the test cannot detect the fault")
	}
	f.clock.advance(runExpiry - time.Millisecond)
	b.Expire()
	if b.RunCount() == 0 {
		t.Fatal("runs expired before runExpiry")
	}
	f.clock.advance(time.Millisecond)
	b.Expire()
	if b.RunCount() != 0 || b.isFull(t, f.clock.Now()) {
		t.Fatalf("%d runs remain or the runners are full after runExpiry", b.RunCount())
	}
}

// isFull reports whether a large request would be held.
func (b *PoolScheduler) isFull(t *testing.T, now time.Time) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	held := false
	r := newRequest(now, fmt.Sprint("probe", now.UnixNano()), 5000)
	d := b.Place(ctx, r, func(*port.Decision) { held = true })
	if d.Verdict == port.VerdictPlace {
		b.Update(nil, []RunEvent{{RequestID: r.RequestID, Finish: port.FinishUntracked}})
	}
	return held
}

// Guards against counting a run forever after the reply that placed it was lost.
// The daemon places the request with another scheduler and keeps reporting its
// other runs; the run that it never reports must expire.
func TestPlacementWithLostReplyExpires(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	client := f.clients["a"]
	if coordinator == "a" {
		client = f.clients["b"]
	}
	client.Place(t.Context(), newRequest(f.clock.Now(), "kept", 100), ignoreHold)
	faults := []int{2}
	f.nextFault = func() int {
		if len(faults) == 0 {
			return 0
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
	client.Place(t.Context(), newRequest(f.clock.Now(), "lost", 100), ignoreHold)
	if n := f.schedulers[coordinator].RunCount(); n != 2 {
		t.Fatalf("the coordinator tracks %d runs, want 2: the reported run and the one whose reply was lost", n)
	}
	client.Finished("lost", 0, port.FinishDone)
	for range 5 {
		f.clock.advance(keepaliveInterval)
		f.exchangeUpdates()
		f.schedulers[coordinator].Expire()
	}
	if n := f.schedulers[coordinator].RunCount(); n != 1 {
		t.Fatalf("the coordinator tracks %d runs, want only the reported run", n)
	}
}

// Requests start, progress, move and end at three daemons while calls and replies
// between the daemons are lost and daemons go down and come back. After the
// faults, each open run must be counted by its pool's coordinator. After all runs
// have ended and unreported ones have expired, no scheduler may count any run.
func TestSchedulersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c")
		faulty := true
		f.nextFault = func() int {
			if !faulty {
				return 0
			}
			return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fault")
		}
		type running struct{ at, id string }
		var open []running
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			f.clock.advance(50 * time.Millisecond)
			name := rapid.SampledFrom(f.names).Draw(t, "daemon")
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action <= 1 && !f.down[name]:
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				id := fmt.Sprint("r", i)
				if d := f.clients[name].Place(ctx, newRequest(f.clock.Now(), id, 300), ignoreHold); d.Verdict == port.VerdictPlace {
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
				d := f.clients[r.at].Relocate(context.Background(), r.id, port.RelocationConstraints{})
				moved := d.Verdict == port.VerdictPlace && rapid.Bool().Draw(t, "moved")
				f.clients[r.at].Relocated(r.id, moved, d.Endpoint.ID)
			case action == 5:
				f.down[name] = !f.down[name] && name != "a"
			}
		}
		faulty = false
		clear(f.down)
		f.clock.advance(avoidDuration)
		f.exchangeUpdates()
		coordinator := f.clients["a"].coordinator("pool").id
		scheduler := f.schedulers[coordinator]
		for _, r := range open {
			scheduler.mu.Lock()
			_, tracked := scheduler.lastReport[r.id]
			scheduler.mu.Unlock()
			if !tracked {
				t.Fatalf("run %s of %s is not counted by %s", r.id, r.at, coordinator)
			}
		}
		for _, r := range open {
			f.clients[r.at].Finished(r.id, 10, port.FinishDone)
		}
		f.exchangeUpdates()
		f.clock.advance(runExpiry)
		for _, name := range f.names {
			f.schedulers[name].Expire()
			if n := f.schedulers[name].RunCount(); n != 0 {
				t.Fatalf("scheduler %s tracks %d runs after all have ended", name, n)
			}
			if n := f.routingSchedulers[name].RunCount(); n != 0 {
				t.Fatalf("the routing scheduler of %s counts %d placed runs after all have ended", name, n)
			}
		}
	})
}

// Guards against placing the next attempt at the runner where the last one failed.
func TestFailedAttemptIsReportedBeforeRetry(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	for _, name := range f.names {
		if name == coordinator {
			continue
		}
		r := newRequest(f.clock.Now(), "r-"+name, 1000)
		first := f.clients[name].Place(t.Context(), r, ignoreHold)
		f.clients[name].Finished(r.RequestID, 0, port.FinishNotStarted)
		r.Attempt, r.Excluded = 2, []string{first.Endpoint.ID}
		second := f.clients[name].Place(t.Context(), r, ignoreHold)
		if second.Verdict != port.VerdictPlace || second.Endpoint.ID == first.Endpoint.ID {
			t.Errorf("daemon %s: first attempt at %s, second attempt verdict %s at %q, reason %q", name, first.Endpoint.ID, second.Verdict, second.Endpoint.ID, second.Reason)
		}
		f.exchangeUpdates()
		if held := f.schedulers[coordinator].RunCount(); held != 1 {
			t.Errorf("daemon %s: the coordinator tracks %d runs, want 1", name, held)
		}
		f.clients[name].Finished(r.RequestID, 1, port.FinishDone)
		f.exchangeUpdates()
	}
}
