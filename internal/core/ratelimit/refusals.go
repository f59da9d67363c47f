package ratelimit

import "time"

const (
	// refusalWindow is the time within which the refusals of a brittle endpoint count.
	refusalWindow = time.Second
	// refusedFactor reduces the rate of a brittle endpoint at each refusal, down to
	// minFactor. recoveryPerSecond is added to the factor for each second without one.
	refusedFactor     = 0.7
	minFactor         = 0.1
	recoveryPerSecond = 0.1
)

// refusals is the budget of refusals of one brittle endpoint. All daemons report theirs
// to the coordinator, so that the budget is one for all of them. The zero value has no
// refusals.
type refusals struct {
	recent []time.Time
	// reduction is what is taken from the endpoint's rate, from 0 to 1-minFactor, as of
	// updated.
	reduction float64
	updated   time.Time
}

// record records a number of refusals. It reports whether half of the budget is spent:
// the rest is for requests that are under way.
func (r *refusals) record(now time.Time, n, maxRefusals int) (spent bool) {
	factor := 1 - r.currentReduction(now)
	for range n {
		r.recent = append(r.recent, now)
		factor *= refusedFactor
	}
	r.reduction, r.updated = 1-max(minFactor, factor), now
	for len(r.recent) > 0 && now.Sub(r.recent[0]) >= refusalWindow {
		r.recent = r.recent[1:]
	}
	return 2*len(r.recent) >= maxRefusals
}

func (r *refusals) currentReduction(now time.Time) float64 {
	return max(0, r.reduction-recoveryPerSecond*now.Sub(r.updated).Seconds())
}

// reduce returns the limit that the endpoint's refusals leave of its stated one.
func (r *refusals) reduce(now time.Time, l Limit) Limit {
	if l.MaxRefusals > 0 && r.reduction > 0 {
		l.PerSecond *= 1 - r.currentReduction(now)
	}
	return l
}
