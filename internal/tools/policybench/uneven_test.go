package main

import (
	"testing"
	"time"
)

// unevenResult holds the means over the seeds of one policy's runs.
type unevenResult struct {
	// onTime, shortOnTime and longOnTime are percentages of the requests of all kinds,
	// of the short and of the long ones.
	onTime, shortOnTime, longOnTime float64
	// run is the mean time in seconds from the placement of a long generation to its
	// end, stalls the time above the stall threshold.
	run, stalls float64
}

func runUneven(t *testing.T, p policy, w workload, capacity float64) unevenResult {
	t.Helper()
	const seeds, length = 3, 60 * time.Second
	var out unevenResult
	for seed := range uint64(seeds) {
		r := run(w, scenario{name: "uneven", load: 0.9, uneven: true}, capacity, length, seed+1, p)
		out.onTime += r.Values[goodput] / seeds
		out.shortOnTime += r.Values[goodShort] / seeds
		out.longOnTime += r.Values[goodputReport] / seeds
		out.run += r.Values[reportRun] / seeds
		out.stalls += r.Values[stallTime] / seeds
	}
	t.Logf("%s: %.1f %% of the requests on time, %.1f %% of the short ones, %.1f %% of the long ones; %.2f s for a long one, %.1f s of stalls",
		p.name, out.onTime, out.shortOnTime, out.longOnTime, out.run, out.stalls)
	return out
}

// Guards against long generations at slow runners, which hold them 2.4 times as
// long and pause over the limit, at a load of 0.9. The mean run of a long generation
// must be two thirds of the way from the scheduler without speeds to an oracle that
// knows the speeds and the lengths of all answers. More requests of both kinds
// must be on time than without speeds.
func TestPlacementBySpeedAtHighLoad(t *testing.T) {
	w := unevenWorkload()
	capacity := unevenCapacity(&w)
	results := map[string]unevenResult{}
	for _, p := range unevenPolicies() {
		if p.name != withoutSpeeds && p.name != withSpeeds && p.name != speedOracle {
			continue
		}
		results[p.name] = runUneven(t, p, w, capacity)
	}
	without, with, best := results[withoutSpeeds], results[withSpeeds], results[speedOracle]
	t.Logf("of the way to the oracle: requests on time %.2f, mean run %.2f", way(without.onTime, with.onTime, best.onTime), way(without.run, with.run, best.run))
	if way(without.run, with.run, best.run) < 2.0/3 {
		t.Errorf("a long generation takes %.2f s, want two thirds of the way from %.2f to %.2f", with.run, without.run, best.run)
	}
	if with.shortOnTime <= without.shortOnTime || with.longOnTime <= without.longOnTime {
		t.Errorf("%.1f %% of the short and %.1f %% of the long generations on time, want more than %.1f and %.1f", with.shortOnTime, with.longOnTime, without.shortOnTime, without.longOnTime)
	}
	if with.stalls >= without.stalls {
		t.Errorf("%.1f s of stalls, want less than %.1f", with.stalls, without.stalls)
	}
}
