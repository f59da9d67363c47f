package scheduling

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ErrAdmissionUnsupported is returned for a coordinator of a build that does not support
// admission.
var ErrAdmissionUnsupported = errors.New("the pool's coordinator does not admit requests")

// Admission is the result of a request for admission.
type Admission struct {
	ratelimit.Grant
	// Coordinator is the id of the daemon that decided.
	Coordinator string
}

// Admit asks the pool's coordinator to admit one request to one of several
// endpoints that have rate limits. Without an answer from a coordinator, this
// daemon decides.
func (c *Client) Admit(ctx context.Context, pool string, asks []ratelimit.Candidate, maxWait time.Duration) Admission {
	for range maxPeerAttempts {
		coordinator := c.coordinator(pool)
		if coordinator.id == c.opts.Self {
			break
		}
		grant, err := c.peer(coordinator).Admit(ctx, pool, asks, maxWait)
		if err == nil {
			return Admission{Grant: grant, Coordinator: coordinator.id}
		}
		if ctx.Err() != nil || errors.Is(err, ErrAdmissionUnsupported) {
			break
		}
		c.handlePeerFailure(coordinator, err)
	}
	return Admission{Grant: c.AdmitLocally(pool, asks, maxWait), Coordinator: c.opts.Self}
}

// AdmitLocally admits a request at this daemon. If this daemon is not the pool's
// coordinator, it keeps to its share of the limits, because the coordinator and
// the daemons that cannot reach it admit requests as well.
func (c *Client) AdmitLocally(pool string, asks []ratelimit.Candidate, maxWait time.Duration) ratelimit.Grant {
	now := c.opts.Clock()
	// Notices a change of the coordinator, also if only others send requests.
	c.coordinator(pool)
	if c.isListedCoordinator(pool) {
		return c.limiter.Admit(now, asks, maxWait)
	}
	return c.shareLimiter.Admit(now, c.shareOfLimits(asks), maxWait)
}

// sharedLimitDivisor defines the part of a limit (1/sharedLimitDivisor) that all
// daemons that cannot reach the coordinator share. They do not get the whole
// limit because the coordinator may admit up to the whole limit meanwhile.
const sharedLimitDivisor = 2

// shareOfLimits returns the limits reduced to what this daemon may send without
// the coordinator.
func (c *Client) shareOfLimits(asks []ratelimit.Candidate) []ratelimit.Candidate {
	daemons := c.daemonCount()
	shares := make([]ratelimit.Candidate, len(asks))
	for i, a := range asks {
		shares[i] = a
		shares[i].PerSecond /= float64(sharedLimitDivisor * daemons)
		if a.MaxRefusals > 0 {
			shares[i].MaxRefusals = max(1, a.MaxRefusals/daemons)
		}
	}
	return shares
}

// limitShare returns the share of the endpoints' rate limits within which this daemon's
// scheduler places a pool's generations. The daemons that don't reach the coordinator ask
// the same other one, which places for up to all of them: half of their part of the limit
// is for it, and the rest is divided among all daemons.
func (c *Client) limitShare(pool string) float64 {
	const divisor = 2 * sharedLimitDivisor
	switch c.opts.Self {
	case c.listedCoordinator(pool):
		return 1
	case c.listedSuccessor(pool):
		return 1. / divisor
	}
	return 1 / float64(divisor*c.daemonCount())
}

// daemonCount returns the number of daemons that may admit requests, at least 1.
func (c *Client) daemonCount() int {
	daemons := 0
	for _, m := range c.opts.Members.Members() {
		if m.CallerAddress != "" && m.State != port.MemberDead {
			daemons++
		}
	}
	return max(1, daemons)
}

// expireLimits removes the state of endpoints without recent requests for
// admission.
func (c *Client) expireLimits() {
	now := c.opts.Clock()
	c.limiter.Expire(now)
	c.shareLimiter.Expire(now)
}
