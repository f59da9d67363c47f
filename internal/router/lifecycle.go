package router

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// lifecycle tracks a router from serving to stopped and counts its open requests.
type lifecycle struct {
	mu      sync.Mutex
	leaving bool
	stopped bool
	open    int
	// idle is closed once the router has stopped and no request is open.
	idle chan struct{}
	// handover is closed when the streams that are still open must be resumed at
	// another router.
	handover     chan struct{}
	drained      chan struct{}
	drainStarted chan struct{}
}

func (l *lifecycle) init() {
	l.idle = make(chan struct{})
	l.handover = make(chan struct{})
	l.drained = make(chan struct{})
	l.drainStarted = make(chan struct{})
}

// admit counts a request as open, or returns the cause for refusing it.
func (l *lifecycle) admit(limit int) Cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopped:
		return CauseStopping
	case l.open >= limit:
		return CauseTooManyOpen
	}
	l.open++
	return ""
}

// admit counts a request as open or returns its refusal. Every admitted request
// must be ended with lifecycle.release.
func (r *Router) admit(requestID string) *Refusal {
	cause := r.lifecycle.admit(r.o.MaxOpen)
	if cause == "" {
		return nil
	}
	refusal := &Refusal{Cause: cause, Outcome: outcome.NotRun, RetryAfter: defaultRetryAfter, LastIndex: -1}
	refusal.Detail = "this router stops; ask /v1/entry for another"
	if cause == CauseTooManyOpen {
		refusal.Detail = "this router has as many requests open as it may"
	}
	r.metrics.refusals.Inc(1)
	refusal.DecisionID = r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: requestID, Verdict: port.VerdictRefuse.String(),
		Reason: refusal.Error(), Outcome: string(outcome.NotRun),
	})
	return refusal
}

func (l *lifecycle) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.signalIfIdle()
}

func (l *lifecycle) signalIfIdle() {
	if !l.stopped || l.open > 0 {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

func (l *lifecycle) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.signalIfIdle()
}

// beginLeaving marks the router as leaving and reports whether this is the first
// call.
func (l *lifecycle) beginLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.leaving
	l.leaving = true
	if first {
		close(l.drainStarted)
	}
	return first
}

func (l *lifecycle) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}

// Leaving reports whether the router is shutting down and should get no new
// callers.
func (r *Router) Leaving() bool { return r.lifecycle.isLeaving() }

// Draining returns a channel that is closed when a graceful shutdown begins,
// whatever started it.
func (r *Router) Draining() <-chan struct{} { return r.lifecycle.drainStarted }

// OpenRequests returns the number of open requests.
func (r *Router) OpenRequests() int {
	r.lifecycle.mu.Lock()
	defer r.lifecycle.mu.Unlock()
	return r.lifecycle.open
}

// handoverGrace is the time after DrainTimeout for telling the callers of open
// streams where to resume and for writing the last replies.
const handoverGrace = 2 * time.Second

// Drain shuts the router down gracefully. It returns once no request is open: at
// the latest shortly after DrainTimeout for streams, and ServiceTimeout later for
// calls of plain services. Further calls wait for the same shutdown.
//
// The order matters. First the router announces that it is leaving, so that EntryAddresses
// no longer lists it anywhere. Then it keeps serving for as long as callers may
// cache older addresses, but at most half of DrainTimeout, because a refusal in
// that time would be an outage caused by a planned shutdown. Only then does it
// refuse new requests and wait for the open ones.
func (r *Router) Drain(ctx context.Context) {
	if !r.lifecycle.beginLeaving() {
		<-r.lifecycle.drained
		return
	}
	defer close(r.lifecycle.drained)
	deadline := time.NewTimer(r.o.DrainTimeout)
	defer deadline.Stop()
	r.Announcer.SetLeaving()
	sleep(ctx, min(r.o.EntryValidity, r.o.DrainTimeout/2))
	r.lifecycle.stop()
	select {
	case <-r.lifecycle.idle:
		return
	case <-deadline.C:
	case <-ctx.Done():
	}
	close(r.lifecycle.handover)
	grace := time.NewTimer(r.grace())
	defer grace.Stop()
	select {
	case <-r.lifecycle.idle:
	case <-grace.C:
	}
}

// grace is the time allowed after DrainTimeout. Calls of plain services can't be
// handed over, and some must run only once, so each may finish within its own
// timeout.
func (r *Router) grace() time.Duration { return r.o.ServiceTimeout + handoverGrace }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
