package scheduling

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ErrNotAdmitting: the daemon that coordinates the pool is of a build that
// admits nothing.
var ErrNotAdmitting = errors.New("the pool's coordinator does not admit requests")

// Admission is the answer to an ask for leave to send a request.
type Admission struct {
	ratelimit.Grant
	// Coordinator names the daemon that decided.
	Coordinator string
}

// Admit asks the pool's coordinator for leave to send one request to one of some
// endpoints that name limits.
func (c *Client) Admit(ctx context.Context, pool string, asks []ratelimit.Ask, patience time.Duration) Admission {
	for range maxAsked {
		coordinator := c.coordinator(pool)
		if coordinator.id == c.o.Self {
			break
		}
		grant, err := c.peer(coordinator).Admit(ctx, pool, asks, patience)
		if err == nil {
			return Admission{Grant: grant, Coordinator: coordinator.id}
		}
		if ctx.Err() != nil || errors.Is(err, ErrNotAdmitting) {
			break
		}
		c.lost(coordinator, err)
	}
	return Admission{Grant: c.AdmitHere(pool, asks, patience), Coordinator: c.o.Self}
}

// AdmitHere gives leave by this daemon's own word. One that is not the pool's
// coordinator keeps to its share of the limits: others admit as well, to whom the
// coordinator, or this daemon, can't be reached.
func (c *Client) AdmitHere(pool string, asks []ratelimit.Ask, patience time.Duration) ratelimit.Grant {
	now := c.o.Clock()
	if c.isListedCoordinator(pool) {
		return c.limiter.Admit(now, asks, patience)
	}
	return c.share.Admit(now, c.shared(asks), patience)
}

// sharedPart is the part of a limit, one in so many, that all daemons share that
// can't reach the coordinator: it may admit the whole limit to others meanwhile.
const sharedPart = 2

// shared is what each daemon may send alone.
func (c *Client) shared(asks []ratelimit.Ask) []ratelimit.Ask {
	daemons := 0
	for _, m := range c.o.Members.Members() {
		if m.CallerAddress != "" && m.State != port.MemberDead {
			daemons++
		}
	}
	out := make([]ratelimit.Ask, len(asks))
	for i, a := range asks {
		out[i] = a
		out[i].PerSecond /= float64(sharedPart * max(1, daemons))
	}
	return out
}

// expireLimits forgets the endpoints that nobody has asked for in a while.
func (c *Client) expireLimits() {
	now := c.o.Clock()
	c.limiter.Expire(now)
	c.share.Expire(now)
}
