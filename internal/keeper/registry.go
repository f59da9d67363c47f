package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// kindEndpoints is the kind under which the log names the registry of
// endpoints.
const kindEndpoints = "endpoints"

// watchEndpoints follows the platform's registry of endpoints.
func (k *Keeper) watchEndpoints(ctx context.Context) error {
	s := &endpointSource{keeper: k}
	defer s.wait()
	return k.follow(ctx, kindEndpoints, s)
}

// endpointSource reads the registry of endpoints.
type endpointSource struct {
	keeper *Keeper
	// delayedRemovals tracks the delayed removals of endpoints that lists left
	// out, restoreChecks the delayed checks of entries that the first list of
	// an era named.
	delayedRemovals, restoreChecks sync.WaitGroup

	// mu guards restoredAt, which a delayed check resets.
	mu sync.Mutex
	// restoredAt is the revision of the first list in an era that began with a
	// restore. Entries up to it may be older than the known state. It is zero
	// once the registry has had the time to drop entries that nobody renews.
	restoredAt port.StoreRevision
	// era is the era of the last list.
	era uint64
}

func (s *endpointSource) wait() {
	s.delayedRemovals.Wait()
	s.restoreChecks.Wait()
}

// list merges a full list. An endpoint that it leaves out is no longer
// registered, except after an outage of the platform or a restore of its store
// from a backup: then entries of live endpoints may be missing for a moment
// until they register again. Marking those as gone at once would leave callers
// without an endpoint right after an outage.
func (s *endpointSource) list(ctx context.Context, afterOutage bool) (port.StoreRevision, error) {
	entries, revision, err := s.keeper.options.Endpoints.ListEndpoints(ctx)
	if err != nil {
		return 0, err
	}
	if err := s.keeper.checkEra(kindEndpoints, revision); err != nil {
		return 0, err
	}
	restored := s.enterEra(ctx, revision)
	s.apply(entries, "listed")
	s.revokeRemovals(entries, revision)
	missing := s.unlisted(entries, revision)
	if !afterOutage && !restored {
		s.remove(missing, revision)
		return revision, nil
	}
	s.delayedRemovals.Go(func() {
		if pause(ctx, s.keeper.options.DelistGrace) == nil {
			s.remove(missing, revision)
		}
	})
	return revision, nil
}

// enterEra records the era of a list, and reports whether it began with a
// restore since the previous list.
func (s *endpointSource) enterEra(ctx context.Context, revision port.StoreRevision) (restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := revision.Era()
	if era == s.era {
		return false
	}
	s.era, s.restoredAt = era, revision
	s.restoreChecks.Go(func() {
		// By then, entries that nobody renews have been dropped and their
		// removal is known here.
		if pause(ctx, s.keeper.options.EntryTTL+s.keeper.options.DelistGrace) == nil {
			s.confirmListed(revision)
		}
	})
	return true
}

// confirmListed accepts the entries that the registry still lists from an era's
// first list as evidence of the endpoints' state.
func (s *endpointSource) confirmListed(first port.StoreRevision) {
	k := s.keeper
	s.mu.Lock()
	current := s.restoredAt == first
	if current {
		s.restoredAt = 0
	}
	s.mu.Unlock()
	// If the platform has answered no keeper recently, the entries that it has
	// dropped since aren't known either.
	if !current || k.PlatformAge(time.Now()) > k.options.FallbackAfter {
		return
	}
	for e := range k.node.Endpoints.All() {
		if e.EntryRevision.Era() == first.Era() && e.StateMayBeStale() {
			k.putEndpoint(membership.WithRenewedEntry(e), "still_registered")
		}
	}
}

func (s *endpointSource) primary() bool { return true }

func (s *endpointSource) relistIn() time.Duration { return s.keeper.options.RelistEvery }

func (s *endpointSource) watch(ctx context.Context, revision port.StoreRevision, wait time.Duration) (int, port.StoreRevision, error) {
	changes, next, err := s.keeper.options.Endpoints.WatchEndpoints(ctx, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	if err := s.keeper.checkWatchEra(kindEndpoints, revision, next); err != nil {
		return 0, 0, err
	}
	s.apply(changes, "changed")
	return len(changes), next, nil
}

func (s *endpointSource) apply(entries []port.ListedEndpoint, reason string) {
	for i := range entries {
		e := &entries[i]
		if e.Removed {
			s.remove([]string{e.ID}, e.Revision)
			continue
		}
		s.keeper.putEndpoint(s.toEndpoint(e.Endpoint), reason)
	}
}

// revokeRemovals returns the endpoints that count as removed although a list at a later
// revision names them, unchanged since before their removal.
func (s *endpointSource) revokeRemovals(entries []port.ListedEndpoint, revision port.StoreRevision) {
	for i := range entries {
		e := entries[i]
		known, ok := s.keeper.node.Endpoints.Get(e.ID)
		isRemoved := ok && known.State != port.EndpointLive && known.EntryRevision > e.Revision && known.EntryRevision < revision
		if !isRemoved || e.Removed || e.State != port.EndpointLive || known.EntryRevision.Era() != revision.Era() {
			continue
		}
		listed := s.toEndpoint(e.Endpoint)
		if listed.StateMayBeStale() {
			continue
		}
		listed.Revision, listed.EntryRevision = revision, revision
		s.keeper.putEndpoint(listed, "still_registered")
	}
}

func (s *endpointSource) toEndpoint(e port.Endpoint) membership.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision <= s.restoredAt && e.Revision.Era() == s.restoredAt.Era() {
		return membership.FromRestoredEntry(e)
	}
	return membership.Listed(e)
}

// unlisted returns the endpoints that are known from before the revision and
// that a list at it doesn't name. This includes an endpoint that is leaving
// while its entry is unproven or live: it would otherwise count as still listed.
func (s *endpointSource) unlisted(entries []port.ListedEndpoint, revision port.StoreRevision) []string {
	listed := make(map[string]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = !entries[i].Removed
	}
	var out []string
	for e := range s.keeper.node.Endpoints.All() {
		relevant := e.State == port.EndpointLive || e.StillListed || e.StateMayBeStale()
		if relevant && !listed[e.ID] && e.EntryRevision <= revision {
			out = append(out, e.ID)
		}
	}
	return out
}

// remove records that the registry didn't name endpoints at a revision. An
// endpoint that has been listed again since has a larger revision and stays.
func (s *endpointSource) remove(ids []string, revision port.StoreRevision) {
	for _, id := range ids {
		known, ok := s.keeper.node.Endpoints.Get(id)
		if !ok || known.EntryRevision > revision {
			continue
		}
		s.keeper.putEndpoint(membership.Removed(known, revision), "no_longer_registered")
	}
}
