package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// DrainOptions are the times of a graceful shutdown, each counted from its
// beginning. The process is killed at the end of a grace that it doesn't
// choose, so all of them come before.
type DrainOptions struct {
	// TakeGenerations is how long new generations are taken: they last many
	// seconds, and one that would outlast the grace is better begun elsewhere.
	TakeGenerations time.Duration
	// TakeCalls is how long calls are taken from callers that still hold this
	// daemon's address.
	TakeCalls time.Duration
	// End is when what is still open is broken off.
	End time.Duration
}

// lifecycle follows a gateway from serving to its end.
type lifecycle struct {
	mu      sync.Mutex
	leaving bool
	// began is when the shutdown began.
	began time.Time
	open  int
	begun chan struct{}
	// idle is closed when nothing is open and nothing more is taken.
	idle   chan struct{}
	closed bool
	// cut is closed when the open requests must end.
	cut chan struct{}
	// placing ends when generations are placed no more.
	placing     context.Context
	stopPlacing context.CancelFunc
}

func (l *lifecycle) init() {
	l.begun = make(chan struct{})
	l.idle = make(chan struct{})
	l.cut = make(chan struct{})
	l.placing, l.stopPlacing = context.WithCancel(context.Background())
}

// enter counts a request in, or returns why it isn't taken.
func (l *lifecycle) enter(now time.Time, limit int, takeFor time.Duration) Cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.leaving && now.Sub(l.began) >= takeFor:
		return CauseStopping
	case l.open >= limit:
		return CauseTooManyOpen
	}
	l.open++
	return ""
}

func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.checkIdle()
}

// stopTaking lets the shutdown end once nothing is open.
func (l *lifecycle) stopTaking() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.checkIdle()
}

func (l *lifecycle) checkIdle() {
	if !l.closed || l.open > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// begin reports whether this is the first call.
func (l *lifecycle) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.leaving, l.began = true, now
	close(l.begun)
	return true
}

// Leaving reports whether the daemon no longer wants new callers.
func (g *Gateway) Leaving() bool {
	g.life.mu.Lock()
	defer g.life.mu.Unlock()
	return g.life.leaving
}

// Draining is closed when a graceful shutdown begins, whoever asked for it.
func (g *Gateway) Draining() <-chan struct{} { return g.life.begun }

// Open counts the requests being served.
func (g *Gateway) Open() int {
	g.life.mu.Lock()
	defer g.life.mu.Unlock()
	return g.life.open
}

// Drain is the graceful shutdown. It returns once nothing is open, or at the
// end of the grace.
//
// The order matters. First the others hear that this daemon leaves, so that
// no entry answer names it; then it serves on those who hold an older answer,
// as a refusal or a closed connection there would be a cut by planned work;
// long generations are refused first, as they could not end in time.
func (g *Gateway) Drain(ctx context.Context) {
	if !g.life.begin(g.Clock()) {
		<-g.life.idle
		return
	}
	g.noteReady()
	g.Announcer.SetLeaving()
	late := time.AfterFunc(g.options().Drain.TakeGenerations, g.life.stopPlacing)
	defer late.Stop()
	sleep(ctx, g.options().Drain.TakeCalls)
	g.life.stopTaking()
	end := time.NewTimer(g.options().Drain.End - g.options().Drain.TakeCalls)
	defer end.Stop()
	select {
	case <-g.life.idle:
	case <-end.C:
		close(g.life.cut)
	case <-ctx.Done():
	}
}

// whilePlacing is a context that also ends when generations are placed no more:
// one that is held until then would be cut at the end of the grace.
func (g *Gateway) whilePlacing(ctx context.Context) (placing context.Context, stop func()) {
	placing, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(g.life.placing, cancel)
	return placing, func() { detach(); cancel() }
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// begin counts a request in or refuses it. A request that was let in must be
// ended by life.leave.
func (g *Gateway) begin(req *Request) *Refusal {
	takeFor := g.options().Drain.TakeCalls
	if req.Generation != nil {
		takeFor = g.options().Drain.TakeGenerations
	}
	cause := g.life.enter(g.Clock(), g.options().MaxOpen, takeFor)
	if cause == "" {
		return nil
	}
	refusal := &Refusal{Cause: cause, Outcome: outcome.NotRun, Detail: "this daemon stops; another one serves"}
	if cause == CauseTooManyOpen {
		refusal.Detail = "this daemon has as many requests open as it may"
	}
	return refusal
}
