package keeper

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Intervals and bounds of failure detection.
const (
	checkInterval = 250 * time.Millisecond
	// reconnectGrace gives a member that reconnects to another keeper the time
	// to do so.
	reconnectGrace = 500 * time.Millisecond
	// recheckInterval is the minimum time between two checks of one member.
	recheckInterval = time.Second
	// memberProbeTimeout bounds each probe of a member.
	memberProbeTimeout = time.Second
	// indirectProbers is how many other keepers are asked to probe a member as
	// well.
	indirectProbers = 2
)

// failureDetector tracks when members were last checked, and the orphans:
// members whose heartbeats no live keeper receives.
type failureDetector struct {
	mu        sync.Mutex
	lastCheck map[string]time.Time
	orphans   map[string]time.Time
}

// startCheck reports whether a check of the member is due, and if so records
// that it starts now.
func (j *failureDetector) startCheck(now time.Time, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lastCheck == nil {
		j.lastCheck = map[string]time.Time{}
	}
	if now.Sub(j.lastCheck[id]) < recheckInterval {
		return false
	}
	j.lastCheck[id] = now
	return true
}

// orphanSince returns the time since which no live keeper has received the
// member's heartbeats.
func (j *failureDetector) orphanSince(now time.Time, id string) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.orphans == nil {
		j.orphans = map[string]time.Time{}
	}
	since, known := j.orphans[id]
	if !known {
		since = now
		j.orphans[id] = now
	}
	return since
}

func (j *failureDetector) removeOrphan(id string) {
	j.mu.Lock()
	delete(j.orphans, id)
	j.mu.Unlock()
}

// versionClock tracks the time since which a version has been held.
type versionClock struct {
	mu      sync.Mutex
	version uint64
	at      time.Time
}

// since records the version held now and returns the time since which it has
// been held.
func (v *versionClock) since(now time.Time, version uint64) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.at.IsZero() || version != v.version {
		v.version, v.at = version, now
	}
	return v.at
}

// putSelf puts this keeper's own entry into the member table if the entry is
// missing or differs. The latter includes an entry that marks this keeper as
// failed, which it refutes. A difference in the load alone is no reason: PublishLoad
// puts a changed load.
func (k *Keeper) putSelf() { k.putSelfIfChanged((*membership.Member).SameReportExceptLoad) }

// putSelfIfChanged does the same unless the entry in the table reports the same.
func (k *Keeper) putSelfIfChanged(same func(known, own *membership.Member) bool) {
	known, held := k.node.Members.Get(k.identity.ID())
	if held && k.identity.ExceedIncarnation(known.Incarnation) {
		k.options.Logger.Warn().Str("event", "incarnation_raised").Uint64("seen", known.Incarnation).Msg("")
	}
	own := k.identity.Current()
	if held && same(&known, &own) && known.State == port.MemberLive {
		return
	}
	if held {
		k.identity.Refute(known.Incarnation, known.Sequence)
	}
	own = k.identity.Next()
	own.DecidedBy = own.ID
	k.node.PutMember(own)
}

// HandleHeartbeat processes a member's heartbeat.
func (k *Keeper) HandleHeartbeat(m membership.Member, b membership.Heartbeat, first bool) {
	k.heartbeats.Record(time.Now(), b)
	k.failures.removeOrphan(m.ID)
	known, held := k.node.Members.Get(m.ID)
	// An entry whose only source is the member itself is taken over by this
	// keeper; otherwise no keeper would notice that the member falls silent.
	current := held && known.SameReport(&m) && known.State == port.MemberLive &&
		known.Condition == membership.ConditionNone && known.DecidedBy != m.ID
	if current && !first {
		return
	}
	m.State, m.Condition, m.DecidedBy = port.MemberLive, membership.ConditionNone, k.options.Self.ID
	if k.node.PutMember(m) {
		k.recordVerdict("member", m.ID, string(m.Effective()), "heartbeat", b.HighestVersion)
	}
}

// HandleStreamEnd processes the end of a member's stream.
func (k *Keeper) HandleStreamEnd(b membership.Heartbeat) {
	k.heartbeats.StreamClosed(b.ID, b.Incarnation, b.Sequence)
}

// Directory lists the members whose heartbeats this keeper receives, and the
// keeper itself.
func (k *Keeper) Directory() []*peerv1.Member {
	now := time.Now()
	out := []*peerv1.Member{k.directoryEntry(now, membership.LastHeartbeat{
		Heartbeat: membership.Heartbeat{
			ID: k.options.Self.ID, HighestVersion: k.node.HighestHeld(), RecordsDigest: k.node.Records.Digest(),
		},
		At: now, InForceSince: k.heldVersion.since(now, k.node.HighestHeld()),
	})}
	for _, h := range k.heartbeats.All() {
		out = append(out, k.directoryEntry(now, h))
	}
	return out
}

func (k *Keeper) directoryEntry(now time.Time, h membership.LastHeartbeat) *peerv1.Member {
	return &peerv1.Member{
		Id: h.ID, Incarnation: h.Incarnation, Sequence: h.Sequence,
		HighestVersion: h.HighestVersion, RecordsDigest: h.RecordsDigest,
		HeardAgeMillis: now.Sub(h.At).Milliseconds(), HeardBy: k.options.Self.ID,
		InForceAgeMillis: now.Sub(h.InForceSince).Milliseconds(),
	}
}

// detectFailures checks silent members and keeps this keeper's own entry up to
// date.
func (k *Keeper) detectFailures(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for {
		if err := pause(ctx, checkInterval); err != nil {
			return err
		}
		now := time.Now()
		k.identity.SetPlatformUnreachable(k.duty.Blind(now))
		k.putSelf()
		k.forgetDepartedEndpoints()
		k.heldVersion.since(now, k.node.HighestHeld())
		for _, s := range append(k.silentMembers(now), k.orphans(now)...) {
			if k.failures.startCheck(now, s.member.ID) {
				group.Go(func() error { k.checkSuspect(ctx, s); return nil })
			}
		}
	}
}

// suspect is a member to be checked.
type suspect struct {
	member    membership.Member
	sequence  uint64
	silentFor time.Duration
}

// silentMembers returns the members whose last heartbeat this keeper received,
// and whose next one is overdue.
func (k *Keeper) silentMembers(now time.Time) []suspect {
	var out []suspect
	for _, h := range k.heartbeats.Overdue(now, k.options.SilenceAfter, reconnectGrace) {
		m, held := k.node.Members.Get(h.ID)
		if !held || m.DecidedBy != k.options.Self.ID || m.Incarnation != h.Incarnation || m.State == port.MemberDead {
			k.heartbeats.Forget(h.ID)
			continue
		}
		out = append(out, suspect{member: m, sequence: h.Sequence, silentFor: now.Sub(h.At)})
	}
	return out
}

// orphans returns the members whose heartbeats no live keeper receives and that
// this keeper has to check. Members become orphans when the keeper that
// receives their heartbeats dies just before they do.
func (k *Keeper) orphans(now time.Time) []suspect {
	owners, keepers := k.memberView().owners, k.liveKeepers()
	live := make(map[string]bool, len(keepers))
	for i := range keepers {
		live[keepers[i].ID] = true
	}
	var out []suspect
	for m := range k.node.Members.All() {
		hasKeeper := live[m.DecidedBy] && m.DecidedBy != m.ID
		if hasKeeper || m.State == port.MemberDead || m.ID == k.options.Self.ID || owners.Owner(m.ID) != k.options.Self.ID {
			k.failures.removeOrphan(m.ID)
			continue
		}
		since := k.failures.orphanSince(now, m.ID)
		if silent := now.Sub(since); silent >= k.options.SilenceAfter {
			out = append(out, suspect{member: m, sequence: m.Sequence, silentFor: silent})
		}
	}
	return out
}

func (k *Keeper) checkSuspect(ctx context.Context, s suspect) {
	e := membership.ProbeEvidence{Direct: k.Probe(ctx, s.member.PeerAddress), SinceHeartbeat: s.silentFor}
	if e.Direct != membership.ProbeAnswered && e.Direct != membership.ProbeRefused {
		e.Others = k.probeIndirectly(ctx, &s.member)
	}
	if ctx.Err() != nil {
		return
	}
	state, condition := membership.DetermineState(e)
	next := s.member
	next.State, next.Condition, next.Sequence = state, condition, s.sequence
	// DecidedBy isn't changed, so that a check of an orphan doesn't make it look
	// as if this keeper received its heartbeats.
	if k.node.PutMember(next) {
		k.recordVerdict("member", next.ID, string(next.Effective()), string(condition), 0)
	}
}

// Probe tries to reach a member at its peer address.
func (k *Keeper) Probe(ctx context.Context, address string) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	return grpcpeer.Probe(ctx, address, k.options.DialOptions...)
}

// probeIndirectly asks other keepers to probe a member, those in other failure
// domains first.
func (k *Keeper) probeIndirectly(ctx context.Context, m *membership.Member) []membership.ProbeResult {
	var sameDomain, otherDomains []membership.Member
	for _, o := range k.liveKeepers() {
		switch {
		case o.ID == k.options.Self.ID || o.ID == m.ID:
		case o.FailureDomain == k.options.Self.FailureDomain:
			sameDomain = append(sameDomain, o)
		default:
			otherDomains = append(otherDomains, o)
		}
	}
	asked := append(otherDomains, sameDomain...)
	if len(asked) > indirectProbers {
		asked = asked[:indirectProbers]
	}
	results := make([]membership.ProbeResult, len(asked))
	var group errgroup.Group
	for i := range asked {
		group.Go(func() error {
			results[i] = grpcpeer.ProbeVia(ctx, asked[i].PeerAddress, m.PeerAddress, k.options.DialOptions...)
			return nil
		})
	}
	// The functions never return an error; the results hold the outcomes.
	_ = group.Wait()
	return results
}
