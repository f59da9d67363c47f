package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// candidateCounts are the pool sizes that the benchmarks run with.
var candidateCounts = []int{8, 16, 32, 64, 128, 256, 512}

func loadedScheduler(b *testing.B, runners int) *Scheduler {
	s := newTestScheduler(b, runners, func(o *Options) { o.Routers = ranked{2, 6} })
	for i := range 500 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 100}, 20+i)
	}
	for i := range runners {
		reportUntilSmoothed(s, start, i, 300+i%100, 8)
	}
	return s
}

// BenchmarkDecision measures one placement and its end for several numbers
// of candidates.
func BenchmarkDecision(b *testing.B) {
	benchmarkDecision(b, func(*Scheduler) {})
}

// BenchmarkDecisionUneven measures the same where speeds are compared.
func BenchmarkDecisionUneven(b *testing.B) {
	benchmarkDecision(b, stateSpeeds)
}

func benchmarkDecision(b *testing.B, prepare func(*Scheduler)) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedScheduler(b, n)
			prepare(s)
			r := request("a", 300)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				// Advance the time, so that the decisions don't count as one
				// burst.
				now = now.Add(10 * time.Second)
				if d := s.Submit(now, r); d.Verdict != port.VerdictPlace {
					b.Fatal(d.Reason)
				}
				s.Finished(now, "a", 20, port.FinishDone)
			}
		})
	}
}

// BenchmarkRank measures the scoring of all candidates alone.
func BenchmarkRank(b *testing.B) {
	benchmarkRank(b, func(*Scheduler) {})
}

// BenchmarkRankUneven measures the same where speeds are compared.
func BenchmarkRankUneven(b *testing.B) {
	benchmarkRank(b, stateSpeeds)
}

// stateSpeeds switches the rules on speed on, and lets all runners state a slowness.
func stateSpeeds(s *Scheduler) {
	s.options.UnevenEndpoints = true
	for i := range s.shards["pool"].runners {
		s.state(i, []float64{0.7, 1, 1.3, 2.4}[i%4])
	}
	s.Tick(start)
}

func benchmarkRank(b *testing.B, prepare func(*Scheduler)) {
	for _, n := range candidateCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := loadedScheduler(b, n)
			prepare(s)
			sh := s.shards["pool"]
			r := request("a", 300)
			r.Objective, r.TokenGap = time.Second, 45*time.Millisecond
			e := sh.newEntry(start, r)
			b.ReportAllocs()
			for b.Loop() {
				q := sh.query(start, e)
				var k ranking
				sh.rank(start, &q, sh.byModel["m"], &k)
				if k.chosen() == nil {
					b.Fatal("no runner chosen")
				}
			}
		})
	}
}

// BenchmarkTick measures a tick without held requests, 20 of which run in a second.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct {
		name    string
		prepare func(*Scheduler)
	}{{"equal", func(*Scheduler) {}}, {"uneven", stateSpeeds}} {
		b.Run(c.name, func(b *testing.B) {
			s := loadedScheduler(b, 3000)
			c.prepare(s)
			now := start
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				s.Tick(now)
			}
		})
	}
}

func BenchmarkProgress(b *testing.B) {
	s := loadedScheduler(b, 64)
	s.Submit(start, request("a", 300))
	b.ReportAllocs()
	tokens := 0
	for b.Loop() {
		tokens++
		s.Progress(start, "a", tokens)
	}
}

func BenchmarkReport(b *testing.B) {
	s := loadedScheduler(b, 64)
	r := report(3, 400, 9)
	b.ReportAllocs()
	for b.Loop() {
		s.Report(start, r)
	}
}

// benchmarkHeap reports the heap bytes per unit that fill(n) allocates.
func benchmarkHeap(b *testing.B, unit string, sizes []int, fill func(n int) any) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				kept := fill(n)
				b.ReportMetric(float64(heap()-before)/float64(n), "B/"+unit)
				runtime.KeepAlive(kept)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkRunnerMemory(b *testing.B) {
	benchmarkHeap(b, "runner", []int{100, 475, 950, 1900}, func(n int) any { return newTestScheduler(b, n, nil) })
}

func BenchmarkHeldMemory(b *testing.B) {
	benchmarkHeap(b, "held", []int{250, 500, 1000, 2000}, func(n int) any {
		s := newTestScheduler(b, 1, nil)
		s.SetPolicy(port.Policy{Weights: map[string]port.Weights{"": {QueueLimit: 10 * n, HoldLimit: time.Minute}}})
		reportUntilSmoothed(s, start, 0, 990, 5)
		for i := range n {
			if d := s.Submit(start, request(fmt.Sprint(i), 3000)); d.Verdict != port.VerdictHold {
				b.Fatal(d.Reason)
			}
		}
		return s
	})
}

func BenchmarkRunningMemory(b *testing.B) {
	benchmarkHeap(b, "running", []int{1000, 2000, 4000, 8000}, func(n int) any {
		s := newTestScheduler(b, n, nil)
		for i := range n {
			if d := s.Submit(start, request(fmt.Sprint(i), 100)); d.Verdict != port.VerdictPlace {
				b.Fatal(d.Reason)
			}
		}
		return s
	})
}

func BenchmarkOrganisationMemory(b *testing.B) {
	benchmarkHeap(b, "organisation", []int{250, 525, 1050, 2100}, func(n int) any {
		s := newTestScheduler(b, 8, nil)
		for i := range n {
			id := fmt.Sprint(i)
			s.Submit(start, organisationRequest(id, "organisation-"+id))
			s.Finished(start, id, 10, port.FinishDone)
		}
		return s
	})
}
