package port

import "time"

// EndpointKind distinguishes model runners from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindRunner  EndpointKind = "runner"
	KindService EndpointKind = "service"
)

// EndpointState only advances within an incarnation, so that a late message never
// returns a leaving endpoint to service.
type EndpointState string

// The states of an endpoint, in the order in which they advance.
const (
	EndpointLive    EndpointState = "live"
	EndpointLeaving EndpointState = "leaving"
	EndpointGone    EndpointState = "gone"
)

// Endpoint is a runner or service endpoint as known to the system.
type Endpoint struct {
	ID            string        `json:"id"`
	Kind          EndpointKind  `json:"kind"`
	Pool          string        `json:"pool"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Incarnation   uint64        `json:"incarnation"`
	State         EndpointState `json:"state"`
	// FencesOrders reports whether the endpoint refuses an order with an old fencing
	// number.
	FencesOrders bool     `json:"fences_orders"`
	Models       []string `json:"models,omitempty"`
	// Slots is the number of requests that run concurrently; zero if the platform
	// does not report it.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the capacity of a runner's cache in tokens, if the operators
	// set it. The runner's own report takes precedence.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// EventTokens is the number of tokens in one event of a runner's streams, if the
	// operators set it; zero counts as one.
	EventTokens int `json:"event_tokens,omitempty"`
	// Revision is the revision of the platform's registry that State is based on.
	// An entry with a larger revision replaces a known one, even one that is
	// leaving: an endpoint whose entry had expired is listed again. It is zero if
	// the platform's list has no order; then State only advances.
	Revision StoreRevision `json:"revision,omitempty"`
	// Dropped is set if the platform's registry removed the entry of an endpoint that had
	// not announced that it leaves.
	Dropped bool `json:"dropped,omitempty"`
	// Unreachable is set while the keepers' probes fail. Unlike State it is
	// cleared when they succeed again, because a broken link may recover.
	Unreachable bool `json:"unreachable,omitempty"`
	// RateLimit is the number of requests per second that the endpoint reports to
	// accept from all daemons together; zero means no limit.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// ColdFor is how long the endpoint stays cold after its registry entry was
	// written. A cold endpoint accepts only few requests.
	ColdFor time.Duration `json:"cold_for,omitempty"`
	// ColdReports counts the values of ColdFor that the endpoint itself stated since
	// its registry entry was written.
	ColdReports uint32 `json:"cold_reports,omitempty"`
	// ColdRate is the number of requests per second that the endpoint accepts from
	// all daemons together while it is cold; zero if it is not cold. Each daemon
	// sets it from its own state.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// Brittle is set while the endpoint states that refusals crash it. Each daemon sets
	// it from the answers that it got.
	Brittle Brittleness `json:"brittle,omitzero"`
	// Evacuated is set if nothing more may be sent to the endpoints of this
	// endpoint's failure domain. Each daemon sets it from the evacuations that it
	// knows.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Brittleness is how many calls an endpoint accepts that crashes when it refuses too
// many for want of room. The zero value is that of any other endpoint.
type Brittleness struct {
	// Refusals is the number of calls of all daemons together that the endpoint
	// withstands to refuse within a second.
	Refusals int `json:"refusals"`
	// PerSecond is the number of calls per second that it has room for, and Burst the
	// time whose calls may come at once.
	PerSecond float64       `json:"per_second"`
	Burst     time.Duration `json:"burst"`
}

// LoadReport is an endpoint's report of its own load. It is always out of date.
type LoadReport struct {
	EndpointID  string        `json:"endpoint"`
	Incarnation uint64        `json:"incarnation"`
	State       EndpointState `json:"state"`
	// TakenUnixMillis is the time of the report by the endpoint's own clock. It may
	// be compared only with other reports of the same endpoint.
	TakenUnixMillis int64 `json:"taken_unix_millis"`
	BlocksTotal     int   `json:"blocks_total"`
	BlocksUsed      int   `json:"blocks_used"`
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens int `json:"block_tokens"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	// WaitingPromptTokens is the number of prompt tokens not yet prefilled.
	WaitingPromptTokens int `json:"waiting_prompt_tokens"`
	// Preemptions is the number of preemptions since the engine started.
	Preemptions uint64 `json:"preemptions"`
	// TokenMillis is the recent duration of one decoding step in milliseconds.
	TokenMillis float64  `json:"token_millis"`
	Models      []string `json:"models,omitempty"`
	// LeavesIn is the time until the endpoint stops; zero if the endpoint does not
	// report it.
	LeavesIn time.Duration `json:"leaves_in,omitempty"`
	// Runs lists the requests of all routers that run at the endpoint, if the
	// endpoint reports them.
	Runs []Run `json:"runs,omitempty"`
}
