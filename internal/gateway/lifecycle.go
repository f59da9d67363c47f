package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// DrainOptions are the time limits of a graceful shutdown, each counted from
// its beginning. All must be shorter than the grace period after which the
// process is killed, which the daemon does not control.
type DrainOptions struct {
	// AcceptGenerationsFor is how long new generations are accepted. They last many
	// seconds, and one that would outlast the grace period is better started at
	// another daemon.
	AcceptGenerationsFor time.Duration
	// AcceptCallsFor is how long calls are accepted from callers that still have
	// this daemon's address.
	AcceptCallsFor time.Duration
	// ForceCloseAfter is when the requests that are still open are cancelled.
	ForceCloseAfter time.Duration
}

// lifecycle is the state of a gateway from its start to the end of its
// shutdown.
type lifecycle struct {
	mu      sync.Mutex
	leaving bool
	// drainStarted is when the shutdown began.
	drainStarted time.Time
	openRequests int
	draining     chan struct{}
	// idle is closed once no request is open and no more are accepted.
	idle             chan struct{}
	stoppedAccepting bool
	// forceClose is closed when the requests still open must end.
	forceClose chan struct{}
	// placingCtx ends when generations are no longer placed.
	placingCtx  context.Context
	stopPlacing context.CancelFunc
}

func (l *lifecycle) init() {
	l.draining = make(chan struct{})
	l.idle = make(chan struct{})
	l.forceClose = make(chan struct{})
	l.placingCtx, l.stopPlacing = context.WithCancel(context.Background())
}

// enter counts a request as open, or returns why it is not accepted.
func (l *lifecycle) enter(now time.Time, limit int, acceptFor time.Duration) Cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.leaving && now.Sub(l.drainStarted) >= acceptFor:
		return CauseStopping
	case l.openRequests >= limit:
		return CauseTooManyOpen
	}
	l.openRequests++
	return ""
}

func (l *lifecycle) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openRequests--
	l.checkIdle()
}

// stopAccepting lets the shutdown end once no request is open.
func (l *lifecycle) stopAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppedAccepting = true
	l.checkIdle()
}

func (l *lifecycle) checkIdle() {
	if !l.stoppedAccepting || l.openRequests > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// beginDrain starts the shutdown and reports whether this is the first call.
func (l *lifecycle) beginDrain(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.leaving, l.drainStarted = true, now
	close(l.draining)
	return true
}

// Leaving reports whether the shutdown has begun, so that the daemon accepts no
// new callers.
func (g *Gateway) Leaving() bool {
	g.lifecycle.mu.Lock()
	defer g.lifecycle.mu.Unlock()
	return g.lifecycle.leaving
}

// Draining returns a channel that is closed when a graceful shutdown begins,
// whoever requested it.
func (g *Gateway) Draining() <-chan struct{} { return g.lifecycle.draining }

// OpenRequests returns the number of requests being served.
func (g *Gateway) OpenRequests() int {
	g.lifecycle.mu.Lock()
	defer g.lifecycle.mu.Unlock()
	return g.lifecycle.openRequests
}

// Drain performs the graceful shutdown. It returns once no request is open, or
// at the end of the grace period.
//
// The order matters. First the other daemons are informed that this one is
// leaving, so that no answer of Entry names it. Then it continues to serve
// callers that have an older answer, because refusing them or closing their
// connections would interrupt requests for planned work. New generations are
// refused first, because they could not finish in time.
func (g *Gateway) Drain(ctx context.Context) {
	if !g.lifecycle.beginDrain(g.Clock()) {
		<-g.lifecycle.idle
		return
	}
	g.recordReadiness()
	g.Announcer.SetLeaving()
	stopPlacing := time.AfterFunc(g.options().Drain.AcceptGenerationsFor, g.lifecycle.stopPlacing)
	defer stopPlacing.Stop()
	sleep(ctx, g.options().Drain.AcceptCallsFor)
	g.lifecycle.stopAccepting()
	end := time.NewTimer(g.options().Drain.ForceCloseAfter - g.options().Drain.AcceptCallsFor)
	defer end.Stop()
	select {
	case <-g.lifecycle.idle:
	case <-end.C:
		close(g.lifecycle.forceClose)
	case <-ctx.Done():
	}
}

// placingContext returns a context that also ends when generations are no
// longer placed. A generation that is held until then would be cut off at the
// end of the grace period.
func (g *Gateway) placingContext(ctx context.Context) (placing context.Context, stop func()) {
	placing, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(g.lifecycle.placingCtx, cancel)
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

// openRequest counts a request as open or refuses it. A request that is not
// refused must be ended by lifecycle.exit.
func (g *Gateway) openRequest(req *Request) *Refusal {
	acceptFor := g.options().Drain.AcceptCallsFor
	if req.Generation != nil {
		acceptFor = g.options().Drain.AcceptGenerationsFor
	}
	cause := g.lifecycle.enter(g.Clock(), g.options().MaxOpen, acceptFor)
	if cause == "" {
		return nil
	}
	refusal := &Refusal{Cause: cause, Outcome: outcome.NotRun, Detail: "this daemon stops; another one serves"}
	if cause == CauseTooManyOpen {
		refusal.Detail = "this daemon has as many requests open as it may"
	}
	return refusal
}
