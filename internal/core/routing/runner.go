package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// change is what one dispatch or end of this router did to a runner.
type change struct {
	at      time.Time
	context float64
	prefill float64
	count   int
}

// numChanges bounds the changes remembered to correct late reports.
const numChanges = 32

// runner is what this router knows of one runner: its own generations there
// exactly, those of the other routers by subtraction from the last report.
type runner struct {
	endpoint port.Endpoint
	shard    *shard

	// seenTokenMillis is the time of a decoding step as this router's own
	// generations show it, for engines that don't report it.
	seenTokenMillis float64
	// said is the runner's own word on its state.
	said port.EndpointState

	report     port.LoadReport
	reported   bool
	reportTime time.Time
	// reportNanos is reportTime for the arithmetic of each decision.
	reportNanos int64

	// Own generations, and those of others as of the last report.
	own         footprint
	ownContext  float64
	ownPrefill  float64
	ownCount    int
	elseContext float64
	elsePrefill float64
	elseCount   float64

	changes    [numChanges]change
	nextChange int

	breaker breaker
	// meter keeps to the limit that the runner names.
	meter ratelimit.Meter
	// home marks the runners that this router prefers.
	home bool
	// listed marks the runners that the shard lists, dropped those that no
	// list names any more or that another incarnation has replaced.
	listed  bool
	dropped bool
}

// Assumptions on a runner that never reported.
const (
	unknownCapacity    = 16384
	unknownBlockTokens = 16
	unknownTokenMillis = 20
)

// reportSmoothing is the weight of a new report in what is held of others:
// a single report may catch a moment between two steps.
const reportSmoothing = 0.7

// stepSmoothing is the weight of one more gap between two reports of progress
// in the step time: a prompt that is read stretches some gaps to many steps.
const stepSmoothing = 0.1

// stepped takes the time that a generation of this router took for tokens.
func (r *runner) stepped(took time.Duration, tokens int) {
	step := float64(took.Microseconds()) / 1000 / float64(tokens)
	if r.seenTokenMillis == 0 {
		r.seenTokenMillis = step
		return
	}
	r.seenTokenMillis += stepSmoothing * (step - r.seenTokenMillis)
}

// note records a change by this router.
func (r *runner) note(now time.Time, context, prefill float64, count int) {
	r.ownContext += context
	r.ownPrefill += prefill
	r.ownCount += count
	r.changes[r.nextChange] = change{at: now, context: context, prefill: prefill, count: count}
	r.nextChange = (r.nextChange + 1) % numChanges
	if r.ownCount == 0 {
		// Sums of floats drift; an empty runner is exactly empty.
		r.own, r.ownContext, r.ownPrefill = footprint{}, 0, 0
	}
}

// takeReport subtracts from a report what this router had there when the
// report was taken; the rest belongs to other routers. Without the lag in
// between, a runner would look as if others had just filled it whenever this
// router had dispatched to it, or emptied it whenever a generation ended.
func (r *runner) takeReport(now time.Time, report *port.LoadReport, lag time.Duration) {
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

	elseContext := max(0, float64(report.BlocksUsed*report.BlockTokens)-context-rounding)
	elsePrefill := max(0, float64(report.WaitingPromptTokens)-prefill)
	elseCount := max(0, float64(report.Running+report.Waiting-count))
	if report.Waiting > 0 {
		elseContext += elsePrefill
	}
	weight := reportSmoothing
	if first {
		weight = 1
	}
	r.elseContext += weight * (elseContext - r.elseContext)
	r.elsePrefill += weight * (elsePrefill - r.elsePrefill)
	r.elseCount += weight * (elseCount - r.elseCount)
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
	case r.seenTokenMillis > 0:
		return r.seenTokenMillis
	default:
		return unknownTokenMillis
	}
}

// atLimit reports whether the runner has named a limit and takes no more now.
func (r *runner) atLimit(now time.Time) bool { return r.meter.Wait(now, ratelimit.Of(&r.endpoint)) > 0 }

// count is the generations there, waiting ones included.
func (r *runner) count() float64 { return float64(r.ownCount) + r.elseCount }
