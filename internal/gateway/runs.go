package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// runs holds the streams in progress whose runs can be moved.
type runs struct {
	mu sync.Mutex
	m  map[string]*run
}

func (rs *runs) add(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.m == nil {
		rs.m = make(map[string]*run)
	}
	rs.m[r.x.req.ID] = r
}

func (rs *runs) remove(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.m[r.x.req.ID] == r {
		delete(rs.m, r.x.req.ID)
	}
}

func (rs *runs) all() []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*run, 0, len(rs.m))
	for _, r := range rs.m {
		out = append(out, r)
	}
	return out
}

// run is one stream in progress, read by its relay and copied by a move.
type run struct {
	x *exchange

	mu       sync.Mutex
	endpoint port.Endpoint
	lastID   string
	// source is the answer being read.
	source io.Closer
	// move is the last move away from the endpoint, nil if there is none.
	move *moveState
	// lateStopAt is the id of the endpoint at which a call to stop the run, whose answer is
	// missing, may still be executed; empty for none.
	lateStopAt string
}

// moveState is the state of a move away from one runner. It belongs to the
// source that the run had when the move began. Once the run continues from
// another source, later calls of the move have no effect. Otherwise the late
// end of one move would end the next one, whose channel would then be closed
// twice, and the panic would end the daemon with all its streams.
type moveState struct {
	// cancel ends the copy in progress.
	cancel context.CancelFunc
	// done is closed when the move ends.
	done chan struct{}
	// ended: the move is over, and another may begin unless this one stopped
	// the run.
	ended bool
	// stopping: the last copy has begun, so the end of the source is not a
	// failure.
	stopping bool
	// stop is the result of the calls to stop the run.
	stop stopResult
	// detached: the relay has resumed the run or has given it up.
	detached bool
	// latestCopy is the most recent copy of the run, nil if there is none.
	latestCopy *runCopy
	// resumingFrom is the copy from which the relay resumes or tries to resume
	// the run. Neither it nor a copy with the same runner and handle may be
	// released.
	resumingFrom *runCopy
	// resumed: the run has continued from the copy at its destination.
	resumed bool
}

// runCopy identifies a copy of a run.
type runCopy struct {
	from   port.Endpoint
	to     port.Endpoint
	handle string
}

// equal reports whether two values identify the same copy at the runner that
// holds it.
func (c *runCopy) equal(other *runCopy) bool {
	return c.to.ID == other.to.ID && c.handle == other.handle
}

// beginMove begins a move; cancel ends its copies. It returns nil if a move is
// in progress or has stopped the run. It also returns the endpoint of the run.
func (r *run) beginMove(cancel context.CancelFunc) (*moveState, port.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &moveState{cancel: cancel, done: make(chan struct{})}
	if before := r.move; before != nil {
		if !before.ended || before.stopping {
			return nil, r.endpoint
		}
		next.latestCopy = before.latestCopy
	}
	r.move = next
	return next, r.endpoint
}

// endMove ends a move, so that a waiting relay continues. It reports whether
// the run stays where it is and has no copy.
func (r *run) endMove(m *moveState) (staysWithoutCopy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.ended = true
	close(m.done)
	if m.stop.state.IsOver() && !m.detached {
		// The source should have ended by now. One that is still open without
		// sending anything is closed, because the relay would wait for it. A run
		// that may not be stopped is read on.
		time.AfterFunc(sourceGrace, r.closeSource(r.source))
	}
	return r.move == m && m.latestCopy == nil
}

// sourceGrace is how long after the last copy a stopped run's stream may take
// to arrive and end.
const sourceGrace = 300 * time.Millisecond

func (r *run) closeSource(source io.Closer) func() {
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.source == source && source != nil {
			// The relay's next read fails; an error of Close needs no other
			// handling.
			_ = source.Close()
		}
	}
}

// setCopy stores the latest copy of a run. It returns the copy that will no
// longer be used, nil if there is none: the previous one if it is at another
// runner, or this one if the run has detached from the move.
func (r *run) setCopy(m *moveState, c *runCopy) (unused *runCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := m.latestCopy
	switch {
	case m.resumingFrom != nil && m.resumingFrom.equal(c):
		return nil
	case m.detached:
		return c
	}
	m.latestCopy = c
	if before != nil && before.to.ID != c.to.ID {
		return before
	}
	return nil
}

// tryStop reports whether the run may be stopped for its last copy. It may not
// once the relay has resumed it from an earlier copy.
func (r *run) tryStop(m *moveState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.stopping = !m.detached
	return m.stopping
}

// endByMove waits for a move that is stopping the run. It returns nil if the run had ended by
// itself before the stop, else why the end of its source may not be that of the run. It also
// returns when done is closed.
func (r *run) endByMove(done <-chan struct{}) error {
	r.mu.Lock()
	m := r.move
	stopping := m != nil && m.stopping
	mayBeStopped := r.mayBeStopped()
	r.mu.Unlock()
	if !stopping {
		if mayBeStopped {
			return errEndUnknown
		}
		return nil
	}
	select {
	case <-m.done:
	case <-done:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case m.stop.state == continuity.StopConfirmed:
		return errRunStopped
	case (m.stop.state == continuity.StopNoRun || m.stop.state == continuity.StopRefused) && !r.mayBeStopped():
		return nil
	}
	return errEndUnknown
}

// setStop stores the result of the calls of a move to stop the run.
func (r *run) setStop(m *moveState, s *stopResult, at port.Endpoint) {
	r.noteStop(s, at)
	r.mu.Lock()
	m.stop = *s
	r.mu.Unlock()
}

// noteStop notes that calls to stop the run at an endpoint may still be executed there.
func (r *run) noteStop(s *stopResult, at port.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.unanswered {
		r.lateStopAt = at.ID
	}
}

// mayBeStopped reports whether such a call may end the run, which may have been resumed where
// it was; r.mu must be held.
func (r *run) mayBeStopped() bool { return r.lateStopAt != "" && r.lateStopAt == r.endpoint.ID }

// isOver reports whether the run is known to be over at its endpoint.
func (r *run) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.move != nil && r.move.stop.state.IsOver()
}

// setLastCopy stores the copy that was made when the relay stopped the run.
func (r *run) setLastCopy(c *runCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.move; m != nil {
		m.latestCopy, m.resumingFrom = c, c
	}
}

// setLastID stores the id of the last event sent to the caller.
func (r *run) setLastID(id string) {
	if id == "" {
		// A comment, or an event that doesn't change the position in the stream.
		return
	}
	r.mu.Lock()
	r.lastID = id
	r.mu.Unlock()
}

// currentEndpoint returns the endpoint of the run.
func (r *run) currentEndpoint() port.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint
}

// setSource sets the endpoint and the source from which the relay now reads. It
// returns a copy that will no longer be used, nil if there is none.
func (r *run) setSource(e port.Endpoint, source io.Closer) (unused *runCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.move; m != nil && m.latestCopy != nil {
		m.resumed = m.latestCopy.to.ID == e.ID
	}
	unused = r.detachMove()
	r.endpoint, r.source, r.move = e, source, nil
	return unused
}

// end ends the move in progress when the run ends. It returns the copy that
// will no longer be used, nil if there is none.
func (r *run) end() (unused *runCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detachMove()
}

// detachMove detaches the run from its move; r.mu must be held. It returns the
// copy that will not be used, nil if there is none.
func (r *run) detachMove() (unused *runCopy) {
	m := r.move
	if m == nil {
		return nil
	}
	m.detached = true
	m.cancel()
	if m.resumed {
		return nil
	}
	return m.latestCopy
}

// awaitCopy waits for the end of a move that is stopping the run. It returns
// the copy from which to resume the run, nil if there is none, and the id of
// the last event sent to the caller. No move copies or stops the run afterwards.
func (r *run) awaitCopy(done <-chan struct{}) (*runCopy, string) {
	r.mu.Lock()
	m := r.move
	stopping := m != nil && m.stopping
	if m != nil && !stopping {
		m.detached, m.resumingFrom = true, m.latestCopy
		m.cancel()
	}
	r.mu.Unlock()
	if m == nil {
		return nil, ""
	}
	if stopping {
		select {
		case <-m.done:
		case <-done:
			return nil, ""
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.resumingFrom = m.latestCopy
	return m.latestCopy, r.lastID
}
