package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// runs holds the streams under way whose runs can be moved.
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

// run is one stream under way: the relay reads it, a move copies it.
type run struct {
	x *exchange

	mu       sync.Mutex
	endpoint port.Endpoint
	lastID   string
	// source is the answer that is being read.
	source io.Closer
	// move is the last move off the endpoint, nil for none.
	move *moveState
}

// moveState is what a move off one runner has come to. It belongs to the source
// that the run had when the move began: once the run goes on from another
// source, what that move still does is of no effect. Without this a late end of
// one move ended the next one, whose channel was then closed twice, and the
// daemon fell with all its streams.
type moveState struct {
	// cancel ends the copy that is under way.
	cancel context.CancelFunc
	// done is closed at the end of the move.
	done chan struct{}
	// ended: the move is over, and another may begin unless it stopped the run.
	ended bool
	// stopping: the last copy has begun, so the end of the source is not taken
	// for a failure.
	stopping bool
	// left: the relay has taken the run up, or has given it up.
	left bool
	// copied is where a copy of the run lies, nil for nowhere.
	copied *copyAt
	// handed is the copy that the relay goes on from, or tries to; it is not
	// freed, and neither is one that bears its name.
	handed *copyAt
	// taken: the run went on from the copy at its destination.
	taken bool
}

// copyAt names a copy of a run.
type copyAt struct {
	from   port.Endpoint
	to     port.Endpoint
	handle string
}

// same reports whether two copies are one at the runner that holds them.
func (c *copyAt) same(other *copyAt) bool {
	return c.to.ID == other.to.ID && c.handle == other.handle
}

// beginMove begins a move, whose copies cancel ends; nil where one is under way
// or has stopped the run. It also returns where the run is.
func (r *run) beginMove(cancel context.CancelFunc) (*moveState, port.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &moveState{cancel: cancel, done: make(chan struct{})}
	if before := r.move; before != nil {
		if !before.ended || before.stopping {
			return nil, r.endpoint
		}
		next.copied = before.copied
	}
	r.move = next
	return next, r.endpoint
}

// endMove lets the relay go on. It reports whether the run stays where it is,
// without a copy.
func (r *run) endMove(m *moveState) (stays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.ended = true
	close(m.done)
	if m.stopping && !m.left {
		// The source should have ended by now. One that stays silent is
		// closed, or the relay would wait for it.
		time.AfterFunc(sourceGrace, r.closeSource(r.source))
	}
	return r.move == m && m.copied == nil
}

// sourceGrace is how long a stopped run's stream may take to arrive and end.
const sourceGrace = 300 * time.Millisecond

func (r *run) closeSource(source io.Closer) func() {
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.source == source && source != nil {
			// Its reader sees the end; there is nothing else to do about it.
			_ = source.Close()
		}
	}
}

// setCopy notes where a copy of the run lies. It returns the copy that nobody
// will use any more, nil for none: the one before at another runner, or this one
// where the run has left the move behind.
func (r *run) setCopy(m *moveState, c *copyAt) (useless *copyAt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := m.copied
	switch {
	case m.handed != nil && m.handed.same(c):
		return nil
	case m.left:
		return c
	}
	m.copied = c
	if before != nil && before.to.ID != c.to.ID {
		return before
	}
	return nil
}

// stop reports whether the run may be stopped for its last copy: not once the
// relay has taken it up from an earlier one.
func (r *run) stop(m *moveState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.stopping = !m.left
	return m.stopping
}

// took notes an event that the caller has.
func (r *run) took(id string) {
	r.mu.Lock()
	r.lastID = id
	r.mu.Unlock()
}

// at is where the run is.
func (r *run) at() port.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint
}

// reads notes the source that the relay reads now. It returns a copy that
// nobody will use any more, nil for none.
func (r *run) reads(e port.Endpoint, source io.Closer) (useless *copyAt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.move; m != nil && m.copied != nil {
		m.taken = m.copied.to.ID == e.ID
	}
	useless = r.leave()
	r.endpoint, r.source, r.move = e, source, nil
	return useless
}

// end ends the move that is under way with the run. It returns the copy that
// nobody will use any more, nil for none.
func (r *run) end() (useless *copyAt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leave()
}

// leave ends the part that a move has in the run; r.mu is held.
func (r *run) leave() (useless *copyAt) {
	m := r.move
	if m == nil {
		return nil
	}
	m.left = true
	m.cancel()
	if m.taken {
		return nil
	}
	return m.copied
}

// handover returns the copy from which the run goes on, once a move that has
// stopped the run has ended; nil where there is none. No move stops the run
// afterwards.
func (r *run) handover(done <-chan struct{}) (*copyAt, string) {
	r.mu.Lock()
	m := r.move
	stopping := m != nil && m.stopping
	if m != nil && !stopping {
		m.left, m.handed = true, m.copied
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
	m.handed = m.copied
	return m.copied, r.lastID
}
