package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Options make a Scheduler.
type Options struct {
	// RouterID names this router.
	RouterID string
	// Routers counts the routers that share the limits; nil counts one.
	Routers port.RouterCounter
	// Weights hold where the policy gives none for a model; zero fields
	// take those of DefaultWeights.
	Weights port.Weights
	// Random breaks ties. Routers must not share a seed, or they break them
	// alike. Nil takes a PCG seeded by the router's id.
	Random *rand.Rand
	// Lengths estimates answers; nil makes a new estimator.
	Lengths *length.Estimator
	// ReportLag is how old a load report is assumed to be when it comes;
	// zero takes DefaultReportLag. Engine clocks aren't compared with ours.
	ReportLag time.Duration
	// BusyUse is the part of a pool's cache expected to be used above which
	// an organisation over its share waits; zero takes DefaultBusyUse. Below
	// it there is room for all. A pool whose generations end within seconds
	// has room again soon and may be fuller than one whose go on for minutes.
	BusyUse float64
	// UnreadLimit are the prompt tokens not yet read at a runner above which it
	// gets no further prompt; zero is no limit. It is for a scheduler that alone
	// places at its runners, as it knows what is unread there. Without it all
	// that is held goes at once to a runner that has just joined, and waits
	// there for seconds to be read, while room comes up elsewhere and the runs
	// that must move off leaving runners find none.
	UnreadLimit int
	// TokenGap is the time between two tokens that is on time where a request
	// names none; zero takes DefaultTokenGap.
	TokenGap time.Duration
	// AgeStep is the wait that lifts a held request by one priority.
	AgeStep time.Duration
}

// Defaults of Options.
const (
	DefaultReportLag = 300 * time.Millisecond
	DefaultAgeStep   = 5 * time.Second
	DefaultBusyUse   = 0.5
	// DefaultTokenGap is what the operators want kept by 95 in 100 tokens.
	DefaultTokenGap = 34 * time.Millisecond
)

// DefaultWeights balance both kinds of workload; docs/operations/
// routing-weights.md explains each.
func DefaultWeights() port.Weights {
	return port.Weights{
		Overflow:      2,
		Gap:           1,
		Prefill:       1,
		Prefix:        0.5,
		OverflowLimit: 0.005,
		BatchLimit:    48,
		HoldLimit:     30 * time.Second,
		QueueLimit:    64,
	}
}

// Bounds that are no matter of policy.
const (
	// maxCandidates bounds the scores kept with a decision.
	maxCandidates = 8
	// releaseBurst bounds the held requests released in one call.
	releaseBurst = 16
	// releaseTries bounds the heads of flows offered for each release.
	releaseTries = 12
	// collectWithin is how long a released request keeps its place before
	// its caller asks again; past it the caller is taken for gone.
	collectWithin = 5 * time.Second
)

// withLimits fills the fields that a zero would make senseless. Weights of
// parts stay as they are: zero switches a part off.
func withLimits(w, fallback port.Weights) port.Weights {
	if w.OverflowLimit <= 0 {
		w.OverflowLimit = fallback.OverflowLimit
	}
	if w.BatchLimit <= 0 {
		w.BatchLimit = fallback.BatchLimit
	}
	if w.HoldLimit <= 0 {
		w.HoldLimit = fallback.HoldLimit
	}
	if w.QueueLimit <= 0 {
		w.QueueLimit = fallback.QueueLimit
	}
	return w
}
