package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
)

// BenchmarkRequest measures the cost of the quarantine for each request that is sent.
func BenchmarkRequest(b *testing.B) {
	d := newDaemons(1)
	for range 3 {
		d.crash(0, requestOf(1))
	}
	r, now := d.registers[0], time.Now()
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			for b.Loop() {
				f := quarantine.FingerprintOf("org", "POST", "host", "/path", body)
				r.Quarantined(now, whole(f))
				r.Completed(now, whole(f))
			}
		})
	}
}

// BenchmarkRequestWithParts measures the same for a prompt of ten parts, while one part is
// quarantined.
func BenchmarkRequestWithParts(b *testing.B) {
	d := newDaemons(1)
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	r, now := d.registers[0], time.Now()
	scope := quarantine.Scope{Organisation: "org", Pool: "pool", Model: "m"}
	for b.Loop() {
		request := &quarantine.Request{Parts: scope.Parts([]uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})}
		r.Quarantined(now, request)
		r.Completed(now, request)
	}
}

// BenchmarkEvaluateParts evaluates as many suspected parts as are remembered at most, after
// 17 crashes of 24 requests with ten parts each.
func BenchmarkEvaluateParts(b *testing.B) {
	d := newDaemons(1)
	for crash := range uint64(17) {
		var ran []*quarantine.Request
		for slot := range uint64(24) {
			var ids []uint64
			for part := range uint64(9) {
				ids = append(ids, 1<<20+(crash*24+slot)*10+part)
			}
			ran = append(ran, prompt("o", append(ids, shared)...))
		}
		d.crashPrompts(0, ran...)
	}
	var all []quarantine.PartSuspect
	for s := range d.nodes[0].PartSuspects().All() {
		all = append(all, s)
	}
	for b.Loop() {
		quarantine.EvaluateParts(all, nil)
	}
}

// BenchmarkEvaluate evaluates as many suspects as are remembered at most.
func BenchmarkEvaluate(b *testing.B) {
	d := newDaemons(1)
	d.crashWithRequests(4096)
	var all []quarantine.Suspect
	for s := range d.nodes[0].Suspects().All() {
		all = append(all, s)
	}
	for b.Loop() {
		quarantine.Evaluate(all)
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{512, 4096} {
		b.Run(fmt.Sprint(n, " suspects"), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				d := newDaemons(1)
				d.crashWithRequests(n)
				d.changes = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/suspect")
				runtime.KeepAlive(d)
			}
		})
	}
}

// crashWithRequests crashes endpoints that run 24 requests each, until the given
// number of requests is reached.
func (d *daemons) crashWithRequests(requests int) {
	const slots = 24
	for n := 0; n < requests; n += slots {
		var ran []fingerprint
		for i := range min(slots, requests-n) {
			ran = append(ran, requestOf(1000+n+i))
		}
		d.crash(0, ran...)
	}
}
