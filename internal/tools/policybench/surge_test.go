package main

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
)

// surgeResult holds the means over the seeds of one policy's runs.
type surgeResult struct{ short, reports, worstOrganisation, preempted float64 }

// runSurge runs a policy under a surge of reports.
func runSurge(t *testing.T, p policy, w workload, capacity, surge float64) surgeResult {
	t.Helper()
	const seeds, length, load = 2, 60 * time.Second, 0.8
	var out surgeResult
	for seed := range uint64(seeds) {
		r := run(w, scenario{name: "surge", load: load, lag: defaultReportLag, surge: surge}, capacity, length, seed+1, p)
		out.short += r.Values[goodShort] / seeds
		out.reports += r.Values[goodputReport] / seeds
		out.worstOrganisation += r.Values[worstShare] / seeds
		out.preempted += r.Values[preemptions] / seeds
	}
	t.Logf("surge %v, %s: %.1f %% of the short requests on time, %.1f %% of the reports, %.1f %% of the worst organisation's; %.0f preemptions",
		surge, p.name, out.short, out.reports, out.worstOrganisation, out.preempted)
	return out
}

// Guards against short requests that are late behind reports when a surge of reports
// fills the cache, although they use it briefly and are due much earlier.
func TestSurgeOfReportsLeavesRoomForShortRequests(t *testing.T) {
	w := longPrompts()
	w.kinds[reportKind].firstTokenTarget = 4 * time.Second
	w.kinds[reportKind].completionBase = 8 * time.Second
	capacity := w.capacity(1)
	before := policy{"without the rules for scarce room", schedulerWith(routing.Options{PrefillBacklogLimit: unreadLimit})}
	after := policy{"with them", schedulerWith(routing.Options{PrefillBacklogLimit: unreadLimit, ScarceRoom: true})}
	outstanding := policy{"least outstanding", baselineScheduler(leastOutstanding)}
	for _, surge := range []float64{1.5, 2.3} {
		least, without, with := runSurge(t, outstanding, w, capacity, surge), runSurge(t, before, w, capacity, surge), runSurge(t, after, w, capacity, surge)
		if with.short <= without.short || with.short <= least.short {
			t.Errorf("surge %v: %.1f %% of the short requests on time, want more than %.1f (without the rules) and %.1f (least outstanding)",
				surge, with.short, without.short, least.short)
		}
		if with.reports < with.short/2 || with.short < with.reports/2 {
			t.Errorf("surge %v: %.1f %% of the short requests and %.1f %% of the reports on time, want each at least half of the other", surge, with.short, with.reports)
		}
		if mean := (with.short + with.reports) / 2; with.worstOrganisation < mean/2 {
			t.Errorf("surge %v: %.1f %% of the worst organisation's requests on time, want at least half of the mean, %.1f", surge, with.worstOrganisation, mean)
		}
	}
}
