package membership

import (
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ProbeResult is the outcome of a probe of a member.
type ProbeResult string

// The results of probes.
const (
	// ProbeAnswered: the process itself answered.
	ProbeAnswered ProbeResult = "answered"
	// ProbeAccepted: the host accepted the connection, the process didn't answer.
	ProbeAccepted ProbeResult = "accepted"
	// ProbeRefused: the host refused the connection.
	ProbeRefused ProbeResult = "refused"
	// ProbeUnreachable: the probe got no response at all.
	ProbeUnreachable ProbeResult = "unreachable"
)

// ProbeEvidence is the input of DetermineState for one member without heartbeats.
type ProbeEvidence struct {
	// Direct is the result of the keeper's own probe. Others are the results of
	// probes by other keepers, in other failure domains where there are any.
	Direct ProbeResult
	Others []ProbeResult
	// SinceHeartbeat is the time since the member's last heartbeat.
	SinceHeartbeat time.Duration
}

// DeadAfter is the time without heartbeats after which a frozen or unreachable
// member is declared dead. A later heartbeat overrides that.
const DeadAfter = 30 * time.Second

// DetermineState derives a member's state from probes: it distinguishes a dead process, a
// frozen process and a broken link. A host that drops packets looks like a broken
// link to all probes; then only the time without heartbeats decides.
func DetermineState(e ProbeEvidence) (port.MemberState, Condition) {
	results := append([]ProbeResult{e.Direct}, e.Others...)
	switch {
	case slices.Contains(results, ProbeAnswered):
		return port.MemberLive, ConditionLinkCut
	case slices.Contains(results, ProbeRefused):
		return port.MemberDead, ConditionRefused
	case slices.Contains(results, ProbeAccepted):
		return stateAfterSilence(e.SinceHeartbeat), ConditionFrozen
	default:
		return stateAfterSilence(e.SinceHeartbeat), ConditionUnreachable
	}
}

func stateAfterSilence(silent time.Duration) port.MemberState {
	if silent >= DeadAfter {
		return port.MemberDead
	}
	return port.MemberSuspect
}
