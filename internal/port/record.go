package port

import "encoding/json"

// Record is one version of an operator record.
type Record struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"body"`
}

// MemberRole is the role of a daemon.
type MemberRole string

// The roles of daemons.
const (
	RoleRouter MemberRole = "router"
	RoleKeeper MemberRole = "keeper"
)

// MemberState is the state of a daemon as seen by the others.
type MemberState string

// The states of a member.
const (
	MemberJoining MemberState = "joining"
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one daemon of the system.
type Member struct {
	ID             string      `json:"id"`
	Role           MemberRole  `json:"role"`
	Incarnation    uint64      `json:"incarnation"`
	FailureDomain  string      `json:"failure_domain"`
	Host           string      `json:"host"`
	CallerAddress  string      `json:"caller_address,omitempty"`
	AdminAddress   string      `json:"admin_address,omitempty"`
	PeerAddress    string      `json:"peer_address"`
	State          MemberState `json:"state"`
	HighestVersion uint64      `json:"highest_version"`
	RecordsDigest  uint64      `json:"records_digest"`
	HeardAgeMillis int64       `json:"heard_age_millis"`
	// LostPools are the pools of which the daemon reaches no endpoint, in ascending
	// order.
	LostPools []string `json:"lost_pools,omitempty"`
	// Capacity is the capacity of the daemon's host.
	Capacity HostCapacity `json:"capacity,omitzero"`
	// LoadPercent is the share of the capacity in use, from 0 to 100 in steps of 25.
	LoadPercent uint32 `json:"load_percent,omitempty"`
}

// HostCapacity is the capacity of a host. Zero values are unknown.
type HostCapacity struct {
	// ProcessorMilli is in thousandths of a core, LinkKbps in kbit/s.
	ProcessorMilli uint32 `json:"processor_milli,omitempty"`
	LinkKbps       uint32 `json:"link_kbps,omitempty"`
}

// StateView is a router's view of the system, received through the keepers. It is
// implemented by the spread adapter.
type StateView interface {
	// Records returns the record set in force.
	Records() []Record
	Endpoints() []Endpoint
	Members() []Member
	// Changed returns a channel that is closed at the next change of any of these.
	Changed() <-chan struct{}
	// Synced reports whether a keeper or a peer router has sent a complete state.
	Synced() bool
}

// ClaimEntry is one at-most-once claim.
type ClaimEntry struct {
	KeyHash   [16]byte
	RequestID string
	AttemptID string
}

// ClaimVerdict is the result of a claim.
type ClaimVerdict string

// The verdicts on claims.
const (
	ClaimGranted     ClaimVerdict = "granted"
	ClaimHeld        ClaimVerdict = "held"
	ClaimUnavailable ClaimVerdict = "unavailable"
	ClaimExpired     ClaimVerdict = "expired"
)

// ClaimOutcome is the outcome of a claimed call.
type ClaimOutcome string

// The outcomes of claims.
const (
	ClaimUnsettled ClaimOutcome = "claimed"
	ClaimDone      ClaimOutcome = "done"
	ClaimFailed    ClaimOutcome = "failed"
	ClaimNotRun    ClaimOutcome = "not_run"
	ClaimUnknown   ClaimOutcome = "unknown"
)

// ClaimState is a claim as stored.
type ClaimState struct {
	KeyHash           [16]byte
	RequestID         string
	AttemptID         string
	Outcome           ClaimOutcome
	StatusCode        int
	ClaimedUnixMillis int64
}
