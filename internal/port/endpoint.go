package port

import "time"

// EndpointKind tells model runners from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindRunner  EndpointKind = "runner"
	KindService EndpointKind = "service"
)

// EndpointState only grows within an incarnation, so that a late message
// never brings back an endpoint that is leaving.
type EndpointState string

// The states of an endpoint, in their order.
const (
	EndpointLive    EndpointState = "live"
	EndpointLeaving EndpointState = "leaving"
	EndpointGone    EndpointState = "gone"
)

// Endpoint is one runner or service endpoint as the system knows it.
type Endpoint struct {
	ID            string        `json:"id"`
	Kind          EndpointKind  `json:"kind"`
	Pool          string        `json:"pool"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Incarnation   uint64        `json:"incarnation"`
	State         EndpointState `json:"state"`
	// FencesOrders says whether the endpoint refuses an order with an old
	// fencing number.
	FencesOrders bool     `json:"fences_orders"`
	Models       []string `json:"models,omitempty"`
	// Slots is the number of requests that run at once; zero where the
	// platform doesn't say.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the room of a runner's cache where the operators say it;
	// its own report goes before.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// Revision is that of the platform's registry behind State. An entry of a
	// larger revision goes before one that is known, also where that was
	// leaving: an endpoint whose entry had lapsed is listed again. It is zero
	// where the platform's list has no order; then State only grows.
	Revision StoreRevision `json:"revision,omitempty"`
	// Unreachable is set while the keepers' probes fail. Unlike State it is
	// taken back when they succeed again: a cut link heals.
	Unreachable bool `json:"unreachable,omitempty"`
	// RateLimit is the requests a second that the endpoint says it takes from all
	// daemons together; zero is no limit.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// ColdFor is how long the endpoint stays cold after the registry's entry was
	// written: it takes few requests until then.
	ColdFor time.Duration `json:"cold_for,omitempty"`
	// ColdRate is the requests a second that the endpoint takes from all daemons
	// together while it is cold; zero where it isn't. Each daemon sets it by what
	// it knows.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// Evacuated: nothing more is to be sent to the endpoints of its failure
	// domain. Each daemon sets it by the evacuations that it knows.
	Evacuated bool `json:"evacuated,omitempty"`
}

// LoadReport is what an endpoint says of its own load. It is always late.
type LoadReport struct {
	EndpointID  string        `json:"endpoint"`
	Incarnation uint64        `json:"incarnation"`
	State       EndpointState `json:"state"`
	// TakenUnixMillis is the endpoint's own clock; compare it only with
	// other reports of the same endpoint.
	TakenUnixMillis int64 `json:"taken_unix_millis"`
	BlocksTotal     int   `json:"blocks_total"`
	BlocksUsed      int   `json:"blocks_used"`
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens int `json:"block_tokens"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	// WaitingPromptTokens are prompt tokens not yet prefilled.
	WaitingPromptTokens int `json:"waiting_prompt_tokens"`
	// Preemptions counts since the engine started.
	Preemptions uint64 `json:"preemptions"`
	// TokenMillis is the recent time of one decoding step.
	TokenMillis float64  `json:"token_millis"`
	Models      []string `json:"models,omitempty"`
	// LeavesIn is the time until the endpoint stops, where it knows; zero
	// where it doesn't say.
	LeavesIn time.Duration `json:"leaves_in,omitempty"`
	// Runs lists what runs there, of all routers, where the endpoint says so.
	Runs []Run `json:"runs,omitempty"`
}
