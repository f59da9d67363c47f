package keeper

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Bounds of probing.
const (
	probeTimeout = time.Second
	// probesAtOnce bounds the probes under way.
	probesAtOnce = 8
	// DefaultProbesPerSecond bounds the rate: at the largest planned size a share
	// of 32 endpoints is probed every 6 to 7 seconds, for about 1.5 KB a second.
	DefaultProbesPerSecond = 5
	// missesToFail is how many probes in a row must fail.
	missesToFail = 3
	// linkSuspicion: with this many endpoints or more, of which over half
	// fail in one round, the own link is the likelier cause.
	linkSuspicion = 4
)

// probeMemory counts failed probes in a row.
type probeMemory struct {
	mu     sync.Mutex
	misses map[string]int
}

func (p *probeMemory) hit(id string) {
	p.mu.Lock()
	delete(p.misses, id)
	p.mu.Unlock()
}

func (p *probeMemory) miss(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misses == nil {
		p.misses = map[string]int{}
	}
	p.misses[id]++
	return p.misses[id]
}

// probeForever probes this keeper's share of the endpoints.
func (k *Keeper) probeForever(ctx context.Context) error {
	for {
		every := k.options.ProbeEvery
		if !k.options.ProbeWhenAway || k.away(time.Now()) {
			share := k.probeShare()
			k.probeRound(ctx, share)
			every = max(every, time.Duration(float64(len(share))/k.options.ProbesPerSecond*float64(time.Second)))
		}
		if err := pause(ctx, every); err != nil {
			return err
		}
	}
}

// awaySlack is added to the longest time between two answers of the platform
// while all is well, before it counts as away.
const awaySlack = 300 * time.Millisecond

// away reports whether the platform fails this keeper, or whoever asked it last,
// or has given no answer to anyone of late. To hear that it refuses takes the
// time of a relay; its answers would first have to be missed.
func (k *Keeper) away(now time.Time) bool {
	if k.failing.Load() > 0 || k.duty.News().Failing() {
		return true
	}
	return k.PlatformAge(now) > k.options.WatchWait+awaySlack+watchduty.RelayTime(len(k.standing().live))
}

func (k *Keeper) probeShare() []membership.Endpoint {
	owners := k.standing().owners
	var out []membership.Endpoint
	for e := range k.node.Endpoints.All() {
		if k.tellsMore(&e) && owners.Of(e.ID) == k.options.Self.ID {
			out = append(out, e)
		}
	}
	return out
}

// tellsMore reports whether a probe of the endpoint can tell anything new: with a
// registry only that it leaves, without one also that it is gone.
func (k *Keeper) tellsMore(e *membership.Endpoint) bool {
	if k.options.ProbeWhenAway {
		return e.State == port.EndpointLive
	}
	return e.State != port.EndpointGone
}

func (k *Keeper) probeRound(ctx context.Context, share []membership.Endpoint) {
	missed := make([]bool, len(share))
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for i := range share {
		group.Go(func() error {
			missed[i] = !k.probeEndpoint(ctx, share[i].Endpoint)
			return nil
		})
	}
	// The probes report through missed; there is no error to see.
	_ = group.Wait()
	if !k.options.ProbeWhenAway {
		k.takeMisses(share, missed)
	}
}

// probeEndpoint reports whether the endpoint answered.
func (k *Keeper) probeEndpoint(ctx context.Context, e port.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := k.options.Prober.Load(ctx, e)
	if err != nil {
		return false
	}
	k.probes.hit(e.ID)
	// Read again: the entry may have changed while the probe was under way.
	if known, ok := k.node.Endpoints.Get(e.ID); ok {
		k.putEndpoint(membership.Said(known, &report), "own_word")
	}
	return true
}

// takeMisses judges the endpoints that did not answer. When most are silent
// at once, it is the keeper's own link that is more likely cut, and a false
// word would take all endpoints from all routers.
func (k *Keeper) takeMisses(share []membership.Endpoint, missed []bool) {
	count := 0
	for _, m := range missed {
		if m {
			count++
		}
	}
	ownLink := len(share) >= linkSuspicion && 2*count > len(share)
	for i := range share {
		if !missed[i] {
			continue
		}
		misses := k.probes.miss(share[i].ID)
		if ownLink || misses < missesToFail {
			continue
		}
		if known, ok := k.node.Endpoints.Get(share[i].ID); ok {
			k.putEndpoint(membership.Missed(known), "probes_failed")
		}
	}
}
