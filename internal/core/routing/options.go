package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Options configure a Scheduler.
type Options struct {
	// RouterID identifies this router.
	RouterID string
	// Routers counts the routers that share the limits. Nil means one
	// router.
	Routers port.RouterCounter
	// Weights apply to models for which the policy has none. If all fields
	// are zero, DefaultWeights apply.
	Weights port.Weights
	// Random breaks ties. Routers with the same seed would break them
	// identically, so each needs its own. Nil means a PCG seeded from
	// RouterID.
	Random *rand.Rand
	// Lengths estimates answer lengths. Nil means a new estimator.
	Lengths *length.Estimator
	// ReportLag is the assumed age of a load report on arrival, because
	// engine clocks aren't compared with the router's. Zero means
	// DefaultReportLag.
	ReportLag time.Duration
	// BusyThreshold is the expected use of a pool's cache, as a fraction, above
	// which an organisation over its share must wait. Below it there is
	// capacity for all. A pool whose generations end within seconds frees
	// capacity soon and can have a higher value than one whose generations
	// run for minutes. Zero means DefaultBusyThreshold.
	BusyThreshold float64
	// PrefillBacklogLimit is the number of prompt tokens awaiting prefill at a
	// runner above which it gets no further prompts. Zero means no limit.
	// Set it only if no other scheduler places work on these runners, as
	// only then the backlog is known. Without it all held requests go at
	// once to a runner that has just joined and wait there for seconds,
	// while capacity becomes free elsewhere. Runs that must move off leaving
	// runners then find no capacity.
	PrefillBacklogLimit int
	// TokenGap is the longest time between two tokens that counts as on
	// time, for requests that don't set one. Zero means DefaultTokenGap.
	TokenGap time.Duration
	// AgeStep is the wait that raises a held request by one priority.
	AgeStep time.Duration
	// UnevenEndpoints compares runners by the time that they need, in pools whose
	// endpoints state their slowness.
	UnevenEndpoints bool
	// ScarceRoom lets brief requests with short objectives go before long ones, and
	// keeps cache free for them.
	ScarceRoom bool
}

// Defaults of Options.
const (
	DefaultReportLag     = 300 * time.Millisecond
	DefaultAgeStep       = 5 * time.Second
	DefaultBusyThreshold = 0.5
	// DefaultTokenGap is the operators' objective for 95 in 100 tokens.
	DefaultTokenGap = 34 * time.Millisecond
)

// DefaultWeights returns weights that suit workloads of both short and long
// requests; docs/operations/routing-weights.md explains each weight.
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

// Bounds that the policy doesn't set.
const (
	// maxCandidates bounds the scores stored with a decision.
	maxCandidates = 8
	// releaseBurst bounds the held requests released in one call.
	releaseBurst = 16
	// releaseTries bounds the flows whose first request is tried for each
	// release.
	releaseTries = 12
	// collectTimeout is how long a released request keeps its placement
	// until its caller submits it again. After that the caller counts as
	// disconnected.
	collectTimeout = 5 * time.Second
)

// withDefaultLimits replaces limits for which zero makes no sense. The
// weights of score parts are kept: zero switches a part off.
func withDefaultLimits(w, fallback port.Weights) port.Weights {
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
