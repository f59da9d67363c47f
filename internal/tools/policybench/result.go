package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// result holds the measurements of one run.
type result struct {
	gaps       *hdrhistogram.Histogram
	placements map[int]int
	refusals   [2]int

	Values map[string]float64
	// firstToken and completion are latencies in seconds, by organisation.
	firstToken [10][]float64
	completion [10][]float64
	// beforePlacement and atEngine are the parts of the time to the first token
	// before and after placement in seconds, by kind, for all organisations but
	// the flooding one.
	beforePlacement [2][]float64
	atEngine        [2][]float64
	// wasRefused is 1 for each of these requests that was refused at least once,
	// otherwise 0.
	wasRefused [2][]float64
	// floodingCompleted counts the flooding organisation's complete answers, by
	// kind.
	floodingCompleted [2]int
}

// Names of the measures, in the order of the table.
const (
	stallTime   = "stall_s"
	preemptions = "preemptions"
	// preemptedTokens is the number of thousands of computed context tokens of runs that
	// were preempted.
	preemptedTokens = "preempted_k"
	gapP50          = "gap_p50_ms"
	gapP95          = "gap_p95_ms"
	gapP99          = "gap_p99_ms"
	firstP95        = "first_p95_s"
	firstShortP95   = "first_short_p95_s"
	firstReportP95  = "first_report_p95_s"
	goodput         = "goodput_pct"
	goodputReport   = "goodput_report_pct"
	refusals        = "refused_pct"
	retryServed     = "returned_served_pct"
	worstShare      = "worst_org_pct"
	spread          = "placement_cv"
	// reportRun is the mean time from the placement of a report to its end.
	reportRun = "report_run_s"
	goodShort = "goodput_short_pct"
	// servedShort and servedReport are the shares of requests that got a complete answer,
	// on time or not; worstServed is the share of the worst organisation relative to all.
	servedShort  = "served_short_pct"
	servedReport = "served_report_pct"
	// servedPatientShort and servedPatientReport are those of the callers who wait
	// until their retry times.
	servedPatientShort  = "patient_short_pct"
	servedPatientReport = "patient_report_pct"
	worstServed         = "worst_org_served"
	// heldInVain is the share of requests that were held for more than a quarter of
	// the time until their deadline and not served.
	heldInVain = "held_in_vain_pct"
	// prefilledAgain is the number of thousands of context tokens that were prefilled
	// although some engine had computed them before, largestBacklog the largest number of
	// thousands of prompt tokens at one engine that were not prefilled.
	prefilledAgain = "prefilled_again_k"
	largestBacklog = "largest_backlog_k"
)

var measures = []string{
	stallTime, preemptions, preemptedTokens, gapP50, gapP95, gapP99, firstP95, firstShortP95, firstReportP95, goodput, goodputReport, refusals, retryServed, worstShare, spread,
	reportRun, goodShort, servedShort, servedReport, servedPatientShort, servedPatientReport, worstServed, heldInVain,
	prefilledAgain, largestBacklog,
}

func newResult() *result {
	return &result{
		gaps:       hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3),
		placements: make(map[int]int),
		Values:     make(map[string]float64),
	}
}

func (r *result) recordGap(d time.Duration) { _ = r.gaps.RecordValue(d.Microseconds()) }

func (r *result) collect(s *sim) {
	var first []float64
	var firstOf [2][]float64
	var good, offered [10]float64
	refused, retried, served := 0.0, 0.0, 0.0
	reports, goodReports := 0.0, 0.0
	var reportRuns []float64
	stall := time.Duration(0)
	for _, c := range s.all {
		offered[c.organisation]++
		if c.kind == reportKind {
			reports++
		}
		stall += c.stall
		if c.refused > 0 && !c.dispatched {
			refused++
		}
		if c.retried {
			retried++
			if c.refused <= 1 {
				served++
			}
		}
		if c.tokens == 0 {
			continue
		}
		f := (c.first - c.arrived).Seconds()
		first = append(first, f)
		if c.arrived > s.floodStart {
			r.firstToken[c.organisation] = append(r.firstToken[c.organisation], f)
			r.recordFirstTokenParts(c)
		}
		firstOf[c.kind] = append(firstOf[c.kind], f)
		if c.finished == 0 {
			continue
		}
		if c.arrived > s.floodStart {
			r.completion[c.organisation] = append(r.completion[c.organisation], (c.finished - c.arrived).Seconds())
		}
		if c.kind == reportKind {
			reportRuns = append(reportRuns, (c.finished - c.placed).Seconds())
		}
		if s.withinTargets(c) {
			good[c.organisation]++
			if c.kind == reportKind {
				goodReports++
			}
		}
	}
	total, allGood, worst := 0.0, 0.0, 1.0
	for o := range offered {
		total += offered[o]
		allGood += good[o]
		worst = min(worst, good[o]/offered[o])
	}
	v := r.Values
	v[stallTime] = stall.Seconds()
	for _, e := range s.engines {
		v[preemptions] += float64(e.model.Preemptions())
		v[preemptedTokens] += float64(e.model.PreemptedTokens()) / 1000
	}
	for name, q := range map[string]float64{gapP50: 50, gapP95: 95, gapP99: 99} {
		v[name] = float64(r.gaps.ValueAtQuantile(q)) / 1000
	}
	v[firstP95] = quantile(first, 0.95)
	v[firstShortP95] = quantile(firstOf[shortKind], 0.95)
	v[firstReportP95] = quantile(firstOf[reportKind], 0.95)
	v[goodput] = 100 * allGood / total
	v[goodputReport] = 100 * goodReports / reports
	v[goodShort] = 100 * (allGood - goodReports) / (total - reports)
	v[reportRun], _ = meanAndDeviation(reportRuns)
	v[refusals] = 100 * refused / total
	v[retryServed] = 100
	if retried > 0 {
		v[retryServed] = 100 * served / retried
	}
	v[worstShare] = 100 * worst
	v[prefilledAgain] = s.prefilledAgain() / 1000
	v[largestBacklog] = float64(s.largestBacklog) / 1000
	v[spread] = r.placementSpread(len(s.engines))
	r.collectServed(s)
	r.gaps = nil
}

// recordFirstTokenParts records the call's time to the first token before and
// after placement. For the flooding organisation it only counts complete
// answers.
func (r *result) recordFirstTokenParts(c *call) {
	if c.organisation == floodingOrganisation {
		if c.finished != 0 {
			r.floodingCompleted[c.kind]++
		}
		return
	}
	r.beforePlacement[c.kind] = append(r.beforePlacement[c.kind], (c.placed - c.arrived).Seconds())
	r.wasRefused[c.kind] = append(r.wasRefused[c.kind], float64(min(1, c.refused)))
	r.atEngine[c.kind] = append(r.atEngine[c.kind], (c.first - c.placed).Seconds())
}

func (s *sim) withinTargets(c *call) bool {
	k := &s.w.kinds[c.kind]
	if c.finished == 0 || c.first-c.arrived > s.w.target(c) {
		return false
	}
	if s.w.gapTarget > 0 {
		return c.longestGap <= s.w.gapTarget
	}
	return c.finished-c.arrived <= k.completionBase+time.Duration(c.output)*completionPerToken
}

// placementSpread returns the coefficient of variation of the number of
// placements per runner.
func (r *result) placementSpread(runners int) float64 {
	counts := make([]float64, runners)
	for i, n := range r.placements {
		counts[i] = float64(n)
	}
	m, d := meanAndDeviation(counts)
	return d / m
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
