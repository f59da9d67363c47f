// Package balance chooses among the endpoints of a plain service by their
// load, which is reported late. Two endpoints are drawn at random and the one
// with less load takes the call, so that routers that share the same old
// report don't all choose the same endpoint.
package balance

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Draw returns a number from 0 up to n, which it never reaches.
type Draw func(n int) int

// Options of a Balancer.
type Options struct {
	Draw Draw
	// ReportMaxAge is the age past which a report says nothing any more.
	ReportMaxAge time.Duration
}

// Balancer keeps the load of endpoints. It is safe for concurrent use.
type Balancer struct {
	o  Options
	mu sync.Mutex
	m  map[string]*load
}

type load struct {
	// outstanding calls of this router.
	outstanding int
	reported    int
	// begun and ended count this router's calls since the report.
	begun    int
	ended    int
	received time.Time
}

// New returns an empty balancer.
func New(o Options) *Balancer { return &Balancer{o: o, m: make(map[string]*load)} }

// Choose picks an endpoint and counts a call to it. End must follow. It
// returns false where there is no candidate.
func (b *Balancer) Choose(now time.Time, candidates []port.Endpoint) (port.Endpoint, []port.CandidateScore, bool) {
	if len(candidates) == 0 {
		return port.Endpoint{}, nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.o.Draw(len(candidates))
	best := candidates[first]
	scores := []port.CandidateScore{b.score(now, best)}
	if len(candidates) > 1 {
		second := b.o.Draw(len(candidates) - 1)
		if second >= first {
			second++
		}
		scores = append(scores, b.score(now, candidates[second]))
		if scores[1].Score < scores[0].Score {
			best = candidates[second]
		}
	}
	l := b.entry(best.ID)
	l.outstanding++
	l.begun++
	return best, scores, true
}

// End counts the end of a call that Choose began.
func (b *Balancer) End(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(endpoint)
	l.outstanding--
	l.ended++
}

// Report takes an endpoint's own word.
func (b *Balancer) Report(now time.Time, r *port.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(r.EndpointID)
	l.reported = r.Running + r.Waiting
	l.begun, l.ended = 0, 0
	l.received = now
}

// Keep forgets the endpoints that are not among those known.
func (b *Balancer) Keep(known map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.m {
		if !known[id] && l.outstanding == 0 {
			delete(b.m, id)
		}
	}
}

// Forget drops an endpoint that is gone, unless calls to it are still open.
func (b *Balancer) Forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.m[endpoint]; l != nil && l.outstanding == 0 {
		delete(b.m, endpoint)
	}
}

// Len counts the endpoints that are remembered.
func (b *Balancer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.m)
}

func (b *Balancer) entry(id string) *load {
	l := b.m[id]
	if l == nil {
		l = &load{}
		b.m[id] = l
	}
	return l
}

// score is the number of calls thought to be at the endpoint: its last report
// corrected by this router's calls since, and never below this router's own.
func (b *Balancer) score(now time.Time, e port.Endpoint) port.CandidateScore {
	l := b.m[e.ID]
	if l == nil {
		return port.CandidateScore{Endpoint: e.ID}
	}
	n := l.outstanding
	if !l.received.IsZero() && now.Sub(l.received) <= b.o.ReportMaxAge {
		n = max(n, l.reported+l.begun-l.ended)
	}
	return port.CandidateScore{Endpoint: e.ID, Score: float64(n)}
}
