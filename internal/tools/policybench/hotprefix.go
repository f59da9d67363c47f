package main

import (
	"fmt"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
)

// hotPrefix is the hash of the hot prefix, to which the number of the block is added. It
// differs from those of all organisations' own prefixes.
const hotPrefix = 1 << 48

// Names of the workloads with a hot prefix. They differ in what a load of 1 is.
const (
	hotPrefixUnshared = "hot prefix"
	hotPrefixShared   = "hot prefix, shared"
)

// hotPrefixSuites return the workloads with a hot prefix.
func hotPrefixSuites() []suite {
	scenarios := []scenario{{name: referenceScenario, load: 0.9, uneven: true}}
	return []suite{
		{hotPrefixWorkload(hotPrefixUnshared), unsharedCapacity, scenarios, hotPrefixPolicies()},
		{hotPrefixWorkload(hotPrefixShared), unevenCapacity, scenarios, hotPrefixPolicies()},
	}
}

// hotPrefixWorkload returns the uneven workload on a pool of usual size, with one prefix
// that most requests share.
func hotPrefixWorkload(name string) workload {
	w := unevenWorkload()
	w.name, w.runners, w.hotTokens, w.hotFraction = name, 45, 1500, 0.6
	return w
}

// unsharedCapacity returns the requests per second that the pool completes if each prompt
// is prefilled and kept in the cache as a whole, which is what the scheduler plans with.
func unsharedCapacity(w *workload) float64 {
	unshared := *w
	unshared.hotFraction = 0
	return unevenCapacity(&unshared)
}

// withoutCredit is the policy in which a cached prefix gets no credit.
const withoutCredit = "without credit"

func hotPrefixPolicies() []policy {
	credited := routing.Options{PrefillBacklogLimit: unevenUnreadLimit, UnevenEndpoints: true}
	uncredited := credited
	uncredited.Weights = routing.DefaultWeights()
	uncredited.Weights.Prefix = 0
	return []policy{
		{"least outstanding", baselineScheduler(leastOutstanding)},
		{withoutCredit, schedulerWith(uncredited)},
		{withSpeeds, schedulerWith(credited)},
	}
}

// addHotPrefixComparisons adds the measures of each seed with and without the credit for a
// cached prefix.
func (r *report) addHotPrefixComparisons() {
	for _, w := range []string{hotPrefixUnshared, hotPrefixShared} {
		without, with := r.find(w, referenceScenario, withoutCredit), r.find(w, referenceScenario, withSpeeds)
		if without == nil || with == nil {
			continue
		}
		for seed := range without.results {
			for _, m := range []string{goodput, prefilledAgain, largestBacklog} {
				r.Aims = append(r.Aims, fmt.Sprintf("%s, seed %d, %s: without credit %.2f, with it %.2f",
					w, seed+1, m, without.results[seed].Values[m], with.results[seed].Values[m]))
			}
		}
	}
}

// prefilledAgain returns the number of context tokens that the engines computed beyond
// each call's own tokens and one computation of each prefix.
func (s *sim) prefilledAgain() float64 {
	computed := 0
	for _, e := range s.engines {
		computed += int(e.model.PrefilledTokens())
	}
	known := map[uint64]bool{}
	for _, c := range s.all {
		if c.generated == 0 {
			continue
		}
		computed -= c.prompt
		for _, hash := range c.request.PrefixHashes {
			if known[hash] {
				computed += s.w.engine.BlockTokens
			}
			known[hash] = true
		}
	}
	return float64(computed)
}
