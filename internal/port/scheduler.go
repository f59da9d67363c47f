package port

import "time"

// GenerationRequest holds the properties of a request that admission and routing
// use.
type GenerationRequest struct {
	// RequestID is unique and contains the id of the router that decides.
	RequestID    string
	Organisation string
	// Pool is the pool in which the request must run; empty for any pool that
	// serves the model.
	Pool  string
	Model string
	// Route is the route by which the request came; empty for none.
	Route        string
	PromptTokens int
	// MaxTokens bounds the output; zero if the caller set no bound.
	MaxTokens int
	// LengthHint is the caller's estimate of the output in tokens; zero for none.
	LengthHint int
	// Objective is the target for the time from arrival to the first token; zero
	// for none.
	Objective time.Duration
	// TokenGap is the target for the time between two tokens; zero for none.
	TokenGap time.Duration
	// Rank is the urgency that the operators assign; zero goes first.
	Rank int
	// PrefixHashes are the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// Excluded names endpoints that already failed this request.
	Excluded []string
	// Attempt is 1 on the first try.
	Attempt int
	// NotSent is set if no earlier attempt was sent to its endpoint, so that this one
	// is no retry.
	NotSent  bool
	Arrived  time.Time
	Deadline time.Time
}

// Verdict is the scheduler's decision on a request.
type Verdict int

// The verdicts: place now, hold until submitted again, or refuse finally.
const (
	VerdictPlace Verdict = iota + 1
	VerdictHold
	VerdictRefuse
)

// String returns the name that logs use.
func (v Verdict) String() string {
	switch v {
	case VerdictPlace:
		return "place"
	case VerdictHold:
		return "hold"
	case VerdictRefuse:
		return "refuse"
	default:
		return "none"
	}
}

// CandidateScore is the score of an endpoint in a decision. Lower scores win.
type CandidateScore struct {
	Endpoint string  `json:"endpoint"`
	Score    float64 `json:"score"`
	// Overflow, Gap, Prefill and Prefix are the parts of the score, in its unit.
	Overflow float64 `json:"overflow"`
	Gap      float64 `json:"gap"`
	Prefill  float64 `json:"prefill"`
	Prefix   float64 `json:"prefix"`
	// Slowness is how long work takes at the endpoint, as a multiple of the pool's
	// median; zero if it was not taken into account.
	Slowness float64 `json:"slowness,omitempty"`
	// Excluded is the reason why the endpoint could not be chosen.
	Excluded string `json:"excluded,omitempty"`
}

// Decision is a verdict with the chosen endpoint and the reason.
type Decision struct {
	Verdict    Verdict
	Endpoint   Endpoint
	Reason     string
	Candidates []CandidateScore
	// RetryAfter is the time after which a refused caller may retry, as promised
	// with the refusal.
	RetryAfter time.Duration
	// ConfigurationVersion is the version of the routing configuration in force.
	ConfigurationVersion uint64
	// Priority is passed to the engine with the request; larger is more urgent.
	Priority int
	// Coordinator is the id of the daemon whose scheduler decided; empty if it was
	// the daemon that asked.
	Coordinator string
}

// Relocator is a Scheduler that also moves runs between runners.
type Relocator interface {
	Scheduler
	// Relocate chooses the runner that takes over a placed request from a leaving
	// runner. From then on the request is counted at both.
	Relocate(now time.Time, requestID string, terms RelocationConstraints) Decision
	// Relocated ends a relocation. If moved is set, the request now runs at the new
	// runner, otherwise it stays at the old one.
	Relocated(now time.Time, requestID string, moved bool)
	// Adopt counts a running request that another scheduler placed.
	Adopt(now time.Time, r *RunningRequest)
	// ObserveStream applies what a run shows of the speed of its endpoint.
	ObserveStream(now time.Time, requestID string, s StreamSample)
	// SetLimitShare sets the share of the endpoints' rate limits within which a pool's
	// requests are placed, above 0 to 1. It is below 1 while other schedulers place at
	// the same endpoints.
	SetLimitShare(now time.Time, pool string, share float64)
}

// StreamSample is what the stream of a run has shown of its endpoint's speed since the
// previous sample of that run.
type StreamSample struct {
	// Slowness is the slowness that the endpoint stated with its answer, as in LoadHint;
	// zero if it stated none.
	Slowness float64
	// PerToken is the mean time per token and Gap the longest time between two events;
	// zero if there were fewer than two events.
	PerToken time.Duration
	Gap      time.Duration
}

// RunningRequest is a running generation as known to its daemon.
type RunningRequest struct {
	Request    GenerationRequest
	EndpointID string
	Tokens     int
}

// RelocationConstraints constrains the choice of the runner that takes over a run.
type RelocationConstraints struct {
	// Excluded lists the runners that failed to take over the run.
	Excluded []string
	// FailureDomain is the failure domain in which the run is now; empty if that
	// does not matter.
	FailureDomain string
}

// FinishKind is how a placed attempt ended.
type FinishKind int

// The ways an attempt ends.
const (
	FinishDone FinishKind = iota + 1
	// FinishNotStarted is the end of an attempt that never reached the engine.
	FinishNotStarted
	FinishFailed
	FinishCancelled
	// FinishUntracked is the end of a run that another scheduler counts from now on,
	// or whose outcome is unknown; it does not update any estimate.
	FinishUntracked
)

// Scheduler decides on generations: admission, then routing. It is safe for
// concurrent use and receives the current time from its caller.
type Scheduler interface {
	// Submit requests a decision. A place verdict also records the attempt as
	// running. After a hold verdict, wait for Ready or until the deadline, then
	// submit again.
	Submit(now time.Time, r *GenerationRequest) Decision
	// Ready returns a channel that is closed once a held request should be
	// submitted again.
	Ready(requestID string) <-chan struct{}
	// Withdraw removes a held request whose caller has disconnected.
	Withdraw(now time.Time, requestID string)
	// Progress reports the tokens seen so far for a placed request.
	Progress(now time.Time, requestID string, tokens int)
	// Finished ends a placed attempt and frees the capacity that it used.
	Finished(now time.Time, requestID string, tokens int, kind FinishKind)
	// Report processes an endpoint's load report.
	Report(now time.Time, r *LoadReport)
	// SetEndpoints replaces the endpoints that may be chosen.
	SetEndpoints(now time.Time, es []Endpoint)
	// SetPolicy puts a new policy in force.
	SetPolicy(p Policy)
	// Tick releases held requests; call it a few times a second.
	Tick(now time.Time)
}

// Policy is the part of the records that configures the scheduler.
type Policy struct {
	// Version is the routing configuration's version.
	Version uint64
	// Weights by model; the entry of the empty model is the default.
	Weights map[string]Weights
	// Organisations by name; the entry of the empty name is the default.
	Organisations map[string]OrganisationLimits
}

// Weights are the weights and limits of one routing configuration.
type Weights struct {
	// Overflow weighs the probability that the cache overflows, which causes stalls
	// and preemptions.
	Overflow float64 `json:"overflow"`
	// Gap weighs the time between tokens.
	Gap float64 `json:"gap"`
	// Prefill weighs the prompt tokens that the endpoint has yet to prefill.
	Prefill float64 `json:"prefill"`
	// Prefix is the credit for a cached prefix.
	Prefix float64 `json:"prefix"`
	// OverflowLimit is the highest accepted probability of overflow, 0 to 1; above
	// it a request is held.
	OverflowLimit float64 `json:"overflow_limit"`
	// BatchLimit bounds the running generations of one runner.
	BatchLimit int `json:"batch_limit"`
	// HoldLimit bounds how long a request is held before it is refused.
	HoldLimit time.Duration `json:"hold_limit"`
	// QueueLimit bounds the held requests of the pool at one router.
	QueueLimit int `json:"queue_limit"`
}

// OrganisationLimits are one organisation's priority and share.
type OrganisationLimits struct {
	// Priority is passed to the engines; larger is more urgent.
	Priority int `json:"priority"`
	// Share is the relative weight among organisations with waiting requests.
	Share float64 `json:"share"`
	// TokensPerSecond bounds admitted work across all routers; zero means no bound.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Concurrency bounds open requests across all routers; zero means no bound.
	Concurrency int `json:"concurrency"`
}

// RouterCounter provides the number of routers that share the limits.
type RouterCounter interface {
	// LiveRouters returns the number of live routers, including this one.
	LiveRouters() int
}

// RouterRanker is a RouterCounter that also provides this router's rank among the
// live routers, ordered by id, so that routers prefer different runners.
type RouterRanker interface {
	RouterCounter
	// RouterRank returns the rank, from 0, and the number of live routers.
	RouterRank() (rank, live int)
}
