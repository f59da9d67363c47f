package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// fleetPlan is what is drawn for one request.
type fleetPlan struct {
	Path string
	// Seed determines the faults.
	Seed uint64
	// Drops: an endpoint drops a run some time after its connection has closed.
	Drops     bool
	DropAfter time.Duration
	// Unframed: streams end with their connection.
	Unframed   bool
	Events     int
	EventPause time.Duration
}

func drawFleetPlan(t *rapid.T) fleetPlan {
	return fleetPlan{
		Path: rapid.SampledFrom([]string{"/two/", "/once/", "/resume/"}).Draw(t, "path"),
		Seed: rapid.Uint64().Draw(t, "seed"), Drops: rapid.Bool().Draw(t, "drops"),
		DropAfter: rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "drop after"),
		Unframed:  rapid.Bool().Draw(t, "unframed"), Events: rapid.IntRange(1, 60).Draw(t, "events"),
		EventPause: rapid.SampledFrom([]time.Duration{time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "pause"),
	}
}

// faultyFleet simulates endpoints, and other daemons, whose answers to calls of all kinds are
// lost, silent, reset, late or foreign. It records the runs of one request.
type faultyFleet struct {
	*harness
	fleetPlan

	mu         sync.Mutex
	faults     map[string]*callFaults
	conditions map[string]condition
	runs       []*faultyRun
	// copies are the unused copies by endpoint and handle.
	copies map[string]bool
	// begun counts the runs from the prompt, resumed those from a copy, continued those from
	// an event, unconfirmed the calls to stop a run that were not answered.
	begun, resumed, continued, unconfirmed int
	// start is when the request was sent, trace what the endpoints did since.
	start time.Time
	trace []string
}

// faultyRun is one run of the request at an endpoint.
type faultyRun struct {
	at           string
	next         int
	began, ended time.Time
	// over is closed when the run has ended, reset when its connection breaks.
	over, reset chan struct{}
	isReset     bool
}

func (r *faultyRun) isOver() bool { return !r.ended.IsZero() }

// answerFault is what becomes of the answer to a call.
type answerFault int

const (
	faultNone answerFault = iota
	faultNotSent
	faultLostBefore
	faultForeignBefore
	faultSilentBefore
	faultLostAfter
	faultForeignAfter
	faultSilentAfter
	// faultLate: the call is executed after its connection was reset.
	faultLate
	answerFaults
)

// callFaults draws the faults of the calls of one kind, so that the order of concurrent calls
// of different kinds doesn't matter. share is that of the faulty ones, in percent, and most of
// these have the usual fault.
type callFaults struct {
	*rand.Rand
	share int
	usual answerFault
}

// faultsOf returns the faults of a kind of call; f.mu must be held.
func (f *faultyFleet) faultsOf(kind string) *callFaults {
	c := f.faults[kind]
	if c == nil {
		h := fnv.New64a()
		_, _ = io.WriteString(h, kind)
		c = &callFaults{Rand: rand.New(rand.NewPCG(f.Seed, h.Sum64()))}
		c.share, c.usual = []int{0, 5, 15, 40, 90}[c.IntN(5)], answerFault(1+c.IntN(int(answerFaults)-1))
		f.faults[kind] = c
	}
	return c
}

func (c *callFaults) next() answerFault {
	switch {
	case c.IntN(100) >= c.share:
		return faultNone
	case c.IntN(3) > 0:
		return c.usual
	}
	return answerFault(1 + c.IntN(int(answerFaults)-1))
}

// connectTimeout is how long a connection to an endpoint that isn't reached takes to fail.
const connectTimeout = 100 * time.Millisecond

// call makes a call to an endpoint: execute has its effect there.
func (f *faultyFleet) call(ctx context.Context, kind, at string, execute func() error) error {
	f.mu.Lock()
	faults := f.faultsOf(kind)
	fault, late := faults.next(), time.Duration(faults.IntN(2000))*time.Millisecond
	takes := []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond}[faults.IntN(4)]
	f.mu.Unlock()
	if !sleepUnlessDone(ctx, takes) {
		return merry.Wrap(port.ErrEndpointLost, merry.WithCause(ctx.Err()))
	}
	f.mu.Lock()
	c := f.conditions[at]
	var err error
	switch {
	case c == conditionCut:
		f.mu.Unlock()
		sleepUnlessDone(ctx, connectTimeout)
		return port.ErrNotSent
	case c == conditionGone || fault == faultNotSent:
		f.trace = append(f.trace, fmt.Sprintf("%v: %s at %s: condition %d, not sent", time.Since(f.start), kind, at, c))
		f.mu.Unlock()
		return port.ErrNotSent
	case fault == faultLate:
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.conditions[at] != conditionGone {
				_ = execute()
			}
		})
	case fault == faultNone || fault >= faultLostAfter:
		err = execute()
	}
	if kind == "stop" && fault != faultNone {
		f.unconfirmed++
	}
	f.trace = append(f.trace, fmt.Sprintf("%v: %s at %s: fault %d, %v", time.Since(f.start), kind, at, fault, err))
	f.mu.Unlock()
	switch fault {
	case faultNone:
		return err
	case faultForeignBefore, faultForeignAfter:
		return port.ErrForeignAnswer
	case faultSilentBefore, faultSilentAfter:
		<-ctx.Done()
		return merry.Wrap(port.ErrEndpointLost, merry.WithCause(ctx.Err()))
	}
	return port.ErrEndpointLost
}

func (f *faultyFleet) begin(at string, next int) *faultyRun {
	r := &faultyRun{at: at, next: next, began: time.Now(), over: make(chan struct{}), reset: make(chan struct{})}
	f.runs = append(f.runs, r)
	f.trace = append(f.trace, fmt.Sprintf("%v: run at %s", time.Since(f.start), at))
	go func() {
		for {
			f.mu.Lock()
			if r.isOver() || r.next > f.Events {
				f.end(r)
				f.mu.Unlock()
				return
			}
			r.next++
			f.mu.Unlock()
			time.Sleep(f.EventPause)
		}
	}()
	return r
}

func (f *faultyFleet) end(r *faultyRun) {
	if !r.isOver() {
		r.ended = time.Now()
		close(r.over)
		f.trace = append(f.trace, fmt.Sprintf("%v: end at %s", time.Since(f.start), r.at))
	}
}

// disconnect closes the connection of a run.
func (f *faultyFleet) disconnect(r *faultyRun) {
	if !r.isReset {
		r.isReset = true
		close(r.reset)
		f.trace = append(f.trace, fmt.Sprintf("%v: connection closed at %s", time.Since(f.start), r.at))
	}
	if f.Drops {
		time.AfterFunc(f.DropAfter, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.end(r)
		})
	}
}

func (f *faultyFleet) Send(ctx context.Context, x *port.Exchange) (*port.Answer, error) {
	at, next := x.Endpoint.ID, 1
	var r *faultyRun
	lost := false
	err := f.call(ctx, "send", at, func() error {
		last := x.LastEventID
		if g := x.Generation; g != nil && g.Continue != nil {
			key := at + "/" + g.Continue.Handle
			if !f.copies[key] {
				return port.ErrRefused
			}
			delete(f.copies, key)
			last = g.Continue.LastEventID
			f.resumed++
		} else if last != "" {
			f.continued++
		} else {
			f.begun++
		}
		if last != "" {
			if _, err := fmt.Sscan(last, &next); err != nil {
				return err
			}
			next++
		}
		if r = f.begin(at, next); lost {
			f.disconnect(r)
		}
		return nil
	})
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if lost = true; r != nil {
			f.disconnect(r)
		}
		return nil, err
	}
	a, err := streamed(&faultyBody{f: f, ctx: ctx, run: r, sent: next})
	a.Delimited = !f.Unframed
	return a, err
}

func (f *faultyFleet) Copy(ctx context.Context, from port.Endpoint, _ string, to port.Endpoint, stop bool) (port.Copy, error) {
	kind := map[bool]string{false: "copy", true: "stop"}[stop]
	var c port.Copy
	err := f.call(ctx, kind, from.ID, func() error {
		r := f.runAt(from.ID)
		if r == nil {
			return port.ErrNoGeneration
		}
		if stop {
			f.end(r)
			f.copies[from.ID+"/h"] = true
			c = port.Copy{Handle: "h", Stopped: true}
		}
		if f.faultsOf(kind).IntN(8) == 0 {
			return port.ErrNoRoom
		}
		f.copies[to.ID+"/h"] = true
		c.Handle = "h"
		return nil
	})
	if err != nil && !errors.Is(err, port.ErrNoRoom) {
		return port.Copy{}, err
	}
	return c, err
}

func (f *faultyFleet) runAt(id string) *faultyRun {
	for _, r := range f.runs {
		if r.at == id && !r.isOver() {
			return r
		}
	}
	return nil
}

func (f *faultyFleet) Release(ctx context.Context, e port.Endpoint, handle string) error {
	return f.call(ctx, "release", e.ID, func() error {
		delete(f.copies, e.ID+"/"+handle)
		return nil
	})
}

func (f *faultyFleet) Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error) {
	err := f.call(ctx, "load", e.ID, func() error { return nil })
	return port.LoadReport{EndpointID: e.ID, Incarnation: e.Incarnation, State: port.EndpointLive}, err
}

func (f *faultyFleet) CheckPresence(ctx context.Context, e port.Endpoint, _ string) port.Presence {
	err := f.call(ctx, "check", e.ID, func() error { return nil })
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.conditions[e.ID] == conditionGone:
		return port.PresenceGone
	case err == nil:
		return port.PresenceServing
	case f.conditions[e.ID] == conditionCut:
		return port.PresenceUnreached
	case errors.Is(err, port.ErrForeignAnswer), ctx.Err() != nil:
		return port.PresenceUnknown
	}
	return port.PresenceSilent
}

func (f *faultyFleet) CheckPath(ctx context.Context, e port.Endpoint, path string) port.Presence {
	return f.CheckPresence(ctx, e, path)
}

func (f *faultyFleet) Relay(context.Context, *port.Member, *RelayedRequest, Responder) (*RelayResult, error) {
	return nil, ErrRelayNotAccepted
}

func (f *faultyFleet) CheckEndpoint(_ context.Context, _ *port.Member, e port.Endpoint) (reached, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conditions[e.ID] != conditionGone, f.faultsOf("peer").next() == faultNone
}

// faultyBody is the stream of a run, which breaks off at times.
type faultyBody struct {
	f    *faultyFleet
	ctx  context.Context
	run  *faultyRun
	sent int
}

func (b *faultyBody) Read(p []byte) (int, error) {
	f := b.f
	for {
		f.mu.Lock()
		switch {
		case b.ctx.Err() != nil:
			f.mu.Unlock()
			return 0, b.ctx.Err()
		case b.run.isReset:
			f.mu.Unlock()
			return 0, errReset
		case b.sent < b.run.next:
			f.happen(b.run)
			b.sent++
			f.mu.Unlock()
			return strings.NewReader(event(b.sent - 1)).Read(p)
		case b.run.isOver():
			f.mu.Unlock()
			if b.sent > f.Events || f.Unframed {
				return 0, io.EOF
			}
			return 0, errReset
		}
		f.mu.Unlock()
		select {
		case <-b.ctx.Done():
		case <-b.run.reset:
		case <-b.run.over:
		case <-time.After(f.EventPause):
		}
	}
}

// happen draws what happens to the endpoint of a run when it sends an event.
func (f *faultyFleet) happen(r *faultyRun) {
	if f.faultsOf("stream").IntN(4) > 0 {
		go f.setLeaving(r.at)
	}
	switch f.faultsOf("stream").IntN(60) {
	case 0, 1, 2:
		f.disconnect(r)
	case 3:
		f.conditions[r.at] = conditionGone
		f.end(r)
	case 4:
		f.conditions[r.at] = conditionCut
		f.disconnect(r)
	}
}

func (b *faultyBody) Close() error {
	b.f.mu.Lock()
	defer b.f.mu.Unlock()
	b.f.disconnect(b.run)
	return nil
}

// overlap returns the runs that were in progress at once, although
// this daemon reaches the endpoint of the first.
func (f *faultyFleet) overlap() string {
	for i, former := range f.runs {
		for _, later := range f.runs[i+1:] {
			if by := former.ended.Sub(later.began); by > 0 && f.conditions[former.at] != conditionCut {
				return fmt.Sprintf("%s still runs it %v after it began at %s", former.at, by, later.at)
			}
		}
	}
	return ""
}

// serve has the request served, and returns what is wrong with it.
func (f *faultyFleet) serve(t *testing.T) string {
	got := &fakeCaller{}
	f.start = time.Now()
	refusal := f.send(t, f.Path, got)
	// All late calls are executed, and all runs and checks end.
	time.Sleep(time.Minute)
	f.mu.Lock()
	defer f.mu.Unlock()
	if text := f.overlap(); text != "" {
		return text
	}
	if f.begun > 1 {
		return fmt.Sprintf("%d runs from the prompt", f.begun)
	}
	text := got.text()
	if text != events(1, strings.Count(text, "\n\n")) || refusal == nil && text != events(1, f.Events) {
		return fmt.Sprintf("the caller has %d events of %d, refusal %+v", strings.Count(text, "\n\n"), f.Events, refusal)
	}
	return ""
}

// requestsPerPlan is the number of requests that are served with the same plan but for the
// seed of the faults.
const requestsPerPlan = 10

// Guards against two runs at once of a request, and against an answer that looks whole and isn't, whatever answer to a request, a move, a health check, a load report, a release or a peer's question is lost, silent, late or foreign.
func TestRequestHasOneRunAtATime(t *testing.T) {
	var total faultyFleet
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawFleetPlan(rt)
		for range requestsPerPlan {
			plan.Seed++
			if wrong := playFleet(t, plan, &total); wrong != "" {
				rt.Fatal(wrong)
			}
		}
	})
	if total.resumed == 0 || total.continued == 0 || total.unconfirmed == 0 {
		t.Errorf("%d runs resumed, %d continued and %d calls to stop one not answered, want some of each", total.resumed, total.continued, total.unconfirmed)
	}
}

// playFleet serves one request, adds its counts to total, and returns what is wrong with it.
func playFleet(t *testing.T, plan fleetPlan, total *faultyFleet) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		f := &faultyFleet{
			harness: newIdleHarness(), fleetPlan: plan, faults: map[string]*callFaults{},
			conditions: map[string]condition{}, copies: map[string]bool{},
		}
		f.Endpoints, f.Relayer = f, f
		f.view.members = []port.Member{
			{ID: "g", State: port.MemberLive, CallerAddress: "g", PeerAddress: "g"},
			{ID: "peer", State: port.MemberLive, CallerAddress: "peer", PeerAddress: "peer"},
		}
		f.apply()
		if wrong = f.serve(t); wrong != "" {
			for _, d := range f.sink.All() {
				f.trace = append(f.trace, d.Verdict+" "+d.Endpoint+": "+d.Reason)
			}
			wrong = fmt.Sprintf("%s\n%+v\n%s", wrong, plan, strings.Join(f.trace, "\n"))
		}
		total.resumed, total.continued, total.unconfirmed = total.resumed+f.resumed, total.continued+f.continued, total.unconfirmed+f.unconfirmed
	})
	return wrong
}
