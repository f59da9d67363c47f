package main

import (
	"fmt"
	"slices"
)

func (r *report) find(workload, scenario, policy string) *row {
	for _, l := range r.Rows {
		if l.Workload == workload && l.Scenario == scenario && l.Policy == policy {
			return l
		}
	}
	return nil
}

// addComparisons adds a comparison of least outstanding, the scheduler and the
// oracle at 0.9 load to the report.
func (r *report) addComparisons() {
	for _, w := range []string{"kegsetu", "bayanihan"} {
		leastRow := r.find(w, referenceScenario, "least outstanding")
		schedulerRow := r.find(w, referenceScenario, "ours, "+w)
		oracleRow := r.find(w, referenceScenario, "oracle, holds")
		if leastRow == nil || schedulerRow == nil || oracleRow == nil {
			continue
		}
		measured := []string{stallTime, preemptions}
		if w == "bayanihan" {
			measured = append(measured, gapP99)
		}
		for _, m := range measured {
			a, b, c := leastRow.Mean[m], schedulerRow.Mean[m], oracleRow.Mean[m]
			r.Aims = append(r.Aims, fmt.Sprintf("%s %s: least outstanding %.2f, ours %.2f (%.2f of it), oracle %.2f; %.2f of the way",
				w, m, a, b, b/a, c, (a-b)/(a-c)))
		}
		for _, m := range []string{goodput, goodputReport, firstShortP95, firstReportP95} {
			r.Aims = append(r.Aims, fmt.Sprintf("%s %s: least outstanding %.2f, ours %.2f, oracle %.2f",
				w, m, leastRow.Mean[m], schedulerRow.Mean[m], oracleRow.Mean[m]))
		}
	}
}

// addFloodComparisons adds the ratio of each other organisation's 95th
// percentile latencies with the flood to those of the same seeds without it.
func (r *report) addFloodComparisons() {
	for _, l := range r.Rows {
		unflooded := r.find(l.Workload, unfloodedScenario, l.Policy)
		if l.Scenario != floodScenario || unflooded == nil {
			continue
		}
		first := ratios(l, unflooded, func(x *result, o int) []float64 { return x.firstToken[o] })
		completion := ratios(l, unflooded, func(x *result, o int) []float64 { return x.completion[o] })
		r.Aims = append(r.Aims, fmt.Sprintf("%s flood, %s: others' p95 first token x%.2f at worst, x%.2f in the middle; whole answer x%.2f, x%.2f",
			l.Workload, l.Policy, first[len(first)-1], first[len(first)/2], completion[len(completion)-1], completion[len(completion)/2]))
		r.addFloodBreakdown(l, unflooded)
	}
}

// addFloodBreakdown adds how much of the other organisations' time to the first
// token is spent before placement and how much at the engine, with and without
// the flood.
func (r *report) addFloodBreakdown(flooded, unflooded *row) {
	kinds := []string{"short", "report"}
	for kind, name := range kinds {
		held := func(x *result, _ int) []float64 { return x.beforePlacement[kind] }
		engine := func(x *result, _ int) []float64 { return x.atEngine[kind] }
		r.Aims = append(r.Aims, fmt.Sprintf("%s flood, %s: others' %s p95, calm to flooded: held %.2f to %.2f s, at the engine %.2f to %.2f s, refused first %.2f to %.2f %%; the flooder's whole answers %d to %d",
			flooded.Workload, flooded.Policy, name,
			pooled(unflooded, 0, held), pooled(flooded, 0, held), pooled(unflooded, 0, engine), pooled(flooded, 0, engine),
			100*unflooded.refusedFraction(kind), 100*flooded.refusedFraction(kind), unflooded.floodingCompleted(kind), flooded.floodingCompleted(kind)))
	}
}

// refusedFraction returns the fraction of the other organisations' requests of
// a kind that were refused at least once before they were placed.
func (l *row) refusedFraction(kind int) float64 {
	refused, all := 0.0, 0
	for _, x := range l.results {
		for _, b := range x.wasRefused[kind] {
			refused += b
		}
		all += len(x.wasRefused[kind])
	}
	return refused / float64(max(1, all))
}

// floodingCompleted counts the complete answers of the flooding organisation.
func (l *row) floodingCompleted(kind int) int {
	n := 0
	for _, x := range l.results {
		n += x.floodingCompleted[kind]
	}
	return n
}

func ratios(flooded, unflooded *row, values func(*result, int) []float64) []float64 {
	var out []float64
	for o := range organisationFractions {
		if o != floodingOrganisation {
			out = append(out, pooled(flooded, o, values)/pooled(unflooded, o, values))
		}
	}
	slices.Sort(out)
	return out
}

func pooled(l *row, organisation int, values func(*result, int) []float64) float64 {
	var all []float64
	for _, x := range l.results {
		all = append(all, values(x, organisation)...)
	}
	return quantile(all, 0.95)
}
