package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// maxStopCalls bounds the calls to stop one run: answers may be lost.
	maxStopCalls = 4
	// stopRetryDelay is the time between the first two of them; it doubles with each further
	// one. It is short because the caller may be waiting for the next event, and grows because
	// a runner may still be busy with an earlier copy.
	stopRetryDelay = 50 * time.Millisecond
	// stopCallTimeout bounds each of them. The stream stands still meanwhile, and a further call
	// finds out what became of the run: that it is over, or still copied. The last part of a
	// run takes tens of milliseconds unless the links are busy.
	stopCallTimeout = time.Second
	// minUnreached is the number of health checks in a row for which no connection could be
	// established until the runner counts as out of reach. Less may be due to lost packets.
	minUnreached = 2
	// confirmTimeout bounds the calls to stop a run whose stream has broken off. A caller
	// that waits for longer would take its stream for lost. It has room for a call whose
	// connect fails after half a second, and for the checks that follow.
	confirmTimeout = 2 * time.Second
	// reachCheckTimeout bounds a check of whether a runner is reached. It exceeds the default
	// limit of a connect: a check that ends earlier doesn't show that the connect failed.
	reachCheckTimeout = 600 * time.Millisecond
)

// stopResult is the result of the calls to stop a run.
type stopResult struct {
	state continuity.StopState
	// handle is that of the run's last copy, empty if none was made. copied: the destination
	// has that copy; else only the source has.
	handle string
	copied bool
	// unanswered: a call before the last one may have stopped the run without an answer.
	unanswered bool
}

// copyRun copies the run of the request once. With stop the run is stopped first.
func (x *exchange) copyRun(ctx context.Context, from, to port.Endpoint, stop bool) (port.Copy, error) {
	began := x.g.Clock()
	timeout := copyTimeout
	if stop {
		timeout = stopCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := x.g.Endpoints.Copy(ctx, from, x.req.ID, to, stop)
	observe(x.g.metrics.copyDuration, x.g.Clock().Sub(began))
	x.recordConcurrent(verdictCopy, copyReason(stop, resultOf(err), err), to.ID, nil)
	return c, err
}

// stopRun stops the run of the request at its endpoint and copies its last part. It calls
// again after an answer that doesn't confirm the stop: a runner that has stopped the run
// then has no such run.
func (x *exchange) stopRun(ctx context.Context, from, to port.Endpoint) (s stopResult) {
	for n := 0; n < maxStopCalls; n++ {
		if n > 0 && !sleepUnlessDone(ctx, stopRetryDelay<<(n-1)) {
			return s
		}
		if x.g.isEvacuated(to) || !x.awaitPauseEnd(ctx, verdictMove, from) {
			return s
		}
		c, err := x.copyRun(ctx, from, to, true)
		s.handle, s.copied, s.state = c.Handle, c.Handle != "" && err == nil, x.stopStateOf(ctx, from, c, err)
		if s.state.IsOver() || s.state == continuity.StopRefused || s.state == continuity.StopUnreachable {
			return s
		}
		if errors.Is(err, port.ErrCopyInProgress) {
			// Nothing was lost, so the call doesn't count; only ctx limits the wait.
			n = 0
		}
		s.unanswered = s.unanswered || !errors.Is(err, port.ErrNotSent)
	}
	return s
}

// sleepUnlessDone reports whether the time has passed before the end of the context.
func sleepUnlessDone(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stopStateOf returns what the answer to a call to stop a run shows.
func (x *exchange) stopStateOf(ctx context.Context, from port.Endpoint, c port.Copy, err error) continuity.StopState {
	switch {
	case c.Stopped:
		return continuity.StopConfirmed
	case errors.Is(err, port.ErrNoGeneration), errors.Is(err, port.ErrMisdirected):
		return continuity.StopNoRun
	case !errors.Is(err, port.ErrNotSent):
		return continuity.StopUnconfirmed
	}
	return x.stopStateByCheck(ctx, from)
}

// stopStateByCheck returns what health checks show of a run that no call to stop it reached. A
// runner that answers them and not for its load report is reached.
func (x *exchange) stopStateByCheck(ctx context.Context, from port.Endpoint) continuity.StopState {
	for range minUnreached {
		presence := x.checkReach(ctx, from)
		switch {
		case presence == port.PresenceReplaced:
			return continuity.StopNoRun
		case presence == port.PresenceGone:
			return continuity.StopRefused
		case presence != port.PresenceUnreached || ctx.Err() != nil:
			return continuity.StopUnconfirmed
		}
	}
	return continuity.StopUnreachable
}

// checkReach checks whether an endpoint is reached.
func (x *exchange) checkReach(ctx context.Context, e port.Endpoint) port.Presence {
	ctx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	return x.g.Endpoints.CheckPresence(ctx, e, x.g.healthPath(e.Pool))
}

// showsEnd reports whether a run is over whose stream broke off.
func (s *stopResult) showsEnd(streamErr error) bool {
	// Without a path to the runner, the end of its stream is all that is known.
	noPath := s.state == continuity.StopUnreachable && !s.unanswered || s.state == continuity.StopRefused
	return s.state.IsOver() || noPath && !errors.Is(streamErr, errNotNextEvent)
}

// ensureStopped returns the copy from which the run may go on elsewhere, nil if its runner
// may still be working on it. The end of a stream doesn't show that: some runners finish a
// run whose connection was closed.
func (r *relay) ensureStopped(c *runCopy, streamErr error) *runCopy {
	if r.run.isOver() {
		return c
	}
	ctx, cancel := context.WithTimeout(r.attempt, confirmTimeout)
	defer cancel()
	s := r.x.stopRun(ctx, c.from, c.to)
	r.run.noteStop(&s, c.from)
	if !s.showsEnd(streamErr) {
		r.unconfirmed = true
		r.x.recordConcurrent(verdictResume, "not taken up: its runner may still be working on it", c.from.ID, nil)
		return nil
	}
	if s.handle != "" {
		c = &runCopy{from: c.from, to: c.to, handle: s.handle}
		r.run.setLastCopy(c)
	}
	return c
}

// stopBefore has the run that is abandoned stopped before it is continued at an endpoint. It
// reports whether that run is over, and returns its copy at the endpoint, nil for none.
func (r *relay) stopBefore(ctx context.Context, to port.Endpoint, streamErr error) (c *runCopy, over bool) {
	x := r.x
	switch {
	case !x.ledger.InProgress():
		return nil, true
	case x.engine == nil || !x.engine.CopiesOnRequest:
		// No call can stop it at its endpoint.
		x.ledger.Stopped()
		return nil, !x.ledger.InProgress()
	case !r.unconfirmed && (r.ranAt.ID != r.run.currentEndpoint().ID || !r.run.isOver()):
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		s := x.stopRun(ctx, r.ranAt, to)
		r.unconfirmed = !s.showsEnd(streamErr) && (errors.Is(streamErr, errNotNextEvent) || !x.isSilent(ctx, r.ranAt))
		c = r.copyOf(&s, to, streamErr)
	}
	if r.unconfirmed {
		return nil, false
	}
	x.ledger.Stopped()
	return c, !x.ledger.InProgress()
}

// isSilent reports whether an endpoint isn't reached, also through something that accepts its
// connections and breaks them, as a proxy before a process that has ended does.
func (x *exchange) isSilent(ctx context.Context, e port.Endpoint) bool {
	for range minUnreached {
		switch x.checkReach(ctx, e) {
		case port.PresenceSilent, port.PresenceUnreached, port.PresenceGone:
		case port.PresenceReplaced:
			return true
		default:
			return false
		}
	}
	return true
}

// copyOf returns the copy of a stopped run at an endpoint, and releases one that can't be used:
// the endpoint has none, or the run isn't that of the caller's stream.
func (r *relay) copyOf(s *stopResult, at port.Endpoint, streamErr error) *runCopy {
	switch {
	case s.handle == "":
	case s.copied && !errors.Is(streamErr, errNotNextEvent) && !errors.Is(streamErr, errNoContinuation):
		return &runCopy{from: r.ranAt, to: at, handle: s.handle}
	default:
		r.x.release(&runCopy{from: r.ranAt, to: r.ranAt, handle: s.handle})
	}
	return nil
}
