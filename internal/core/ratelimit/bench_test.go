package ratelimit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAdmit measures one admission, for one endpoint of so many and for all of a pool.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []int{1, 50, 1900} {
		b.Run(fmt.Sprintf("one of %d", size), func(b *testing.B) { benchAdmit(b, size, 1) })
	}
	b.Run("all of 50", func(b *testing.B) { benchAdmit(b, 50, 50) })
}

func benchAdmit(b *testing.B, size, asked int) {
	l := NewLimiter()
	asks := make([]Ask, size)
	for i := range asks {
		asks[i] = Ask{Endpoint: fmt.Sprint("runner-", i), Limit: Limit{PerSecond: 3}}
	}
	l.Admit(start, asks, 0)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		from := i % (size - asked + 1)
		l.Admit(now, asks[from:from+asked], 0)
	}
}

// BenchmarkMemory is the heap for each endpoint that is remembered.
func BenchmarkMemory(b *testing.B) {
	const endpoints = maxMeters
	var before, after runtime.MemStats
	var l *Limiter
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l = NewLimiter()
		for i := range endpoints {
			l.Admit(start, []Ask{{Endpoint: fmt.Sprint("runner-", i), Limit: Limit{PerSecond: 3}}}, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/endpoints, "B/endpoint")
	runtime.KeepAlive(l)
}
