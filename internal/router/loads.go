package router

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits of load polling.
const (
	maxConcurrentPolls = 16
	// loadPollBurst lets a router that has just started poll several endpoints at
	// once.
	loadPollBurst = 16
)

// preferredLister is implemented by schedulers that list the runners whose load
// reports they need.
type preferredLister interface {
	Preferred() []string
}

// loadPoller polls endpoints for their load if no frame has delivered a report
// recently. Polls are control traffic, so their rate is limited: at the largest
// planned size, polling all stale endpoints would cost a hundred times what a
// daemon may spend on control traffic, while most reports arrive with frames
// anyway.
type loadPoller struct {
	r       *Router
	limiter *rate.Limiter
	mu      sync.Mutex
	// lastReport is when the last report of each endpoint arrived.
	lastReport map[string]time.Time
	// refusalPolls holds the last poll of each endpoint that was triggered by a
	// refused dispatch.
	refusalPolls map[string]refusalPoll
}

// refusalPoll is a poll of an endpoint that refused a dispatch.
type refusalPoll struct {
	startedAt time.Time
	finished  bool
}

func newLoadPoller(r *Router) *loadPoller {
	return &loadPoller{
		r: r, lastReport: make(map[string]time.Time), refusalPolls: make(map[string]refusalPoll),
		limiter: rate.NewLimiter(rate.Limit(r.o.LoadPollsPerSecond), loadPollBurst),
	}
}

func (l *loadPoller) run(ctx context.Context) {
	ticker := time.NewTicker(l.r.o.LoadInterval)
	defer ticker.Stop()
	for {
		l.pollDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollDue polls the endpoints that are due and waits for the answers.
func (l *loadPoller) pollDue(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, e := range l.due(l.r.Clock()) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			l.poll(ctx, e)
		})
	}
	wg.Wait()
}

// due returns the endpoints to poll now: the candidates with the oldest stale
// reports, as many as the rate limit allows.
func (l *loadPoller) due(now time.Time) []port.Endpoint {
	candidates := l.candidates()
	l.mu.Lock()
	defer l.mu.Unlock()
	stale := slices.DeleteFunc(candidates, func(e port.Endpoint) bool {
		return now.Sub(l.lastReport[e.ID]) <= l.r.o.LoadMaxAge
	})
	slices.SortStableFunc(stale, func(a, b port.Endpoint) int {
		return l.lastReport[a.ID].Compare(l.lastReport[b.ID])
	})
	allowed := 0
	for allowed < len(stale) && l.limiter.AllowN(now, 1) {
		allowed++
	}
	l.prune(now)
	return stale[:allowed]
}

// prune bounds the stored state. It clears the times of reports once there are many
// more of them than known endpoints, and deletes finished refusal polls after the
// load interval.
func (l *loadPoller) prune(now time.Time) {
	t := l.r.eligible.Load()
	known := len(t.runners) + len(t.services)
	if len(l.lastReport) > 2*known+maxConcurrentPolls {
		clear(l.lastReport)
	}
	maps.DeleteFunc(l.refusalPolls, func(_ string, last refusalPoll) bool {
		return last.finished && now.Sub(last.startedAt) >= l.r.o.LoadInterval
	})
}

// pollAfterRefusal polls an endpoint that has refused a dispatch at once. The
// refusal alone doesn't show whether the engine is leaving or full, but its report
// does. Without this poll, each request until the next regular one would be
// dispatched there in vain. One such poll per load interval is enough, as every
// report contains the state.
func (l *loadPoller) pollAfterRefusal(e port.Endpoint) {
	if !l.beginRefusalPoll(e.ID) {
		return
	}
	go func() {
		defer l.endRefusalPoll(e.ID)
		l.poll(context.Background(), e)
	}()
}

func (l *loadPoller) beginRefusalPoll(id string) bool {
	now := l.r.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.refusalPolls[id]
	if known && (!last.finished || now.Sub(last.startedAt) < l.r.o.LoadInterval) || !l.limiter.AllowN(now, 1) {
		return false
	}
	l.refusalPolls[id] = refusalPoll{startedAt: now}
	return true
}

func (l *loadPoller) endRefusalPoll(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusalPolls[id] = refusalPoll{startedAt: l.refusalPolls[id].startedAt, finished: true}
}

// candidates returns this router's subsets of the runners that the scheduler
// prefers and of the service endpoints.
func (l *loadPoller) candidates() []port.Endpoint {
	t := l.r.eligible.Load()
	services := subset(l.r.o.ID, t.services, l.r.o.LoadSubset)
	p, ok := l.r.Scheduler.(preferredLister)
	if !ok {
		return slices.Concat(subset(l.r.o.ID, t.runners, l.r.o.LoadSubset), services)
	}
	preferred := make(map[string]bool)
	for _, id := range p.Preferred() {
		preferred[id] = true
	}
	runners := slices.DeleteFunc(slices.Clone(t.runners), func(e port.Endpoint) bool {
		return !preferred[e.ID]
	})
	return slices.Concat(subset(l.r.o.ID, runners, l.r.o.LoadSubset), services)
}

func (l *loadPoller) poll(ctx context.Context, e port.Endpoint) {
	// An endpoint that is slow to answer must not delay the round.
	ctx, cancel := context.WithTimeout(ctx, l.r.o.LoadMaxAge)
	defer cancel()
	var report port.LoadReport
	var err error
	if e.Kind == port.KindService {
		report, err = l.r.Services.Load(ctx, e)
	} else {
		report, err = l.r.Engine.Load(ctx, e)
	}
	if err != nil || report.EndpointID != e.ID {
		return
	}
	l.r.handleReport(e, &report)
}

// handleReport processes an endpoint's report of its load and state.
func (r *Router) handleReport(e port.Endpoint, report *port.LoadReport) {
	now := r.Clock()
	r.loadPoller.mu.Lock()
	r.loadPoller.lastReport[e.ID] = now
	r.loadPoller.mu.Unlock()
	if e.Kind == port.KindService {
		r.balancer.Report(now, report)
	} else {
		r.Scheduler.Report(now, report)
	}
	if r.Observer != nil {
		r.Observer.ObserveReport(report)
	}
	leaving := report.State == port.EndpointLeaving || report.State == port.EndpointGone
	if leaving && report.Incarnation >= e.Incarnation {
		e.Incarnation = report.Incarnation
		r.markLeaving(e)
	}
}

// subset returns n endpoints for this router: those with the largest hash of both
// ids, so that the subsets of different routers overlap evenly.
func subset(id string, all []port.Endpoint, n int) []port.Endpoint {
	if len(all) <= n {
		return slices.Clone(all)
	}
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b port.Endpoint) int {
		return cmp.Compare(xxhash.Sum64String(id+"/"+b.ID), xxhash.Sum64String(id+"/"+a.ID))
	})
	return out[:n]
}
