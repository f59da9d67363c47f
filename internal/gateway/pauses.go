package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// IsPaused reports whether an endpoint has asked this host to send it nothing for
// a while that has not passed yet.
func (g *Gateway) IsPaused(e port.Endpoint) bool { return g.pauses.Remaining(g.Clock(), &e) > 0 }

// awaitPauseEnd waits until an endpoint is not paused, and records that it does,
// under the verdict of what waits. It reports false if the context ends before, and
// at once if the pause outlasts the request's deadline.
func (x *exchange) awaitPauseEnd(ctx context.Context, verdict string, e port.Endpoint) bool {
	if x.g.IsPaused(e) {
		x.recordConcurrent(verdict, "waits: "+string(ineligiblePaused), e.ID, nil)
	}
	for {
		now := x.g.Clock()
		remaining := x.g.pauses.Remaining(now, &e)
		switch {
		case remaining == 0:
			return ctx.Err() == nil
		case now.Add(remaining).After(x.deadline):
			x.recordConcurrent(verdict, "not waited for: the pause outlasts the request's deadline", e.ID, nil)
			return false
		}
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// byPauseEnd returns two endpoints in their order, but the second one first if it
// accepts requests earlier.
func (g *Gateway) byPauseEnd(a, b port.Endpoint) []port.Endpoint {
	now := g.Clock()
	if g.pauses.Remaining(now, &b) < g.pauses.Remaining(now, &a) {
		return []port.Endpoint{b, a}
	}
	return []port.Endpoint{a, b}
}

func excludedByPause(e port.Endpoint) port.CandidateScore {
	return port.CandidateScore{Endpoint: e.ID, Excluded: routing.ExcludedPaused}
}

// untilPauseEnds returns the time until the first endpoint of a pool can accept
// requests of this host again; zero if one of them is not paused or there is
// none.
func (g *Gateway) untilPauseEnds(pool string) time.Duration {
	if g.pauses.Len() == 0 {
		return 0
	}
	now, first := g.Clock(), time.Duration(0)
	for _, e := range g.endpointTable.inPool(pool) {
		if e.State != port.EndpointLive || e.Evacuated {
			continue
		}
		remaining := g.pauses.Remaining(now, &e)
		if remaining == 0 {
			return 0
		}
		if first == 0 || remaining < first {
			first = remaining
		}
	}
	return first
}

// pauseReturnSpread is the time over which the callers that were refused during a
// pause return, so that they don't cause the next one.
const pauseReturnSpread = 500 * time.Millisecond

// retryAfterPause returns when a caller may retry that no endpoint of the pool
// accepts because of pauses. It is retrySoon if an endpoint is not paused.
func (x *exchange) retryAfterPause() time.Duration {
	remaining := x.g.untilPauseEnds(x.pool)
	if remaining == 0 {
		return retrySoon
	}
	return remaining + rand.N(pauseReturnSpread)
}

// refusePaused returns the refusal of a request whose possible endpoints are all
// paused.
func (x *exchange) refusePaused() *Refusal {
	return &Refusal{
		Cause: CausePaused, Detail: "the endpoints of pool " + x.pool + " that could run the request have asked this host for a pause",
		RetryAfter: x.retryAfterPause(),
	}
}
