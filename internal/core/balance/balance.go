// Package balance chooses among the endpoints of a plain service by their load,
// which is reported with delay. It draws two endpoints at random and takes the one
// with less load, so that routers with the same outdated report don't all choose the
// same endpoint. Where endpoints state their speed, load is the expected time of a call,
// else it is the number of calls.
package balance

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Draw returns a random number in [0, n).
type Draw func(n int) int

// Options of a Balancer.
type Options struct {
	Draw Draw
	// ReportMaxAge is the age beyond which a load report is ignored.
	ReportMaxAge time.Duration
	// UnevenEndpoints compares endpoints by the expected time of a call where they state
	// their slowness.
	UnevenEndpoints bool
	// HasConnection reports whether an unused connection to an endpoint is open, which is
	// preferred to another endpoint with about the same expected time; nil means that none
	// is.
	HasConnection func(e *port.Endpoint) bool
}

// Balancer tracks the load of endpoints. It is safe for concurrent use.
type Balancer struct {
	o     Options
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	// outstanding is the number of open calls of this router.
	outstanding int
	reported    int
	// started and ended count this router's calls since the report.
	started    int
	ended      int
	reportedAt time.Time
	// timing is what is known about the time of a call. Only Options.UnevenEndpoints uses it.
	timing timing
}

// New returns an empty balancer.
func New(o Options) *Balancer { return &Balancer{o: o, loads: make(map[string]*load)} }

// Choose picks an endpoint and counts a call to it; the caller must call End when
// the call is over. It returns false if there are no candidates.
func (b *Balancer) Choose(now time.Time, candidates []port.Endpoint) (port.Endpoint, []port.CandidateScore, bool) {
	if len(candidates) == 0 {
		return port.Endpoint{}, nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	score := b.score
	better := func(a, b *port.CandidateScore, _, _ *port.Endpoint) bool { return a.Score < b.Score }
	if pool, stated := b.poolTimes(now, candidates); stated {
		score = func(now time.Time, e port.Endpoint) port.CandidateScore { return b.scoreTime(now, &pool, &e) }
		better = b.isFaster
	}
	first := b.o.Draw(len(candidates))
	best := candidates[first]
	scores := []port.CandidateScore{score(now, best)}
	if len(candidates) > 1 {
		second := b.o.Draw(len(candidates) - 1)
		if second >= first {
			second++
		}
		scores = append(scores, score(now, candidates[second]))
		if better(&scores[1], &scores[0], &candidates[second], &candidates[first]) {
			best = candidates[second]
		}
	}
	l := b.entry(best.ID)
	l.outstanding++
	l.started++
	return best, scores, true
}

// End records the end of a call that Choose counted.
func (b *Balancer) End(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(endpoint)
	l.outstanding--
	l.ended++
}

// Report records the load that an endpoint reports.
func (b *Balancer) Report(now time.Time, r *port.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(r.EndpointID).report(now, r.Running+r.Waiting)
}

func (l *load) report(now time.Time, calls int) {
	l.reported = calls
	l.started, l.ended = 0, 0
	l.reportedAt = now
}

// Retain drops all endpoints except the known ones and those with open calls.
func (b *Balancer) Retain(known map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, l := range b.loads {
		if !known[id] && l.outstanding == 0 {
			delete(b.loads, id)
		}
	}
}

// Forget drops an endpoint that was removed, unless calls to it are still open.
func (b *Balancer) Forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[endpoint]; l != nil && l.outstanding == 0 {
		delete(b.loads, endpoint)
	}
}

// Len returns the number of tracked endpoints.
func (b *Balancer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.loads)
}

func (b *Balancer) entry(id string) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// score returns the estimated number of calls at the endpoint: its last report,
// corrected by the calls of this router since then, and at least the open calls of
// this router.
func (b *Balancer) score(now time.Time, e port.Endpoint) port.CandidateScore {
	l := b.loads[e.ID]
	if l == nil {
		return port.CandidateScore{Endpoint: e.ID}
	}
	n := l.outstanding
	if !l.reportedAt.IsZero() && now.Sub(l.reportedAt) <= b.o.ReportMaxAge {
		n = max(n, l.reported+l.started-l.ended)
	}
	return port.CandidateScore{Endpoint: e.ID, Score: float64(n)}
}
