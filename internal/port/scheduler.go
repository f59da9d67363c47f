package port

import "time"

// GenerationRequest is what admission and routing know of a request.
type GenerationRequest struct {
	// RequestID is unique and names the router that decides.
	RequestID    string
	Organisation string
	// Pool is where it must run; empty for any pool that serves the model.
	Pool  string
	Model string
	// Route is the route that it came by; empty where there is none.
	Route        string
	PromptTokens int
	// MaxTokens bounds the output; zero when the caller set none.
	MaxTokens int
	// LengthHint is the caller's own guess of the output; zero for none.
	LengthHint int
	// Objective is the time from arrival to the first token that is on time;
	// zero where nobody names one.
	Objective time.Duration
	// TokenGap is the time between two tokens that is on time; zero where nobody
	// names one.
	TokenGap time.Duration
	// Rank is the urgency that the operators give it; zero goes first.
	Rank int
	// PrefixHashes are the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// Excluded names endpoints that already failed this request.
	Excluded []string
	// Attempt is 1 on the first try.
	Attempt  int
	Arrived  time.Time
	Deadline time.Time
}

// Verdict is what the scheduler decided.
type Verdict int

// The verdicts: place now, hold until asked again, or refuse for good.
const (
	VerdictPlace Verdict = iota + 1
	VerdictHold
	VerdictRefuse
)

// String names the verdict as logs do.
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

// CandidateScore is one endpoint as a decision saw it. Lower scores win.
type CandidateScore struct {
	Endpoint string  `json:"endpoint"`
	Score    float64 `json:"score"`
	// Parts of the score, in the same unit.
	Overflow float64 `json:"overflow"`
	Gap      float64 `json:"gap"`
	Prefill  float64 `json:"prefill"`
	Prefix   float64 `json:"prefix"`
	// Excluded is the reason why the endpoint could not be chosen.
	Excluded string `json:"excluded,omitempty"`
}

// Decision is a choice with its reason.
type Decision struct {
	Verdict    Verdict
	Endpoint   Endpoint
	Reason     string
	Candidates []CandidateScore
	// RetryAfter is the promise made with a refusal.
	RetryAfter time.Duration
	// ConfigurationVersion is the routing configuration's version in force.
	ConfigurationVersion uint64
	// Priority goes to the engine with the request; larger is more urgent.
	Priority int
	// Coordinator names the daemon whose scheduler decided; empty for the asking one.
	Coordinator string
}

// Relocator is a Scheduler that also moves runs between runners.
type Relocator interface {
	Scheduler
	// Relocate chooses the runner that takes over a placed request, whose own
	// is leaving. From then on it is counted at both.
	Relocate(now time.Time, requestID string, terms Relocation) Decision
	// Relocated ends a relocation: with moved the request runs at the new
	// runner, else it stays at its old one.
	Relocated(now time.Time, requestID string, moved bool)
	// Adopt counts a request as running that another scheduler placed.
	Adopt(now time.Time, r *RunningRequest)
}

// RunningRequest is a generation that runs, as its daemon knows it.
type RunningRequest struct {
	Request    GenerationRequest
	EndpointID string
	Tokens     int
}

// Relocation is what a move of a run depends on.
type Relocation struct {
	// Excluded names the runners that failed to take it.
	Excluded []string
	// FailureDomain is where it runs now; empty where that doesn't matter.
	FailureDomain string
}

// FinishKind is how a placed attempt ended.
type FinishKind int

// The ways an attempt ends.
const (
	FinishDone FinishKind = iota + 1
	// FinishNotStarted is an attempt that never reached the engine.
	FinishNotStarted
	FinishFailed
	FinishCancelled
	// FinishElsewhere is a run that another scheduler counts from now on, or whose end
	// nobody knows: nothing is learned from it.
	FinishElsewhere
)

// Scheduler decides on generations: admission, then routing. It is safe for
// concurrent use and takes every time from its caller.
type Scheduler interface {
	// Submit asks for a decision. A place verdict also records the attempt
	// as running. After a hold verdict, wait on Ready or until the deadline.
	Submit(now time.Time, r *GenerationRequest) Decision
	// Ready yields a channel that is closed once a held request should be
	// submitted again.
	Ready(requestID string) <-chan struct{}
	// Withdraw forgets a held request whose caller has gone.
	Withdraw(now time.Time, requestID string)
	// Progress reports the tokens seen so far for a placed request.
	Progress(now time.Time, requestID string, tokens int)
	// Finished ends a placed attempt and frees its share.
	Finished(now time.Time, requestID string, tokens int, kind FinishKind)
	// Report takes an endpoint's load report.
	Report(now time.Time, r *LoadReport)
	// SetEndpoints replaces the endpoints that may be chosen.
	SetEndpoints(now time.Time, es []Endpoint)
	// SetPolicy puts a new policy in force.
	SetPolicy(p Policy)
	// Tick releases held requests; call it a few times a second.
	Tick(now time.Time)
}

// Policy is the part of the records that the scheduler obeys.
type Policy struct {
	// Version is the routing configuration's version.
	Version uint64
	// Weights by model; the empty model is the default.
	Weights map[string]Weights
	// Organisations by name; the empty name is the default.
	Organisations map[string]OrganisationLimits
}

// Weights of one routing configuration.
type Weights struct {
	// Overflow weighs the chance that the cache overflows: stalls and
	// preemptions.
	Overflow float64 `json:"overflow"`
	// Gap weighs the time between tokens.
	Gap float64 `json:"gap"`
	// Prefill weighs the prompt tokens ahead on the endpoint.
	Prefill float64 `json:"prefill"`
	// Prefix is the credit for a cached prefix.
	Prefix float64 `json:"prefix"`
	// OverflowLimit is the highest accepted chance of overflow, 0 to 1;
	// above it a request is held.
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
	// Share is the relative weight among organisations that wait.
	Share float64 `json:"share"`
	// TokensPerSecond bounds admitted work across all routers; zero is
	// no bound.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Concurrency bounds open requests across all routers; zero is no bound.
	Concurrency int `json:"concurrency"`
}

// RouterCounter tells the scheduler how many routers share the limits.
type RouterCounter interface {
	// LiveRouters counts the routers that serve, this one included.
	LiveRouters() int
}

// RouterRanker is a RouterCounter that also knows this router's place among
// the live ones, ordered by id. Routers then prefer different runners.
type RouterRanker interface {
	RouterCounter
	// RouterRank returns the place, from 0, and the number of live routers.
	RouterRank() (rank, live int)
}
