package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// copyTimeout bounds one copy: several wait on one link behind each other.
const copyTimeout = 3 * time.Second

// moveAway begins to move the runs of endpoints that leave.
func (g *Gateway) moveAway() {
	for _, r := range g.runs.all() {
		g.moveIfLeaving(r)
	}
}

func (g *Gateway) moveIfLeaving(r *run) {
	at := r.at()
	h, knew := g.known.get(at.ID)
	if knew && h.Incarnation == at.Incarnation && h.State == port.EndpointLive {
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

// mover is one move under way: it copies a run to another runner, and stops it
// once the copy is fresh.
type mover struct {
	g     *Gateway
	run   *run
	state *moveState
	from  port.Endpoint
	move  *continuity.Move
	to    port.Endpoint
	// refused names the runners that could not take the copy.
	refused []string
}

func (m *mover) drive(ctx context.Context) {
	defer m.state.cancel()
	defer m.end()
	defer m.run.x.containMove()
	step := continuity.StepElsewhere
	for ctx.Err() == nil {
		switch step {
		case continuity.StepElsewhere:
			if !m.choose(ctx) {
				return
			}
			step = m.copyIfFitting(ctx)
		case continuity.StepCopy:
			step = m.copyIfFitting(ctx)
		case continuity.StepStop:
			if !m.isFitting() {
				step = m.elsewhere()
				continue
			}
			if m.run.stop(m.state) {
				m.copy(ctx, true)
			}
			return
		default:
			return
		}
	}
}

// end ends the move. Where it left no copy, the room that the scheduler keeps at
// the destination is given back; else prompts would wait for it until the run
// ends.
func (m *mover) end() {
	if m.run.endMove(m.state) {
		m.g.Placer.Relocated(m.run.x.req.ID, false, m.from.ID)
	}
}

// choose asks the scheduler for the runner that takes over.
func (m *mover) choose(ctx context.Context) bool {
	x := m.run.x
	d := m.g.Placer.Relocate(ctx, x.req.ID, port.Relocation{
		Excluded: m.refused, FailureDomain: m.from.FailureDomain,
	})
	x.note(verdictMove, d.Reason, d.Endpoint.ID, d.Candidates)
	m.to = d.Endpoint
	return d.Verdict == port.VerdictPlace
}

// isFitting reports whether the destination may still be sent the run.
func (m *mover) isFitting() bool { return !m.g.isEvacuated(m.to) }

// copyIfFitting makes one pass, unless the destination was evacuated meanwhile.
func (m *mover) copyIfFitting(ctx context.Context) continuity.Step {
	if !m.isFitting() {
		return m.elsewhere()
	}
	return m.copy(ctx, false)
}

// elsewhere gives up a destination that is evacuated, and with it all others that
// are: a scheduler that hasn't heard of it would name them one after the other.
func (m *mover) elsewhere() continuity.Step {
	m.refused = append(m.refused, m.to.ID)
	m.refused = append(m.refused, m.g.known.evacuatedOf(m.run.x.pool)...)
	return continuity.StepElsewhere
}

// copy makes one pass and returns what follows from it.
func (m *mover) copy(ctx context.Context, stop bool) continuity.Step {
	began := m.g.Clock()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	c, err := m.g.Endpoints.Copy(ctx, m.from, m.run.x.req.ID, m.to, stop)
	now := m.g.Clock()
	observe(m.g.metrics.copies, now.Sub(began))
	if c.Handle != "" {
		m.run.x.release(m.run.setCopy(m.state, &copyAt{from: m.from, to: m.to, handle: c.Handle}))
	}
	result := resultOf(err)
	m.run.x.note(verdictCopy, copyReason(stop, result, err), m.to.ID, nil)
	if result == continuity.Full {
		m.refused = append(m.refused, m.to.ID)
	}
	return m.move.Next(result, began, now)
}

// releaseTimeout bounds a call that frees a copy. One that fails leaves the copy
// to the runner's own bound.
const releaseTimeout = time.Second

// release frees a copy that nobody will use; nil is none. Runs that end while
// they are copied, and moves that find no room for the rest, left copies that
// took a twentieth of a full pool's caches until the runners dropped them, while
// prompts waited for room there.
func (x *exchange) release(c *copyAt) {
	if c == nil {
		return
	}
	go func() {
		defer x.containMove()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reason := "a copy that nobody uses is freed"
		if err := x.g.Endpoints.Release(ctx, c.to, c.handle); err != nil {
			reason = "a copy that nobody uses is left to the runner: " + err.Error()
		}
		x.note(verdictRelease, reason, c.to.ID, nil)
	}()
}

func resultOf(err error) continuity.Result {
	switch {
	case err == nil:
		return continuity.Copied
	case errors.Is(err, port.ErrNoRoom):
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
