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

// Times of judging.
const (
	judgeEvery = 250 * time.Millisecond
	// closedGrace lets a member that reconnects elsewhere be heard there.
	closedGrace = 500 * time.Millisecond
	// rejudgeAfter is the time between two judgements of one member.
	rejudgeAfter = time.Second
	// memberProbeTimeout bounds each probe of a member.
	memberProbeTimeout = time.Second
	// askOthers is how many keepers are asked to probe too.
	askOthers = 2
)

// judging remembers the judgements under way and the members that no live
// keeper hears.
type judging struct {
	mu      sync.Mutex
	last    map[string]time.Time
	orphans map[string]time.Time
}

// begin reports whether the member is due for a judgement.
func (j *judging) begin(now time.Time, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.last == nil {
		j.last = map[string]time.Time{}
	}
	if now.Sub(j.last[id]) < rejudgeAfter {
		return false
	}
	j.last[id] = now
	return true
}

// orphan returns since when the member is without a keeper that hears it.
func (j *judging) orphan(now time.Time, id string) time.Time {
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

func (j *judging) adopted(id string) {
	j.mu.Lock()
	delete(j.orphans, id)
	j.mu.Unlock()
}

// versionClock remembers since when a version is held.
type versionClock struct {
	mu      sync.Mutex
	version uint64
	at      time.Time
}

// since notes the version held now and returns since when it is.
func (v *versionClock) since(now time.Time, version uint64) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.at.IsZero() || version != v.version {
		v.version, v.at = version, now
	}
	return v.at
}

// introduce puts this keeper's own entry where the table lacks it or holds a
// judgement that this keeper, being alive, refutes.
func (k *Keeper) introduce() {
	known, held := k.node.Members.Get(k.identity.ID())
	if held && k.identity.Outlive(known.Incarnation) {
		k.options.Logger.Warn().Str("event", "incarnation_raised").Uint64("seen", known.Incarnation).Msg("")
	}
	own := k.identity.Current()
	if held && known.Incarnation == own.Incarnation && known.Left == own.Left &&
		known.Blind == own.Blind && known.State == port.MemberLive {
		return
	}
	if held {
		k.identity.Refute(known.Incarnation, known.Sequence)
	}
	own = k.identity.Next()
	own.HeardBy = own.ID
	k.node.PutMember(own)
}

// Heard takes a member's heartbeat.
func (k *Keeper) Heard(m membership.Member, b membership.Beat, first bool) {
	k.hearing.Beat(time.Now(), b)
	k.judging.adopted(m.ID)
	known, held := k.node.Members.Get(m.ID)
	// An entry that only the member itself vouches for is taken over: else
	// nobody would notice when it falls silent.
	settled := held && known.Incarnation == m.Incarnation && known.Left == m.Left &&
		known.Blind == m.Blind && known.State == port.MemberLive && known.Condition == membership.ConditionNone &&
		known.HeardBy != m.ID
	if settled && !first {
		return
	}
	m.State, m.Condition, m.HeardBy = port.MemberLive, membership.ConditionNone, k.options.Self.ID
	if k.node.PutMember(m) {
		k.decide("member", m.ID, string(m.Effective()), "heartbeat", b.HighestVersion)
	}
}

// Closed tells that the stream of a member has ended.
func (k *Keeper) Closed(b membership.Beat) {
	k.hearing.Closed(b.ID, b.Incarnation, b.Sequence)
}

// Directory lists what this keeper hears directly, itself included.
func (k *Keeper) Directory() []*peerv1.Member {
	now := time.Now()
	out := []*peerv1.Member{k.directoryEntry(now, membership.Heard{
		Beat: membership.Beat{
			ID: k.options.Self.ID, HighestVersion: k.node.HighestHeld(), RecordsDigest: k.node.Records.Digest(),
		},
		At: now, InForceSince: k.ownVersion.since(now, k.node.HighestHeld()),
	})}
	for _, h := range k.hearing.All() {
		out = append(out, k.directoryEntry(now, h))
	}
	return out
}

func (k *Keeper) directoryEntry(now time.Time, h membership.Heard) *peerv1.Member {
	return &peerv1.Member{
		Id: h.ID, Incarnation: h.Incarnation, Sequence: h.Sequence,
		HighestVersion: h.HighestVersion, RecordsDigest: h.RecordsDigest,
		HeardAgeMillis: now.Sub(h.At).Milliseconds(), HeardBy: k.options.Self.ID,
		InForceAgeMillis: now.Sub(h.InForceSince).Milliseconds(),
	}
}

// judgeForever judges silent members and keeps the own entry in place.
func (k *Keeper) judgeForever(ctx context.Context) error {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	for {
		if err := pause(ctx, judgeEvery); err != nil {
			return err
		}
		now := time.Now()
		k.identity.SetBlind(k.duty.Blind(now))
		k.introduce()
		k.forgetDeparted()
		k.ownVersion.since(now, k.node.HighestHeld())
		for _, s := range append(k.silent(now), k.orphans(now)...) {
			if k.judging.begin(now, s.member.ID) {
				group.Go(func() error { k.judge(ctx, s); return nil })
			}
		}
	}
}

// suspect is a member to be judged.
type suspect struct {
	member    membership.Member
	sequence  uint64
	silentFor time.Duration
}

// silent returns the members that this keeper heard last and hears no more.
func (k *Keeper) silent(now time.Time) []suspect {
	var out []suspect
	for _, h := range k.hearing.Overdue(now, k.options.SilenceAfter, closedGrace) {
		m, held := k.node.Members.Get(h.ID)
		if !held || m.HeardBy != k.options.Self.ID || m.Incarnation != h.Incarnation || m.State == port.MemberDead {
			k.hearing.Forget(h.ID)
			continue
		}
		out = append(out, suspect{member: m, sequence: h.Sequence, silentFor: now.Sub(h.At)})
	}
	return out
}

// orphans returns the members that no live keeper hears and whose judgement
// falls to this one: those whose keeper died in the moment before them.
func (k *Keeper) orphans(now time.Time) []suspect {
	owners, keepers := k.standing().owners, k.liveKeepers()
	live := make(map[string]bool, len(keepers))
	for i := range keepers {
		live[keepers[i].ID] = true
	}
	var out []suspect
	for m := range k.node.Members.All() {
		heard := live[m.HeardBy] && m.HeardBy != m.ID
		if heard || m.State == port.MemberDead || m.ID == k.options.Self.ID || owners.Of(m.ID) != k.options.Self.ID {
			k.judging.adopted(m.ID)
			continue
		}
		since := k.judging.orphan(now, m.ID)
		if silent := now.Sub(since); silent >= k.options.SilenceAfter {
			out = append(out, suspect{member: m, sequence: m.Sequence, silentFor: silent})
		}
	}
	return out
}

func (k *Keeper) judge(ctx context.Context, s suspect) {
	e := membership.Evidence{Direct: k.Probe(ctx, s.member.PeerAddress), SilentFor: s.silentFor}
	if e.Direct != membership.ProbeAnswered && e.Direct != membership.ProbeRefused {
		e.Others = k.askToProbe(ctx, &s.member)
	}
	if ctx.Err() != nil {
		return
	}
	state, condition := membership.Judge(e)
	next := s.member
	next.State, next.Condition, next.Sequence = state, condition, s.sequence
	// HeardBy stays the keeper that heard it, so that an orphan's judgement
	// doesn't make it look heard.
	if k.node.PutMember(next) {
		k.decide("member", next.ID, string(next.Effective()), string(condition), 0)
	}
}

// Probe tries to reach a member's peer address.
func (k *Keeper) Probe(ctx context.Context, address string) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	return grpcpeer.Probe(ctx, address, k.options.DialOptions...)
}

// askToProbe asks keepers in other failure domains first.
func (k *Keeper) askToProbe(ctx context.Context, m *membership.Member) []membership.ProbeResult {
	var near, far []membership.Member
	for _, o := range k.liveKeepers() {
		switch {
		case o.ID == k.options.Self.ID || o.ID == m.ID:
		case o.FailureDomain == k.options.Self.FailureDomain:
			near = append(near, o)
		default:
			far = append(far, o)
		}
	}
	asked := append(far, near...)
	if len(asked) > askOthers {
		asked = asked[:askOthers]
	}
	results := make([]membership.ProbeResult, len(asked))
	var group errgroup.Group
	for i := range asked {
		group.Go(func() error {
			results[i] = grpcpeer.AskToProbe(ctx, asked[i].PeerAddress, m.PeerAddress, k.options.DialOptions...)
			return nil
		})
	}
	// Results stand in for errors here.
	_ = group.Wait()
	return results
}
