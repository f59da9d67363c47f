package ratelimit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAdmit measures one admission, to one endpoint of a pool and to any of it.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{1, 50, 1900} {
		b.Run(fmt.Sprintf("one of %d", size), func(b *testing.B) { benchAdmit(b, size, 1) })
	}
	b.Run("all of 50", func(b *testing.B) { benchAdmit(b, 50, 50) })
}

func benchAdmit(b *testing.B, size, perRequest int) {
	l := NewLimiter()
	asks := make([]Candidate, size)
	for i := range asks {
		asks[i] = Candidate{Endpoint: fmt.Sprint("runner-", i), Limit: Limit{PerSecond: 3}}
	}
	l.Admit(start, asks, 0)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		from := i % (size - perRequest + 1)
		l.Admit(now, asks[from:from+perRequest], 0)
	}
}

// BenchmarkMemory reports the heap per tracked endpoint.
func BenchmarkMemory(b *testing.B) {
	const endpoints = maxMeters
	var before, after runtime.MemStats
	var l *Limiter
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l = NewLimiter()
		for i := range endpoints {
			l.Admit(start, []Candidate{{Endpoint: fmt.Sprint("runner-", i), Limit: Limit{PerSecond: 3}}}, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/endpoints, "B/endpoint")
	runtime.KeepAlive(l)
}
