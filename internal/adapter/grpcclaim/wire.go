package grpcclaim

import (
	"math"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxIDBytes is the maximum length of a request id or an attempt id.
const maxIDBytes = 256

func entryToWire(e *port.ClaimEntry) *peerv1.ClaimEntry {
	return &peerv1.ClaimEntry{KeyHash: e.KeyHash[:], RequestId: e.RequestID, AttemptId: e.AttemptID}
}

func entryFromWire(m *peerv1.ClaimEntry) (port.ClaimEntry, bool) {
	e := port.ClaimEntry{RequestID: m.GetRequestId(), AttemptID: m.GetAttemptId()}
	ok := copyKey(&e.KeyHash, m.GetKeyHash()) && validIDs(e.RequestID, e.AttemptID)
	return e, ok
}

func stateToWire(st *port.ClaimState) *peerv1.ClaimState {
	return &peerv1.ClaimState{
		KeyHash:           st.KeyHash[:],
		RequestId:         st.RequestID,
		AttemptId:         st.AttemptID,
		Outcome:           string(st.Outcome),
		StatusCode:        int32(min(max(st.StatusCode, 0), math.MaxInt32)),
		ClaimedUnixMillis: st.ClaimedUnixMillis,
	}
}

func stateFromWire(m *peerv1.ClaimState) (port.ClaimState, bool) {
	st := port.ClaimState{
		RequestID:         m.GetRequestId(),
		AttemptID:         m.GetAttemptId(),
		Outcome:           port.ClaimOutcome(m.GetOutcome()),
		StatusCode:        int(m.GetStatusCode()),
		ClaimedUnixMillis: m.GetClaimedUnixMillis(),
	}
	ok := copyKey(&st.KeyHash, m.GetKeyHash()) && validIDs(st.RequestID, st.AttemptID) && validOutcome(st.Outcome)
	return st, ok
}

func resultToWire(r *claim.Result) *peerv1.ClaimResult {
	m := &peerv1.ClaimResult{Verdict: string(r.Verdict), Reason: string(r.Reason)}
	if r.Verdict == port.ClaimHeld {
		m.Holder = stateToWire(&r.Holder)
	}
	return m
}

// resultFromWire returns unsettled for an unknown verdict or an invalid holder:
// the claim is not granted, but may have been written.
func resultFromWire(m *peerv1.ClaimResult) claim.Result {
	r := claim.Result{Verdict: port.ClaimVerdict(m.GetVerdict()), Reason: claim.Reason(m.GetReason())}
	switch r.Verdict {
	case port.ClaimGranted, port.ClaimExpired, port.ClaimUnavailable:
		return r
	case port.ClaimHeld:
		holder, ok := stateFromWire(m.GetHolder())
		if ok {
			r.Holder = holder
			return r
		}
	}
	return unsettled
}

func copyKey(to *claim.KeyHash, from []byte) bool {
	copy(to[:], from)
	return len(from) == len(to)
}

func validIDs(requestID, attemptID string) bool {
	return requestID != "" && len(requestID) <= maxIDBytes && attemptID != "" && len(attemptID) <= maxIDBytes
}

func validOutcome(o port.ClaimOutcome) bool {
	switch o {
	case port.ClaimUnsettled, port.ClaimDone, port.ClaimFailed, port.ClaimNotRun, port.ClaimUnknown:
		return true
	}
	return false
}
