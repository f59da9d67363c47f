package main

import (
	"testing"
	"time"
)

// Guards against a measure of repeated prefill that counts what is prefilled once, or
// misses what is prefilled at each runner: with one runner a shared prefix is prefilled
// once, except by prompts that arrive before it is cached.
func TestPrefixPrefilledAgainIsCounted(t *testing.T) {
	w := hotPrefixWorkload(hotPrefixUnshared)
	measure := func(runners int) float64 {
		w := w
		w.runners = runners
		r := run(w, scenario{name: "hot prefix", load: 0.3, uneven: true}, unsharedCapacity(&w), 60*time.Second, 1, hotPrefixPolicies()[2])
		return r.Values[prefilledAgain] * 1000 / float64(w.hotTokens)
	}
	one, eight := measure(1), measure(8)
	t.Logf("the prefix is prefilled again %.1f times at one runner, %.1f times at eight", one, eight)
	if one < 0 || one > 5 {
		t.Errorf("one runner prefills the prefix %.1f times again, want at most 5", one)
	}
	if eight < 7 {
		t.Errorf("eight runners prefill the prefix %.1f times again, want 7 or more, once for each further runner", eight)
	}
}
