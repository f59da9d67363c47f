package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// KeyHash is the hash of an organisation and one of its idempotency keys.
type KeyHash = [16]byte

// Reason is the cause of an unavailable verdict.
type Reason string

// The reasons for an unavailable verdict.
const (
	// ReasonPlatform: the platform is unreachable or throttles calls; nothing was
	// written.
	ReasonPlatform Reason = "platform"
	// ReasonUnsettled: the reply to a write was lost, and so was the read that
	// should have shown its result. The claim is not granted, but the key may be
	// stored as claimed.
	ReasonUnsettled Reason = "unsettled"
	// ReasonFull: the shard has reached the maximum size of an object.
	ReasonFull Reason = "full"
	// ReasonBusy: too many claims wait for the same shard, or writes of the
	// shard kept conflicting with those of other keepers.
	ReasonBusy Reason = "busy"
	// ReasonOverdue: the deadline of the request passed before a write began.
	ReasonOverdue Reason = "overdue"
	// ReasonFormat: the shard is corrupt or was written by a newer release.
	ReasonFormat Reason = "format"
)

// Result is the result of one claim.
type Result struct {
	Verdict port.ClaimVerdict
	// Holder is the state of the existing claim; set if Verdict is held.
	Holder port.ClaimState
	// Reason is set if Verdict is unavailable.
	Reason Reason
}

// Limits bound the size of a shard and the retention of its entries.
type Limits struct {
	// MaxBytes is the maximum encoded size of a shard before base64.
	MaxBytes int
	// Retention is how long the state of a claim is kept.
	Retention time.Duration
	// TombstoneRetention is how long after Retention the key is still refused.
	TombstoneRetention time.Duration
	// NotRunRetention is how long an attempt that was settled as not_run is barred.
	NotRunRetention time.Duration
	// SealBytes is the size of the tombstones in the head from which on they
	// are moved to a sealed part; zero or less keeps them in the head.
	SealBytes int
}

// bucketsPerRetention is the number of time buckets per retention; tombstones
// keep the time of their claim to the bucket.
const bucketsPerRetention = 8

func (l *Limits) bucketMillis() int64 {
	return max(l.Retention.Milliseconds()/bucketsPerRetention, 1)
}

// Shard is one part of the key space. It is not safe for concurrent use.
type Shard struct {
	claims []port.ClaimState
	index  map[KeyHash]int
	// issuers counts the claims of each issuer. An issuer without claims is
	// neither stored nor included in the size bound.
	issuers    map[string]int
	tombstones *tombstones
	sealed     partList
	barred     barredAttempts
	bytes      int
	changed    bool
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{index: map[KeyHash]int{}, issuers: map[string]int{}, tombstones: newTombstones(), barred: barredAttempts{}}
}

// Clone returns an independent copy whose Changed is false.
func (s *Shard) Clone() *Shard {
	return &Shard{
		claims:     slices.Clone(s.claims),
		index:      maps.Clone(s.index),
		issuers:    maps.Clone(s.issuers),
		tombstones: s.tombstones,
		sealed:     s.sealed.clone(),
		barred:     maps.Clone(s.barred),
		bytes:      s.bytes,
	}
}

// Changed reports whether the shard was changed after it was cloned or decoded.
func (s *Shard) Changed() bool { return s.changed }

// Len returns the number of claims whose state is kept, without tombstones.
func (s *Shard) Len() int { return len(s.claims) }

// Tombstones returns the number of tombstones, those in sealed parts included.
func (s *Shard) Tombstones() int { return len(s.tombstones.index) + s.sealed.count() }

// Bytes is an upper bound of the encoded size before base64.
func (s *Shard) Bytes() int {
	return maxHeaderBytes + s.bytes + s.tombstones.bytes() + len(s.barred)*maxBarredBytes + len(s.sealed.Versions)*maxSlotBytes
}

// Lookup returns the state of a key's claim.
func (s *Shard) Lookup(key KeyHash) (port.ClaimState, bool) {
	i, found := s.index[key]
	if !found {
		return port.ClaimState{}, false
	}
	return s.claims[i], true
}

// Claim processes one claim and records it if it is granted.
func (s *Shard) Claim(now time.Time, e port.ClaimEntry, l *Limits) Result {
	// An attempt settled as not_run is barred: its router has abandoned it, and
	// a delayed request for it at a frozen keeper must not claim the key.
	if s.barred.has(e.AttemptID) {
		return Result{Verdict: port.ClaimHeld, Holder: notRunState(now, e)}
	}
	if i, found := s.index[e.KeyHash]; found {
		return s.claimExistingKey(now, i, e, l)
	}
	// A key past the retention is refused: its outcome is no longer known, and
	// running it could be the second run of a non-idempotent call. Without the
	// contents of all sealed parts such keys can't be recognised, so that no new
	// key is granted.
	if !s.Complete() {
		return Result{Verdict: port.ClaimUnavailable, Reason: ReasonPlatform}
	}
	if s.tombstones.has(e.KeyHash) || s.sealed.has(e.KeyHash) {
		return Result{Verdict: port.ClaimExpired}
	}
	st := newState(now, e)
	if s.Bytes()+s.maxAddedBytes(&st) > l.MaxBytes {
		return Result{Verdict: port.ClaimUnavailable, Reason: ReasonFull}
	}
	s.add(st)
	return Result{Verdict: port.ClaimGranted}
}

func (s *Shard) claimExistingKey(now time.Time, i int, e port.ClaimEntry, l *Limits) Result {
	held := s.claims[i]
	// The reply was lost, or another keeper has already recorded this attempt.
	// Granting it again is safe: an attempt dispatches once, however many grants
	// it receives.
	if held.AttemptID == e.AttemptID && held.Outcome == port.ClaimUnsettled {
		return Result{Verdict: port.ClaimGranted}
	}
	if held.Outcome == port.ClaimNotRun && held.AttemptID != e.AttemptID {
		s.barred.add(held.AttemptID, held.ClaimedUnixMillis)
		s.replace(i, newState(now, e))
		return Result{Verdict: port.ClaimGranted}
	}
	if held.Outcome != port.ClaimNotRun && age(now, &held) > l.Retention {
		return Result{Verdict: port.ClaimExpired}
	}
	return Result{Verdict: port.ClaimHeld, Holder: held}
}

// Settle records an outcome and reports whether the shard now contains it. Only
// the attempt that holds the key can settle it. A not_run from an attempt that is
// unknown or no longer holds the key bars that attempt: its claim may still be
// pending at a frozen keeper, and the write that bars the attempt also makes that
// keeper's write fail.
func (s *Shard) Settle(now time.Time, st port.ClaimState, l *Limits) bool {
	if st.Outcome == port.ClaimUnsettled {
		return false
	}
	i, found := s.index[st.KeyHash]
	if !found {
		return s.bar(now, &st, l)
	}
	held := s.claims[i]
	if held.AttemptID != st.AttemptID {
		return s.bar(now, &st, l)
	}
	if !validTransition(held.Outcome, st.Outcome) {
		return held.Outcome == st.Outcome
	}
	held.Outcome = st.Outcome
	held.StatusCode = st.StatusCode
	s.replace(i, held)
	return true
}

// validTransition reports whether an outcome may replace another. A known outcome,
// not_run included, is final; unknown may only be replaced by a known one.
func validTransition(from, to port.ClaimOutcome) bool {
	return from == port.ClaimUnsettled || (from == port.ClaimUnknown && to != port.ClaimUnknown)
}

func (s *Shard) bar(now time.Time, st *port.ClaimState, l *Limits) bool {
	if st.Outcome != port.ClaimNotRun {
		return false
	}
	if s.barred.has(st.AttemptID) {
		return true
	}
	if s.Bytes()+maxBarredBytes > l.MaxBytes {
		return false
	}
	s.barred.add(st.AttemptID, now.UnixMilli())
	s.changed = true
	return true
}

// Prune replaces claims past the retention by tombstones and drops expired barred
// attempts and tombstones. Claims are not processed until one is due by a whole
// time bucket, so that the cost does not arise at every write.
func (s *Shard) Prune(now time.Time, l *Limits) {
	s.dropOldTombstones(now, l)
	if s.barred.dropBefore(now.Add(-l.NotRunRetention).UnixMilli()) {
		s.changed = true
	}
	slack := time.Duration(l.bucketMillis()) * time.Millisecond
	if !slices.ContainsFunc(s.claims, func(c port.ClaimState) bool {
		return age(now, &c) > retentionOf(&c, l)+slack
	}) {
		return
	}
	var kept []port.ClaimState
	var expired []port.ClaimState
	for _, c := range s.claims {
		switch {
		case age(now, &c) <= retentionOf(&c, l):
			kept = append(kept, c)
		case c.Outcome != port.ClaimNotRun:
			expired = append(expired, c)
		}
	}
	if len(expired) > 0 {
		s.tombstones = s.tombstones.withClaims(expired, l.bucketMillis())
	}
	s.reset(kept)
	s.changed = true
}

func (s *Shard) dropOldTombstones(now time.Time, l *Limits) {
	oldest := now.Add(-l.Retention - l.TombstoneRetention).UnixMilli()
	next, dropped := s.tombstones.withoutBefore(oldest, l.bucketMillis())
	s.tombstones = next
	if s.sealed.dropBefore(oldest, l.bucketMillis()) || dropped {
		s.changed = true
	}
}

func retentionOf(c *port.ClaimState, l *Limits) time.Duration {
	if c.Outcome == port.ClaimNotRun {
		return l.NotRunRetention
	}
	return l.Retention
}

func age(now time.Time, c *port.ClaimState) time.Duration {
	return time.Duration(now.UnixMilli()-c.ClaimedUnixMillis) * time.Millisecond
}

func notRunState(now time.Time, e port.ClaimEntry) port.ClaimState {
	st := newState(now, e)
	st.Outcome = port.ClaimNotRun
	return st
}

func newState(now time.Time, e port.ClaimEntry) port.ClaimState {
	return port.ClaimState{
		KeyHash:           e.KeyHash,
		RequestID:         e.RequestID,
		AttemptID:         e.AttemptID,
		Outcome:           port.ClaimUnsettled,
		ClaimedUnixMillis: now.UnixMilli(),
	}
}

func (s *Shard) reset(claims []port.ClaimState) {
	s.claims = claims
	s.index = make(map[KeyHash]int, len(claims))
	s.issuers = map[string]int{}
	s.bytes = 0
	for i := range claims {
		s.index[claims[i].KeyHash] = i
		s.addToTotals(&claims[i])
	}
}

func (s *Shard) add(st port.ClaimState) {
	s.index[st.KeyHash] = len(s.claims)
	s.claims = append(s.claims, st)
	s.addToTotals(&st)
	s.changed = true
}

func (s *Shard) replace(i int, st port.ClaimState) {
	s.removeFromTotals(&s.claims[i])
	s.claims[i] = st
	s.addToTotals(&st)
	s.changed = true
}

func (s *Shard) addToTotals(st *port.ClaimState) {
	s.bytes += s.maxAddedBytes(st)
	if issuer, _, ok := splitRequestID(st.RequestID); ok {
		s.issuers[issuer]++
	}
}

// removeFromTotals reverses addToTotals. An issuer is removed with its last claim:
// otherwise it would be stored with every write, and the shard would reach its
// size limit early.
func (s *Shard) removeFromTotals(st *port.ClaimState) {
	if issuer, _, ok := splitRequestID(st.RequestID); ok {
		s.issuers[issuer]--
		if s.issuers[issuer] == 0 {
			delete(s.issuers, issuer)
		}
	}
	s.bytes -= s.maxAddedBytes(st)
}

// maxAddedBytes is an upper bound of what a claim adds to the encoded size.
func (s *Shard) maxAddedBytes(st *port.ClaimState) int {
	cost := maxClaimBytes(st)
	if issuer, _, ok := splitRequestID(st.RequestID); ok && s.issuers[issuer] == 0 {
		cost += len(issuer) + maxLengthPrefixBytes
	}
	return cost
}
