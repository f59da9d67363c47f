package router

import (
	"context"
	"crypto/sha256"

	"github.com/google/uuid"

	keyclaim "github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// claimKey is an organisation's idempotency key. The zero value means that there is
// no key.
type claimKey struct {
	set  bool
	hash [16]byte
	// text is the key as the caller sent it; it may contain a timestamp.
	text string
}

// newClaimKey hashes the key together with its organisation, so that equal keys of
// two organisations don't collide. The parts are joined by a zero byte, which
// neither can contain.
func newClaimKey(organisation, key string) claimKey {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	k := claimKey{set: true, text: key}
	copy(k.hash[:], sum[:])
	return k
}

// claim is a granted claim. Settling a nil claim does nothing.
type claim struct {
	r     *Router
	state port.ClaimState
}

// claim claims the key before anything is dispatched. It returns nil and nil for a
// request without a key.
func (r *Router) claim(ctx context.Context, key claimKey, requestID string) (*claim, *Refusal) {
	if !key.set {
		return nil, nil
	}
	if r.keyTooOld(key) {
		return nil, keyExpiredRefusal()
	}
	start := r.Clock()
	entry := port.ClaimEntry{KeyHash: key.hash, RequestID: requestID, AttemptID: uuid.NewString()}
	c := &claim{r: r, state: port.ClaimState{
		KeyHash: key.hash, RequestID: requestID, AttemptID: entry.AttemptID,
	}}
	ctx, cancel := context.WithTimeout(ctx, r.o.ClaimTimeout)
	defer cancel()
	verdict, holder, err := r.Claimer.Claim(ctx, entry)
	observe(r.metrics.claimWait, r.Clock().Sub(start))
	if err != nil {
		verdict = port.ClaimUnavailable
	}
	switch verdict {
	case port.ClaimGranted:
		c.state.ClaimedUnixMillis = start.UnixMilli()
		// A router that has just started learns the retention from the answer to its
		// first claim. Without this second check, that claim could run a call again
		// whose first run is no longer recorded.
		if r.keyTooOld(key) {
			c.settle(outcome.NotRun, 0)
			return nil, keyExpiredRefusal()
		}
		return c, nil
	case port.ClaimHeld:
		return nil, r.duplicateKeyRefusal(ctx, &holder)
	case port.ClaimExpired:
		return nil, keyExpiredRefusal()
	default:
		// If the claim was written but its answer was lost, the claimer frees it, as
		// it will never be granted.
		return nil, &Refusal{
			Cause: CauseClaimsUnavailable, Outcome: outcome.NotRun, RetryAfter: defaultRetryAfter, LastIndex: -1,
			Detail: "no claim could be recorded, so nothing was dispatched",
		}
	}
}

// keyTooOld reports whether, by the timestamp in the key, its claim may already
// have been deleted. The key would then look like a new one, and the call would run
// again.
func (r *Router) keyTooOld(key claimKey) bool {
	if r.KeyRetention == nil {
		return false
	}
	retention := r.KeyRetention()
	return retention > 0 && keyclaim.KeyTooOld(key.text, r.Clock(), retention)
}

func keyExpiredRefusal() *Refusal {
	return &Refusal{
		Cause: CauseKeyExpired, Outcome: outcome.NotRun, LastIndex: -1,
		Detail: "the key is older than the memory of claims, so it is not run again",
	}
}

// duplicateKeyRefusal refuses a request whose key is held by another request, and
// reports the outcome of that request.
func (r *Router) duplicateKeyRefusal(ctx context.Context, holder *port.ClaimState) *Refusal {
	o := claimedOutcome(holder.Outcome)
	if holder.Outcome == port.ClaimUnsettled {
		// The router that serves the holder may already know an outcome that the
		// platform hasn't stored yet.
		if s, known := r.lookupStatus(ctx, holder.RequestID); known && s.State == RequestFinished {
			o = s.Outcome
		}
	}
	return &Refusal{
		Cause: CauseDuplicateKey, Outcome: o, LastIndex: -1,
		Detail: "request " + holder.RequestID + " holds the key; ask /v1/requests/" + holder.RequestID,
	}
}

// claimedOutcome returns the outcome that a stored claim proves. If the key is only
// claimed, the request may be running, or its router may have died before or after
// the dispatch.
func claimedOutcome(o port.ClaimOutcome) outcome.Outcome {
	switch o {
	case port.ClaimDone:
		return outcome.Done
	case port.ClaimFailed:
		return outcome.Failed
	case port.ClaimNotRun:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// settle records the outcome of the call; not_run frees the key.
func (c *claim) settle(o outcome.Outcome, status int) {
	if c == nil {
		return
	}
	switch o {
	case outcome.Done:
		c.state.Outcome = port.ClaimDone
	case outcome.Failed:
		c.state.Outcome = port.ClaimFailed
	case outcome.NotRun:
		c.state.Outcome = port.ClaimNotRun
	default:
		c.state.Outcome = port.ClaimUnknown
	}
	c.state.StatusCode = status
	c.r.Claimer.Settle(c.state)
}
