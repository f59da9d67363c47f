package main

import (
	"testing"
	"time"
)

// Guards against an organisation or a kind of request that is hardly served when demand is
// 1.5 times the usual for 6 s of every 30 s and the organisations send unequal numbers.
func TestWorstOrganisationAndKindAreServedInSurge(t *testing.T) {
	const least = 0.7
	w, sc, p := scarceWorkload(), scarceScenarios()[0], scarcePolicies()[2]
	capacity := w.capacity(1)
	for seed := range uint64(2) {
		v := run(w, sc, capacity, 60*time.Second, seed+1, p).Values
		t.Logf("seed %d: served %.1f %% of the short requests and %.1f %% of the reports, worst organisation %.2f of the mean; held in vain %.2f %%",
			seed+1, v[servedShort], v[servedReport], v[worstServed], v[heldInVain])
		if v[worstServed] < least || min(v[servedShort], v[servedReport]) < least*max(v[servedShort], v[servedReport]) {
			t.Errorf("seed %d: the worst organisation or kind is served less than %v of the mean", seed+1, least)
		}
	}
}
