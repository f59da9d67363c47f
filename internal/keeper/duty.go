package keeper

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
)

// role decides how this keeper currently reads the platform.
func (k *Keeper) role(now time.Time) watchduty.Role {
	s := k.memberView()
	r := k.duty.Role(now, &watchduty.Position{
		Keepers: len(s.live), WatcherIndex: s.watcherIndex, HashIndex: s.ringPosition, Hash: s.idHash, Watchers: s.watcherHashes,
		PeerReachable: now.Sub(time.Unix(0, k.lastPeerMessage.Load())) < k.options.SilenceAfter,
		Seed:          s.isSeed,
	})
	if before := watchduty.Role(k.lastRole.Swap(int32(r))); before != r {
		k.logRoleChange(now, before, r, s)
	}
	return r
}

// logRoleChange logs a change of role with the values that it was decided on.
func (k *Keeper) logRoleChange(now time.Time, before, r watchduty.Role, s *memberView) {
	n := k.duty.Status()
	k.options.Logger.Info().Str("event", "watch_role").Str("role", r.String()).Str("before", before.String()).
		Int("place", s.watcherIndex).Int("line", s.ringPosition).Int("keepers", len(s.live)).
		Int64("answered_ago_ms", millisSince(now, n.Answered)).Int64("tried_ago_ms", millisSince(now, n.Tried)).Msg("")
}

// millisSince returns the milliseconds since a time, -1 for the zero time.
func millisSince(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// readsHostList reports whether this keeper reads the list of hosts, which
// fewer keepers read than other kinds.
func (k *Keeper) readsHostList(now time.Time) bool {
	r := k.role(now)
	return k.memberView().pollsHosts || r == watchduty.Isolated || r == watchduty.Refused
}

// recordPlatformCall records the outcome of a call that this keeper made to the
// platform, and relays it to peers.
func (k *Keeper) recordPlatformCall(now time.Time, answered bool) {
	k.duty.RecordCall(now, k.memberView().idHash, answered)
	k.relayNews()
}

// Status implements grpcpeer.PlatformRelay.
func (k *Keeper) Status() watchduty.StoreStatus { return k.duty.Status() }

// ReceiveStatus implements grpcpeer.PlatformRelay.
func (k *Keeper) ReceiveStatus(n watchduty.StoreStatus) {
	k.lastPeerMessage.Store(time.Now().UnixNano())
	if n.Tried.IsZero() {
		return
	}
	k.duty.RecordPeerStatus(n)
	k.relayNews()
}

// relayNews wakes the links if peers should learn of the platform's state
// before the next heartbeat.
func (k *Keeper) relayNews() {
	n := k.duty.Status()
	k.lastRelayed.mu.Lock()
	relay := n.ShouldSend(k.lastRelayed.news, grpcpeer.MinStatusAdvance)
	if relay {
		k.lastRelayed.news = n
	}
	k.lastRelayed.mu.Unlock()
	if relay {
		k.node.WakeLinks()
	}
}

// PlatformAge returns the time since the platform last answered any keeper, as
// far as this keeper knows. It is negative if no answer is known.
func (k *Keeper) PlatformAge(now time.Time) time.Duration {
	answered := k.duty.Status().Answered
	if answered.IsZero() {
		return -1
	}
	return max(0, now.Sub(answered))
}
