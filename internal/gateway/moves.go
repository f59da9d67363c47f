package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// copyTimeout bounds one copy of a run that goes on, including the wait for other copies on
// the same link.
const copyTimeout = 3 * time.Second

// moveLeavingRuns begins to move the runs whose endpoints are leaving.
func (g *Gateway) moveLeavingRuns() {
	for _, r := range g.runs.all() {
		g.moveIfLeaving(r)
	}
}

func (g *Gateway) moveIfLeaving(r *run) {
	at := r.currentEndpoint()
	h, found := g.endpointTable.get(at.ID)
	if found && h.Incarnation == at.Incarnation && h.State == port.EndpointLive {
		return
	}
	if r.x.engine == nil || !r.x.engine.CopiesOnRequest {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.x.deadline)
	state, from := r.beginMove(cancel)
	if state == nil {
		cancel()
		return
	}
	m := &mover{g: g, run: r, state: state, from: from, move: continuity.NewMove(h.leavingSince.Add(g.options().ReclaimNotice))}
	go m.drive(ctx)
}

// mover performs one move: it copies a run to another runner, and stops the run
// once the copy is recent enough.
type mover struct {
	g     *Gateway
	run   *run
	state *moveState
	from  port.Endpoint
	move  *continuity.Move
	to    port.Endpoint
	// excluded holds the ids of the runners that could not accept the copy.
	excluded []string
}

func (m *mover) drive(ctx context.Context) {
	defer m.state.cancel()
	defer m.finish()
	defer m.run.x.recoverMove()
	step := continuity.StepNextDestination
	for m.run.x.awaitPauseEnd(ctx, verdictMove, m.from) {
		switch step {
		case continuity.StepNextDestination:
			if !m.chooseDestination(ctx) {
				return
			}
			step = m.copyIfAllowed(ctx)
		case continuity.StepCopy:
			step = m.copyIfAllowed(ctx)
		case continuity.StepStop:
			if !m.isDestinationAllowed() {
				step = m.rejectDestination()
				continue
			}
			if m.run.tryStop(m.state) {
				m.stop(ctx)
			}
			return
		default:
			return
		}
	}
}

// finish ends the move. If it left no copy, the room that the scheduler
// reserves at the destination is released; otherwise prompts would wait for
// that room until the run ends.
func (m *mover) finish() {
	if m.run.endMove(m.state) {
		m.g.Placer.Relocated(m.run.x.req.ID, false, m.from.ID)
	}
}

// chooseDestination requests the runner to move to from the scheduler.
func (m *mover) chooseDestination(ctx context.Context) bool {
	x := m.run.x
	d := m.g.Placer.Relocate(ctx, x.req.ID, port.RelocationConstraints{
		Excluded: m.excluded, FailureDomain: m.from.FailureDomain,
	})
	x.recordConcurrent(verdictMove, d.Reason, d.Endpoint.ID, d.Candidates)
	m.to = d.Endpoint
	return d.Verdict == port.VerdictPlace
}

// isDestinationAllowed reports whether the run may still be sent to the
// destination.
func (m *mover) isDestinationAllowed() bool { return m.g.whyIneligibleForRun(m.to) == eligible }

// copyIfAllowed copies once, unless the destination has become ineligible in the
// meantime.
func (m *mover) copyIfAllowed(ctx context.Context) continuity.Step {
	if !m.isDestinationAllowed() {
		return m.rejectDestination()
	}
	return m.copy(ctx)
}

// rejectDestination excludes the destination, which is ineligible, and all other
// ineligible runners of the pool: a scheduler that does not know of them yet would
// propose them one after the other.
func (m *mover) rejectDestination() continuity.Step {
	m.excluded = append(m.excluded, m.to.ID)
	m.excluded = append(m.excluded, m.g.ineligibleIDs(m.run.x.pool)...)
	return continuity.StepNextDestination
}

// copy copies once and returns the next step of the move.
func (m *mover) copy(ctx context.Context) continuity.Step {
	began := m.g.Clock()
	c, err := m.run.x.copyRun(ctx, m.from, m.to, false)
	if c.Handle != "" {
		m.run.x.release(m.run.setCopy(m.state, &runCopy{from: m.from, to: m.to, handle: c.Handle}))
	}
	result := resultOf(err)
	if result == continuity.Full {
		m.excluded = append(m.excluded, m.to.ID)
	}
	return m.move.Next(result, began, m.g.Clock())
}

// stop stops the run and copies its last part.
func (m *mover) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout+confirmTimeout)
	defer cancel()
	s := m.run.x.stopRun(ctx, m.from, m.to)
	if s.handle != "" {
		m.run.x.release(m.run.setCopy(m.state, &runCopy{from: m.from, to: m.to, handle: s.handle}))
	}
	m.run.setStop(m.state, &s, m.from)
}

// releaseTimeout bounds a call that releases a copy. If the call fails, the
// copy stays until the runner's own limit drops it.
const releaseTimeout = time.Second

// release releases a copy that will not be used; nil means none. Copies are
// left behind by runs that end while they are copied and by moves whose
// destination has no room for the rest. Unreleased, they took a twentieth of a
// full pool's caches until the runners dropped them, while prompts waited for
// room there.
func (x *exchange) release(c *runCopy) {
	if c == nil {
		return
	}
	if x.g.IsPaused(c.to) {
		x.recordConcurrent(verdictRelease, "a copy that nobody uses is left to the runner: "+string(ineligiblePaused), c.to.ID, nil)
		return
	}
	go func() {
		defer x.recoverMove()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reason := "a copy that nobody uses is freed"
		if err := x.g.Endpoints.Release(ctx, c.to, c.handle); err != nil {
			reason = "a copy that nobody uses is left to the runner: " + err.Error()
		}
		x.recordConcurrent(verdictRelease, reason, c.to.ID, nil)
	}()
}

func resultOf(err error) continuity.Result {
	switch {
	case err == nil:
		return continuity.Copied
	case errors.Is(err, port.ErrNoRoom), errors.Is(err, port.ErrCopyInProgress):
		return continuity.Full
	case errors.Is(err, port.ErrNoGeneration):
		return continuity.Ended
	default:
		return continuity.Failed
	}
}

func copyReason(stop bool, r continuity.Result, err error) string {
	text := "copied what is new"
	if stop {
		text = "stopped and copied the last part"
	}
	if r != continuity.Copied {
		text = "not copied: " + err.Error()
	}
	return text
}
