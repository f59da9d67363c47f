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

// Bounds of endpoint probes.
const (
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the probes in progress.
	maxConcurrentProbes = 8
	// DefaultProbesPerSecond bounds the probe rate. At the largest planned size
	// a share of 32 endpoints is probed every 6 to 7 seconds, which takes about
	// 1.5 KB per second.
	DefaultProbesPerSecond = 5
	// failuresToUnreachable is how many probes in a row must fail before an
	// endpoint counts as unreachable.
	failuresToUnreachable = 3
	// minShareForLinkFault is the number of endpoints from which on a round in
	// which over half of them fail is attributed to the keeper's own link.
	minShareForLinkFault = 4
)

// probeFailures counts each endpoint's failed probes in a row.
type probeFailures struct {
	mu     sync.Mutex
	counts map[string]int
}

func (p *probeFailures) reset(id string) {
	p.mu.Lock()
	delete(p.counts, id)
	p.mu.Unlock()
}

func (p *probeFailures) increment(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	p.counts[id]++
	return p.counts[id]
}

// runProbes probes this keeper's share of the endpoints.
func (k *Keeper) runProbes(ctx context.Context) error {
	for {
		every := k.options.ProbeEvery
		if !k.options.ProbeOnlyDuringOutage || k.platformUnavailable(time.Now()) {
			share := k.probeShare()
			k.probeRound(ctx, share)
			every = max(every, time.Duration(float64(len(share))/k.options.ProbesPerSecond*float64(time.Second)))
		}
		if err := pause(ctx, every); err != nil {
			return err
		}
	}
}

// platformAgeSlack is added to the longest normal time between two answers of
// the platform before it counts as unavailable.
const platformAgeSlack = 300 * time.Millisecond

// platformUnavailable reports whether the platform fails this keeper or the
// keeper that called it last, or has answered no keeper recently. A refusal
// becomes known within the time of a relay; missing answers only become known
// after the longest normal time between two.
func (k *Keeper) platformUnavailable(now time.Time) bool {
	if k.failingWatches.Load() > 0 || k.duty.Status().Failing() {
		return true
	}
	return k.PlatformAge(now) > k.options.WatchWait+platformAgeSlack+watchduty.MaxRelayDelay(len(k.memberView().live))
}

func (k *Keeper) probeShare() []membership.Endpoint {
	owners := k.memberView().owners
	var out []membership.Endpoint
	for e := range k.node.Endpoints.All() {
		if k.probeUseful(&e) && owners.Owner(e.ID) == k.options.Self.ID {
			out = append(out, e)
		}
	}
	return out
}

// probeUseful reports whether a probe of the endpoint can yield new
// information: with a registry only that the endpoint is leaving, without one
// also that it is gone.
func (k *Keeper) probeUseful(e *membership.Endpoint) bool {
	if k.options.ProbeOnlyDuringOutage {
		return e.State == port.EndpointLive
	}
	return e.State != port.EndpointGone
}

func (k *Keeper) probeRound(ctx context.Context, share []membership.Endpoint) {
	failed := make([]bool, len(share))
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for i := range share {
		group.Go(func() error {
			// The endpoint may have asked for a pause since the round began.
			if k.options.IsPaused == nil || !k.options.IsPaused(share[i].Endpoint) {
				failed[i] = !k.probeEndpoint(ctx, share[i].Endpoint)
			}
			return nil
		})
	}
	// The functions never return an error; failed holds the outcomes.
	_ = group.Wait()
	if !k.options.ProbeOnlyDuringOutage {
		k.handleProbeFailures(share, failed)
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
	k.probeFailures.reset(e.ID)
	// Read again, because the entry may have changed during the probe.
	if known, ok := k.node.Endpoints.Get(e.ID); ok {
		k.putEndpoint(membership.WithReport(known, &report), "own_word")
	}
	return true
}

// handleProbeFailures counts the failed probes and marks endpoints unreachable.
// If most endpoints fail at once, the keeper's own link is the likelier cause,
// and marking them would take all endpoints from all routers.
func (k *Keeper) handleProbeFailures(share []membership.Endpoint, failed []bool) {
	count := 0
	for _, f := range failed {
		if f {
			count++
		}
	}
	ownLinkFault := len(share) >= minShareForLinkFault && 2*count > len(share)
	for i := range share {
		if !failed[i] {
			continue
		}
		failures := k.probeFailures.increment(share[i].ID)
		if ownLinkFault || failures < failuresToUnreachable {
			continue
		}
		if known, ok := k.node.Endpoints.Get(share[i].ID); ok {
			k.putEndpoint(membership.WithUnreachable(known), "probes_failed")
		}
	}
}
