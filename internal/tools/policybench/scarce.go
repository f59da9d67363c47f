package main

import (
	"fmt"
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Parameters of the scenarios with scarce room and deadlines.
const (
	// organisationSkew is the exponent by which the organisations' fractions of the
	// requests fall with their rank.
	organisationSkew = 1.2
	// inVainFraction is the fraction of the time until the deadline after which a held
	// request that isn't served counts as held in vain.
	inVainFraction = 0.25
	shortDeadline  = 3 * time.Second
	reportDeadline = 10 * time.Second
	hastyRetry     = 500 * time.Millisecond
	hastyTime      = 30 * time.Second
)

// scarceName is the name of the workload with scarce room and deadlines.
const scarceName = "scarce"

func scarceScenarios() []scenario {
	return []scenario{
		{name: "surge 1.5", load: 0.9, lag: defaultReportLag, surge: 1.5, surgeOfAll: true},
		{name: "surge 2.3", load: 0.9, lag: defaultReportLag, surge: 2.3, surgeOfAll: true},
		{name: "surge 2.3, hasty callers", load: 0.9, lag: defaultReportLag, surge: 2.3, surgeOfAll: true, hasty: true},
		{name: "surge 1.5, no preemption", load: 0.9, lag: defaultReportLag, surge: 1.5, surgeOfAll: true, overcommit: true},
		{name: "surge 2.3, no preemption", load: 0.9, lag: defaultReportLag, surge: 2.3, surgeOfAll: true, overcommit: true},
	}
}

// daemonWeights returns the weights of a daemon without records of the operators.
func daemonWeights() port.Weights {
	return record.Policy(nil).Weights[""]
}

// Names of the policies that the scenarios with scarce room compare.
const (
	withoutScarceRoom = "without scarce room"
	withScarceRoom    = "with scarce room"
)

func scarcePolicies() []policy {
	return []policy{
		{"least outstanding", baselineScheduler(leastOutstanding)},
		{withoutScarceRoom, schedulerWith(routing.Options{PrefillBacklogLimit: unevenUnreadLimit, Weights: daemonWeights()})},
		{withScarceRoom, schedulerWith(routing.Options{PrefillBacklogLimit: unevenUnreadLimit, Weights: daemonWeights(), ScarceRoom: true})},
	}
}

// scarceWorkload returns short requests and reports with deadlines, of organisations
// that differ in their numbers of requests.
func scarceWorkload() workload {
	w := longPrompts()
	w.name = scarceName
	w.kinds[shortKind].deadline = shortDeadline
	w.kinds[reportKind].deadline = reportDeadline
	w.kinds[reportKind].firstTokenTarget = 4 * time.Second
	w.kinds[reportKind].completionBase = 8 * time.Second
	w.fractions = skewedFractions(len(organisationFractions), organisationSkew)
	return w
}

// skewedFractions returns fractions that sum to 1 and fall with the given power of the
// rank.
func skewedFractions(n int, exponent float64) []float64 {
	out, sum := make([]float64, n), 0.0
	for i := range out {
		out[i] = math.Pow(float64(i+1), -exponent)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// setDeadline sets the latest time at which an attempt of a call is to be placed. Each
// attempt of a caller has a time limit of its own.
func (s *sim) setDeadline(now time.Duration, c *call) {
	if limit := s.w.kinds[c.kind].deadline; limit > 0 {
		c.request.Arrived, c.request.Deadline = at(now), at(now+limit)
	}
}

// beginHold and endHold record the time for which a call is held. endHold is called for
// a call that isn't served.
func (c *call) beginHold(now time.Duration) { c.held, c.heldAt = true, now }

func (c *call) endHold(now, deadline time.Duration) {
	if c.held && float64(now-c.heldAt) > inVainFraction*float64(deadline) {
		c.heldInVain = true
	}
	c.held = false
}

// collectServed adds the measures of the requests that were served at all.
func (r *result) collectServed(s *sim) {
	var servedOf, offeredOf [2]float64
	var servedBy, offeredBy [10]float64
	var served, inVain, total float64
	var patient, servedPatient [2]float64
	for _, c := range s.all {
		total++
		offeredOf[c.kind]++
		offeredBy[c.organisation]++
		if c.heldInVain {
			inVain++
		}
		if !c.hasty {
			patient[c.kind]++
		}
		if c.finished != 0 {
			if !c.hasty {
				servedPatient[c.kind]++
			}
			served++
			servedOf[c.kind]++
			servedBy[c.organisation]++
		}
	}
	worst := 1.0
	for o := range servedBy {
		worst = min(worst, servedBy[o]/offeredBy[o])
	}
	v := r.Values
	v[servedShort] = 100 * servedOf[shortKind] / offeredOf[shortKind]
	v[servedReport] = 100 * servedOf[reportKind] / offeredOf[reportKind]
	v[servedPatientShort] = 100 * servedPatient[shortKind] / max(1, patient[shortKind])
	v[servedPatientReport] = 100 * servedPatient[reportKind] / max(1, patient[reportKind])
	v[worstServed] = worst / (served / total)
	v[heldInVain] = 100 * inVain / total
}

// addPreemptionComparisons adds what preemption costs in each seed: the measures with the
// engine's rule, and with engines that preempt no run.
func (r *report) addPreemptionComparisons() {
	for _, l := range r.Rows {
		if l.Workload != scarceName {
			continue
		}
		for seed, x := range l.results {
			v := x.Values
			r.Aims = append(r.Aims, fmt.Sprintf("%s, %s, seed %d: on time %.2f %% (short %.2f, reports %.2f), %.0f preempted with %.1f k tokens",
				l.Scenario, l.Policy, seed+1, v[goodput], v[goodShort], v[goodputReport], v[preemptions], v[preemptedTokens]))
		}
	}
}
