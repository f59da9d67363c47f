package balance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/speed"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// minCalls is the number of calls from which on their mean time counts as the
	// endpoint's service time. Single calls differ by a factor of 2.
	minCalls = 3
	// meanCalls bounds the weight of earlier calls in the service time: a new call counts
	// for at least 1/meanCalls.
	meanCalls = 10
	// rememberFor is the time after which an endpoint that has answered no call counts as
	// the pool's median again, so that a wrong or outdated estimate is corrected by a call.
	// At 1.5 calls per second to a pool, about 2% of the calls are such trials.
	rememberFor = 30 * time.Second
	// failurePenalty multiplies the expected time at an endpoint, which then is at least the
	// pool's median, for failurePenaltyFor after a failed call. Without it, an endpoint that
	// fails gains calls whenever the others turn slower, because its own estimate stays.
	failurePenalty    = 1.25
	failurePenaltyFor = 2 * time.Second
	// similarTimes is the ratio of two expected times up to which an open connection
	// decides.
	similarTimes = 1.1
)

// minCallMillis bounds the median time of a call from below, because it divides.
const minCallMillis = 0.001

// absolute makes estimates of speed multiples of what endpoints state as normal.
var absolute = speed.Pool{Stated: 1}

// timing is what the answers of one incarnation of an endpoint show of the time of a call.
type timing struct {
	incarnation uint64
	slots       int
	speed       speed.Endpoint
	// service is the mean time of a call in milliseconds at a slowness of 1, without the
	// time spent waiting for a slot; calls counts the calls in it, up to meanCalls.
	service float64
	calls   int
	// answeredAt is the time of the last successful call or stated slowness.
	answeredAt time.Time
	// failingSince is the time of the first failure after the last success, failedAt that of
	// the last one; zeros if the last call succeeded.
	failingSince, failedAt time.Time
	// reserved holds the times until which failed calls count as open.
	reserved []time.Time
}

// Sample is a call that succeeded.
type Sample struct {
	Took time.Duration
	// Load is the load that the endpoint stated with the answer, nil for none.
	Load *port.LoadHint
}

// Observe applies the load that an endpoint states with its answer. If the endpoint states
// its slowness, the load of a failed call is ignored: an endpoint that fails at once has
// few calls open and would look idle.
func (b *Balancer) Observe(now time.Time, e *port.Endpoint, load *port.LoadHint, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(e.ID)
	if b.o.UnevenEndpoints && (load.Slowness > 0 || l.timing.speed.HasStated()) {
		if failed || !l.adopt(e) {
			return
		}
		l.timing.state(now, load)
	}
	l.report(now, load.Running+load.Waiting)
}

// StatesSlowness reports whether an endpoint states its slowness, so that the rules on
// speed apply to it.
func (b *Balancer) StatesSlowness(endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[endpoint]
	return b.o.UnevenEndpoints && l != nil && l.timing.speed.HasStated()
}

// state applies what the endpoint states with the answer of a call.
func (t *timing) state(now time.Time, load *port.LoadHint) {
	t.slots = load.Slots
	if load.Slowness > 0 {
		t.speed.State(now, load.Slowness)
		t.answeredAt = now
	}
}

// EndSuccess records the end of a call that Choose counted and that succeeded.
func (b *Balancer) EndSuccess(now time.Time, e *port.Endpoint, s Sample) {
	b.End(e.ID)
	if !b.o.UnevenEndpoints {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.entry(e.ID); l.adopt(e) {
		l.timing.add(now, s)
	}
}

// EndFailure records the end of a call that Choose counted and that failed after the given
// time. With Options.UnevenEndpoints it counts as open for as long as a call that succeeds,
// and the last load report before the failures stays in force, so that failures that take
// less time than answers attract no calls.
func (b *Balancer) EndFailure(now time.Time, e *port.Endpoint, took time.Duration) {
	if !b.o.UnevenEndpoints {
		b.End(e.ID)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(e.ID)
	l.outstanding--
	l.ended++
	if !l.adopt(e) {
		return
	}
	t := &l.timing
	if !t.isFailing(now) {
		t.failingSince = now
	}
	t.failedAt = now
	usual := time.Duration(t.service * t.speed.Usual(absolute) * float64(time.Millisecond))
	if took < usual {
		t.reserved = append(t.reserved, now.Add(usual-took))
	}
}

// adopt prepares the entry for an incarnation of its endpoint. An endpoint that has
// restarted starts without history. It returns false if a later incarnation is known.
func (l *load) adopt(e *port.Endpoint) bool {
	switch {
	case e.Incarnation < l.timing.incarnation:
		return false
	case e.Incarnation > l.timing.incarnation:
		if l.timing.speed.HasStated() {
			l.report(time.Time{}, 0)
		}
		l.timing = timing{incarnation: e.Incarnation}
	}
	return true
}

// add applies a successful call.
func (t *timing) add(now time.Time, s Sample) {
	millis := s.Took.Seconds() * 1000 / t.speed.Present(now, absolute)
	if s.Load != nil && s.Load.Slots > 0 {
		// The rest of the time was spent waiting for a slot.
		millis *= float64(s.Load.Slots) / float64(max(s.Load.Slots, s.Load.Running+s.Load.Waiting))
	}
	t.calls = min(meanCalls, t.calls+1)
	t.service += (millis - t.service) / float64(t.calls)
	t.answeredAt = now
	t.failingSince, t.failedAt = time.Time{}, time.Time{}
}

// isFailing reports whether the endpoint has failed its last call in the time for which
// estimates are remembered.
func (t *timing) isFailing(now time.Time) bool {
	return !t.failedAt.IsZero() && now.Sub(t.failedAt) < rememberFor
}

// hasJustFailed reports whether the penalty for a failed call applies.
func (t *timing) hasJustFailed(now time.Time) bool {
	return !t.failedAt.IsZero() && now.Sub(t.failedAt) < failurePenaltyFor
}

// poolTimes holds the medians of a pool, in milliseconds.
type poolTimes struct {
	// service is the median of the service times at a slowness of 1, call that of the
	// times of a call at the usual slowness, without a wait and without endpoints that have
	// just failed.
	service, call float64
}

// poolTimes returns the medians over the candidates. stated reports whether the rules on
// speed apply, because an endpoint of the pool states its slowness.
func (b *Balancer) poolTimes(now time.Time, candidates []port.Endpoint) (p poolTimes, stated bool) {
	if !b.o.UnevenEndpoints {
		return poolTimes{}, false
	}
	var services, calls []float64
	for i := range candidates {
		l := b.loads[candidates[i].ID]
		if l == nil || !l.adopt(&candidates[i]) {
			continue
		}
		stated = stated || l.timing.speed.HasStated()
		if l.timing.calls >= minCalls {
			services = append(services, l.timing.service)
		}
	}
	if !stated {
		return poolTimes{}, false
	}
	p.service = median(services)
	var failing []float64
	for i := range candidates {
		l := b.loads[candidates[i].ID]
		if l == nil || l.timing.answeredAt.IsZero() {
			continue
		}
		call := l.timing.serviceTime(p.service) * l.timing.speed.Usual(absolute)
		if l.timing.hasJustFailed(now) {
			failing = append(failing, call)
		} else {
			calls = append(calls, call)
		}
	}
	if len(calls) == 0 {
		calls = failing
	}
	p.call = max(minCallMillis, median(calls))
	return p, true
}

// median returns the median of the values, the lower one of two, or 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// serviceTime returns the endpoint's service time, or the pool's if it is not known.
func (t *timing) serviceTime(pool float64) float64 {
	if t.calls < minCalls {
		return pool
	}
	return t.service
}

// scoreTime returns the expected time of a call to an endpoint in milliseconds: the time
// of a call there, times its queue.
func (b *Balancer) scoreTime(now time.Time, pool *poolTimes, e *port.Endpoint) port.CandidateScore {
	out := port.CandidateScore{Endpoint: e.ID, Score: pool.call, Slowness: 1}
	l := b.loads[e.ID]
	if l == nil {
		return out
	}
	millis := pool.call
	if t := &l.timing; !t.answeredAt.IsZero() {
		known, slowness := max(0, 1-float64(now.Sub(t.answeredAt))/float64(rememberFor)), t.speed.Present(now, absolute)
		if t.isFailing(now) {
			// The estimates from before the failures apply.
			known, slowness = 1, t.speed.Usual(absolute)
		}
		millis += known * (t.serviceTime(pool.service)*slowness - pool.call)
	}
	if l.timing.hasJustFailed(now) {
		millis = failurePenalty * max(millis, pool.call)
	}
	out.Slowness = millis / pool.call
	out.Score = millis * l.queue(now, b.o.ReportMaxAge, e.Slots)
	return out
}

// queue returns the calls at the endpoint plus one, as a multiple of its slots, at least 1.
// slots is their number if no answer has stated it.
func (l *load) queue(now time.Time, maxAge time.Duration, slots int) float64 {
	t := &l.timing
	t.reserved = slices.DeleteFunc(t.reserved, func(until time.Time) bool { return !until.After(now) })
	calls := float64(l.outstanding + len(t.reserved))
	if weight := l.reportWeight(now, maxAge); weight > 0 {
		calls = max(calls, weight*float64(l.reported)+float64(l.started-l.ended+len(t.reserved)))
	}
	return max(1, (calls+1)/float64(max(1, cmp.Or(t.slots, slots))))
}

// reportWeight returns the weight of the last load report, from 1 for a new one to 0.
func (l *load) reportWeight(now time.Time, maxAge time.Duration) float64 {
	if l.reportedAt.IsZero() || maxAge <= 0 {
		return 0
	}
	if l.timing.isFailing(now) {
		// No load is reported while the endpoint fails, so the former one stays in force.
		now = l.timing.failingSince
	}
	return max(0, 1-float64(now.Sub(l.reportedAt))/float64(maxAge))
}

// isFaster reports whether endpoint a is preferred to b, which was drawn first.
func (b *Balancer) isFaster(a, other *port.CandidateScore, ea, eb *port.Endpoint) bool {
	if b.o.HasConnection != nil && a.Score <= similarTimes*other.Score && other.Score <= similarTimes*a.Score {
		if hasA, hasB := b.o.HasConnection(ea), b.o.HasConnection(eb); hasA != hasB {
			return hasA
		}
	}
	return a.Score < other.Score
}

// Explain returns what the expected time of a call to an endpoint is based on.
func (b *Balancer) Explain(now time.Time, e *port.Endpoint) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[e.ID]
	if l == nil || l.timing.answeredAt.IsZero() {
		return "nothing is known of the endpoint"
	}
	t := &l.timing
	return fmt.Sprintf("service time %.1f ms of %d calls, slowness %.2f, answer %d ms old, queue %.2f",
		t.service, t.calls, t.speed.Present(now, absolute), now.Sub(t.answeredAt).Milliseconds(),
		l.queue(now, b.o.ReportMaxAge, e.Slots))
}
