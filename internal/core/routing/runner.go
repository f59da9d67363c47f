package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/speed"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// change is the effect of one dispatch or end of a run by this router on a
// runner's load.
type change struct {
	at      time.Time
	context float64
	prefill float64
	count   int
}

// numChanges is the number of recent changes kept to correct late reports.
const numChanges = 32

// runner is this router's view of one runner. Its own generations there are
// known exactly; those of other routers are derived by subtracting its own
// from the last report.
type runner struct {
	endpoint port.Endpoint
	shard    *shard

	// measuredTokenMillis is the time of a decoding step, measured on this
	// router's own generations, for engines that don't report it.
	measuredTokenMillis float64
	// reportedState is the state that the runner itself reported.
	reportedState port.EndpointState

	report     port.LoadReport
	reported   bool
	reportTime time.Time
	// reportNanos is reportTime in Unix nanoseconds, for the arithmetic of
	// each decision.
	reportNanos int64

	// Load of this router's own generations, and of other routers' as of the
	// last report.
	own           footprint
	ownContext    float64
	ownPrefill    float64
	ownCount      int
	othersContext float64
	othersPrefill float64
	othersCount   float64

	changes    [numChanges]change
	nextChange int

	// speed is the estimated speed of the runner. speedAt is the time of its last sample,
	// or of the figure that was handed over if there is no sample.
	speed   speed.Endpoint
	speedAt time.Time
	// usual and present are its slowness relative to the pool's median, usually and
	// at this moment, and longestGap is the longest recent time between two events
	// in milliseconds, all as of the last tick or sample.
	usual, present float64
	longestGap     float64

	breaker breaker
	// meter enforces the rate limit that the runner sets, and shareMeter the share of it
	// that this scheduler may use while others place at the runner.
	meter, shareMeter ratelimit.Meter
	// index is the runner's position among those that accept new work, notLive if it
	// doesn't.
	index int
	// preferred marks the runners that this router prefers.
	preferred bool
	// listed marks the runners in the shard's list. dropped marks those that
	// no list contains any more or that another incarnation has replaced.
	listed  bool
	dropped bool
}

// Assumptions about a runner that has never reported.
const (
	unknownCapacity    = 16384
	unknownBlockTokens = 16
	unknownTokenMillis = 20
)

// reportSmoothing is the weight of a new report in the load of other
// routers: a single report may show a moment between two steps.
const reportSmoothing = 0.7

// stepSmoothing is the weight of a new sample of the step time: the prefill
// of a prompt stretches some gaps to many steps.
const stepSmoothing = 0.1

// observeStep updates the step time with the time that a generation of this
// router took for the given number of tokens.
func (r *runner) observeStep(elapsed time.Duration, tokens int) {
	step := float64(elapsed.Microseconds()) / 1000 / float64(tokens)
	if r.measuredTokenMillis == 0 {
		r.measuredTokenMillis = step
		return
	}
	r.measuredTokenMillis += stepSmoothing * (step - r.measuredTokenMillis)
}

// recordChange applies and records a change by this router.
func (r *runner) recordChange(now time.Time, context, prefill float64, count int) {
	r.ownContext += context
	r.ownPrefill += prefill
	r.ownCount += count
	r.changes[r.nextChange] = change{at: now, context: context, prefill: prefill, count: count}
	r.nextChange = (r.nextChange + 1) % numChanges
	if r.ownCount == 0 {
		// Sums of floats drift; an empty runner must be exactly empty.
		r.own, r.ownContext, r.ownPrefill = footprint{}, 0, 0
	}
}

// applyReport derives the load of other routers: it subtracts from a report
// the load that this router had there when the report was taken. If it
// ignored the lag, each dispatch or end of a run by this router would look
// like a change of the others' load.
func (r *runner) applyReport(now time.Time, report *port.LoadReport, lag time.Duration) {
	if r.reported && report.TakenUnixMillis < r.report.TakenUnixMillis {
		return
	}
	first := !r.reported
	r.report = *report
	r.reported = true
	r.reportTime = now.Add(-lag)
	r.reportNanos = r.reportTime.UnixNano()

	context, prefill, count := r.ownContext, r.ownPrefill, r.ownCount
	for i := range r.changes {
		if c := &r.changes[i]; c.at.After(r.reportTime) {
			context -= c.context
			prefill -= c.prefill
			count -= c.count
		}
	}
	steps := float64(lag.Milliseconds()) / r.tokenMillis()
	context -= float64(count) * steps
	rounding := float64(count*report.BlockTokens) / 2

	othersContext := max(0, float64(report.BlocksUsed*report.BlockTokens)-context-rounding)
	othersPrefill := max(0, float64(report.WaitingPromptTokens)-prefill)
	othersCount := max(0, float64(report.Running+report.Waiting-count))
	if report.Waiting > 0 {
		othersContext += othersPrefill
	}
	weight := reportSmoothing
	if first {
		weight = 1
	}
	r.othersContext += weight * (othersContext - r.othersContext)
	r.othersPrefill += weight * (othersPrefill - r.othersPrefill)
	r.othersCount += weight * (othersCount - r.othersCount)
}

func (r *runner) capacity() float64 {
	switch {
	case r.reported && r.report.BlocksTotal > 0:
		return float64(r.report.BlocksTotal * r.blockTokens())
	case r.endpoint.CacheTokens > 0:
		return float64(r.endpoint.CacheTokens)
	default:
		return unknownCapacity
	}
}

func (r *runner) blockTokens() int {
	if r.report.BlockTokens == 0 {
		return unknownBlockTokens
	}
	return r.report.BlockTokens
}

func (r *runner) tokenMillis() float64 {
	switch {
	case r.report.TokenMillis > 0:
		return r.report.TokenMillis
	case r.measuredTokenMillis > 0:
		return r.measuredTokenMillis
	default:
		return unknownTokenMillis
	}
}

// count returns the number of generations at the runner, including waiting
// ones.
func (r *runner) count() float64 { return float64(r.ownCount) + r.othersCount }
