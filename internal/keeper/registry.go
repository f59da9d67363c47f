package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// watchEndpointsForever follows the platform's registry of endpoints.
func (k *Keeper) watchEndpointsForever(ctx context.Context) error {
	s := &endpointSource{keeper: k}
	defer s.wait()
	return k.follow(ctx, "endpoints", s)
}

// endpointSource reads the registry of endpoints.
type endpointSource struct {
	keeper *Keeper
	// sweeps are the delayed looks at what a list left out.
	sweeps sync.WaitGroup
}

func (s *endpointSource) wait() { s.sweeps.Wait() }

// list merges a full list. What it leaves out is no longer registered; only
// where the platform was away entries may have lapsed of endpoints that live,
// which need a moment to register again. Taking those for gone at once would
// leave callers without an endpoint right after an outage.
func (s *endpointSource) list(ctx context.Context, away bool) (uint64, error) {
	entries, revision, err := s.keeper.options.Endpoints.ListEndpoints(ctx)
	if err != nil {
		return 0, err
	}
	s.apply(entries, "listed")
	absent := s.absent(entries, revision)
	if !away {
		s.remove(absent, revision)
		return revision, nil
	}
	s.sweeps.Go(func() {
		if pause(ctx, s.keeper.options.LapseGrace) == nil {
			s.remove(absent, revision)
		}
	})
	return revision, nil
}

func (s *endpointSource) watch(ctx context.Context, revision uint64, wait time.Duration) (int, uint64, error) {
	changes, next, err := s.keeper.options.Endpoints.WatchEndpoints(ctx, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	s.apply(changes, "changed")
	return len(changes), next, nil
}

func (s *endpointSource) apply(entries []port.ListedEndpoint, reason string) {
	for i := range entries {
		e := &entries[i]
		if !e.Removed {
			s.keeper.putEndpoint(membership.Listed(e.Endpoint), reason)
			continue
		}
		s.remove([]string{e.ID}, e.Revision)
	}
}

// absent lists the endpoints that are known from before the revision and that
// a list of it doesn't name.
func (s *endpointSource) absent(entries []port.ListedEndpoint, revision uint64) []string {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].ID] = !entries[i].Removed
	}
	var out []string
	for e := range s.keeper.node.Endpoints.All() {
		if !named[e.ID] && e.State == port.EndpointLive && e.Revision <= revision {
			out = append(out, e.ID)
		}
	}
	return out
}

// remove notes that the registry didn't name endpoints at a revision. One that
// has been listed again since has a larger revision, and stays.
func (s *endpointSource) remove(ids []string, revision uint64) {
	for _, id := range ids {
		known, ok := s.keeper.node.Endpoints.Get(id)
		if !ok || known.Revision > revision {
			continue
		}
		s.keeper.putEndpoint(membership.Removed(known, revision), "no_longer_registered")
	}
}
