package scheduling

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// memberView is the list of members that one daemon has.
type memberView struct {
	mu      sync.Mutex
	members []port.Member
	changed chan struct{}
}

func (v *memberView) Members() []port.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *memberView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *memberView) set(members []port.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
	close(v.changed)
	v.changed = make(chan struct{})
}

// logBuffer is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// count returns the number of lines that contain all of the given texts.
func (b *logBuffer) count(texts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			n++
		}
	}
	return n
}

// handOverFleet is a fleet whose daemons have lists of members and logs of their own.
type handOverFleet struct {
	*fleet
	t     *testing.T
	views map[string]*memberView
	logs  map[string]*logBuffer

	mu     sync.Mutex
	states map[string]port.MemberState
	// cut holds the daemons that can't be called, frozen those that accept requests and
	// never answer.
	cut, frozen map[string]bool
	// messages holds the handovers that were attempted.
	messages []attempted
	// faults holds the faults of the next handovers, see fleet.nextFault.
	faults []int
}

type attempted struct {
	to      string
	message port.HandOver
}

func newHandOverFleet(t *testing.T, names ...string) *handOverFleet {
	f := &handOverFleet{
		fleet: newFleet(names...), t: t, views: map[string]*memberView{}, logs: map[string]*logBuffer{},
		states: map[string]port.MemberState{}, cut: map[string]bool{}, frozen: map[string]bool{},
	}
	f.noHandOver = map[string]bool{}
	for _, name := range names {
		f.states[name] = port.MemberLive
		f.views[name] = &memberView{changed: make(chan struct{})}
		f.logs[name] = &logBuffer{}
		f.clients[name] = NewClient(Options{
			Self: name, Members: f.views[name], Clock: f.clock.Now, Learned: f.routingSchedulers[name],
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: f.logs[name]}},
			Dial: func(address string) Peer {
				return &linkedPeer{fakePeer: fakePeer{fleet: f.fleet, to: address}, fleet: f}
			},
		}, f.schedulers[name])
	}
	f.showAll()
	f.check()
	return f
}

// set changes the state of a daemon. The lists of members change with showAll or show.
func (f *handOverFleet) set(name string, state port.MemberState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[name] = state
}

// show lets some daemons see the present states.
func (f *handOverFleet) show(names ...string) {
	f.mu.Lock()
	var members []port.Member
	for _, name := range f.names {
		members = append(members, port.Member{ID: name, State: f.states[name], CallerAddress: name, PeerAddress: name})
	}
	f.mu.Unlock()
	for _, name := range names {
		f.views[name].set(members)
	}
}

func (f *handOverFleet) showAll() { f.show(f.names...) }

// check lets some daemons, or all, notice changes and send their handovers. It returns
// when all messages have been answered.
func (f *handOverFleet) check(names ...string) {
	if len(names) == 0 {
		names = f.names
	}
	for _, name := range names {
		f.clients[name].finishHandOvers(context.Background())
	}
}

// holder returns the coordinator of the pool as a daemon sees it.
func (f *handOverFleet) holder(at string) string { return f.clients[at].coordinator("pool").id }

// change makes the present coordinator leave, as all daemons see it, and returns it with
// its successor and another daemon.
func (f *handOverFleet) change() (former, successor, other string) {
	former = f.holder("a")
	f.set(former, port.MemberLeaving)
	f.showAll()
	successor = f.holder("a")
	for _, name := range f.names {
		if name != former && name != successor {
			other = name
		}
	}
	return former, successor, other
}

// learn lets a daemon's scheduler observe the speed of a runner.
func (f *handOverFleet) learn(name string, runner int, slowness float64) {
	s, now := f.routingSchedulers[name], f.clock.Now()
	id := fmt.Sprint("sample-", name, runner, now.UnixNano())
	s.Adopt(now, &port.RunningRequest{Request: *newRequest(now, id, 10), EndpointID: fmt.Sprint("runner-", runner)})
	s.ObserveStream(now, id, port.StreamSample{Slowness: slowness})
	s.Finished(now, id, 0, port.FinishUntracked)
}

// knows returns the slowness of the runners that a daemon knows, by endpoint.
func (f *handOverFleet) knows(name string) map[string]float64 {
	out := map[string]float64{}
	for _, e := range f.routingSchedulers[name].HandOver(f.clock.Now(), "pool").Speeds {
		out[e.Endpoint] = e.Stated
	}
	return out
}

func (f *handOverFleet) attempts() []attempted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]attempted(nil), f.messages...)
}

// wantLines fails the test unless a daemon has logged n lines with all of the texts.
func (f *handOverFleet) wantLines(name string, n int, texts ...string) {
	f.t.Helper()
	if got := f.logs[name].count(texts...); got != n {
		f.t.Errorf("%s logged %d lines with %q, want %d:\n%s", name, got, texts, n, f.logs[name].text.String())
	}
}

// linkedPeer is a fakePeer with the faults of a handOverFleet.
type linkedPeer struct {
	fakePeer
	fleet *handOverFleet
}

func (p *linkedPeer) state() (cut, frozen bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.cut[p.to], p.fleet.frozen[p.to]
}

func (p *linkedPeer) Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) (port.Decision, error) {
	cut, frozen := p.state()
	if cut {
		return port.Decision{}, errLost
	}
	if frozen {
		onHold(&port.Decision{Verdict: port.VerdictHold})
		<-ctx.Done()
		return port.Decision{}, ctx.Err()
	}
	d, err := p.fakePeer.Place(ctx, r, onHold)
	if cut, _ := p.state(); cut || ctx.Err() != nil {
		return port.Decision{}, errLost
	}
	return d, err
}

func (p *linkedPeer) Update(ctx context.Context, adopted []port.RunningRequest, events []RunEvent) error {
	if cut, frozen := p.state(); cut || frozen {
		return errLost
	}
	return p.fakePeer.Update(ctx, adopted, events)
}

func (p *linkedPeer) HandOver(ctx context.Context, m *port.HandOver) (bool, error) {
	f := p.fleet
	f.mu.Lock()
	f.messages = append(f.messages, attempted{p.to, *m})
	fault := 0
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	if f.cut[p.to] || f.frozen[p.to] {
		fault = 1
	}
	f.mu.Unlock()
	if fault == 1 {
		return false, errLost
	}
	received := *m
	accepted, err := p.fakePeer.HandOver(ctx, &received)
	if fault == 2 {
		return false, errLost
	}
	return accepted, err
}
