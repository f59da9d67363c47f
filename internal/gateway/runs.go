package gateway

import (
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
	moving bool
	// stopping: the last copy has begun, so the end of the source is not taken
	// for a failure.
	stopping bool
	// copied is where a copy of the run lies, nil for nowhere.
	copied *copyAt
	// moved is closed at the end of the move.
	moved chan struct{}
}

// copyAt names a copy of a run.
type copyAt struct {
	from   port.Endpoint
	to     port.Endpoint
	handle string
}

// beginMove reports whether a move may begin, and where the run is.
func (r *run) beginMove() (port.Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moving {
		return port.Endpoint{}, false
	}
	r.moving = true
	r.moved = make(chan struct{})
	return r.endpoint, true
}

// endMove lets the relay go on.
func (r *run) endMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.moved)
	if r.stopping {
		// The source should have ended by now. One that stays silent is
		// closed, or the relay would wait for it.
		time.AfterFunc(sourceGrace, r.closeSource(r.source))
		return
	}
	r.moving = false
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

func (r *run) setCopy(c *copyAt) {
	r.mu.Lock()
	r.copied = c
	r.mu.Unlock()
}

func (r *run) setStopping() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
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

// reads notes the answer that the relay reads now.
func (r *run) reads(e port.Endpoint, source io.Closer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoint, r.source = e, source
	r.moving, r.stopping, r.copied = false, false, nil
}

// handover returns the copy from which the run goes on, once the move that is
// under way has ended; nil where there is none.
func (r *run) handover(done <-chan struct{}) (*copyAt, string) {
	r.mu.Lock()
	moved, stopping := r.moved, r.stopping
	r.mu.Unlock()
	if stopping {
		select {
		case <-moved:
		case <-done:
			return nil, ""
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copied, r.lastID
}
