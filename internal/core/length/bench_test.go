package length

import (
	"fmt"
	"runtime"
	"testing"
)

func BenchmarkEstimate(b *testing.B) {
	e := NewEstimator(Options{})
	for i := range 5000 {
		e.Observe(Subject{Model: "m", Organisation: fmt.Sprint(i % 10), PromptTokens: 100}, i)
	}
	b.ReportAllocs()
	for b.Loop() {
		s := e.Estimate(Subject{Model: "m", Organisation: "3", PromptTokens: 100})
		_ = s.BeyondGiven(10, 100)
	}
}

// BenchmarkPairMemory reports the bytes per pair of organisation and model; the
// slope over the sizes goes to docs/CAPACITY.md.
func BenchmarkPairMemory(b *testing.B) {
	for _, pairs := range []int{2100, 10_000, 39_900, 79_800} {
		b.Run(fmt.Sprint(pairs), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				e := NewEstimator(Options{MaxPairs: 10 * pairs})
				for i := range pairs {
					e.Observe(Subject{Model: fmt.Sprint("model-", i%38), Organisation: fmt.Sprint("organisation-", i/38), PromptTokens: 100}, i)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(pairs), "B/pair")
				runtime.KeepAlive(e)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
