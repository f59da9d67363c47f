package main

import (
	"bytes"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

// Guards against a bound that is reached or left without a log line or an announced load, or because a reading failed, and against garbage that keeps requests refused.
func TestMemoryBoundIsReportedAndAnnounced(t *testing.T) {
	var out bytes.Buffer
	var published []uint32
	registry, logger := gometrics.NewRegistry(), jsonlog.New(&out, name, "e", "info")
	load := newLoadReporter(144, func(p uint32) { published = append(published, p) }, logger, registry)
	m := newMemoryMonitor(1_000_000, load.setFull, logger, registry)
	if inUse, err := m.read(); err != nil || inUse < 1<<20 || inUse > 1<<30 {
		t.Fatalf("%d bytes in use, error %v", inUse, err)
	}
	m.collect = func() {}
	now := time.Unix(1_700_000_000, 0)
	for i, c := range []struct {
		inUse   uint64
		times   int
		accepts bool
	}{{500_000, 1, true}, {0, 2, true}, {900_000, 1, false}, {0, 1, false}, {710_000, 25, false}, {600_000, 40, true}} {
		m.read = func() (uint64, error) { return c.inUse, nil }
		if c.inUse == 0 {
			m.read = func() (uint64, error) { return 0, errMemoryReading }
		}
		for range c.times {
			m.step(now)
			for m.collecting.Load() {
				runtime.Gosched()
			}
			load.observe(now, 0)
			now = now.Add(memoryReadInterval)
		}
		r := m.Reserve(0)
		if r != nil {
			r.Release()
		}
		if (r != nil) != c.accepts {
			t.Errorf("step %d: accepts %v", i, !c.accepts)
		}
	}
	if !slices.Equal(published, []uint32{100, 0}) || m.percent.Value() != 60 || m.failed.Count() != 3 || m.collections.Count() != 2 {
		t.Errorf("published %v, gauge %d, %d failed readings, %d collections", published, m.percent.Value(), m.failed.Count(), m.collections.Count())
	}
	// Requests that are accepted between two readings reach the bound, too.
	for accepted := 0; m.Reserve(0) != nil; accepted++ {
		if accepted > 3 {
			t.Fatal("no bound on requests between two readings")
		}
	}
	m.step(now)
	for line, n := range map[string]int{
		`"event":"host_memory_unreadable"`: 2,
		`"event":"host_memory_bound","state":"refusing","bytes_in_use":900000,"limit":1000000}`:                                 1,
		`"event":"host_memory_bound","state":"accepting","bytes_in_use":600000,"limit":1000000,"age_ms":2700}`:                  1,
		`"event":"host_memory_bound","state":"refusing"`:                                                                        2,
		`"event":"host_load_changed","from":0,"to":100,"processor_percent":0,"processor_milli":144,"for_memory":true`:           2,
		`"event":"host_load_changed","from":100,"to":0,"processor_percent":0,"processor_milli":144,"for_memory":false,"age_ms"`: 1,
	} {
		if got := strings.Count(out.String(), line); got != n {
			t.Errorf("%d log lines with %s, want %d: %s", got, line, n, out.String())
		}
	}
}

// Guards against garbage that keeps requests refused while readings alone are below the bound, and against a body of unknown length that stays reserved in full once it has arrived.
func TestReservationsDoNotKeepRequestsRefused(t *testing.T) {
	logger := jsonlog.New(&bytes.Buffer{}, name, "e", "info")
	m := newMemoryMonitor(1_000_000, func(time.Time, bool) {}, logger, gometrics.NewRegistry())
	m.collect = func() {}
	m.read = func() (uint64, error) { return 680_000, nil }
	now := time.Unix(1_700_000_000, 0)
	m.step(now)
	if m.Reserve(0) == nil || m.Reserve(0) != nil {
		t.Fatal("the second request doesn't reach the bound")
	}
	if m.step(now.Add(memoryReadInterval)); m.collections.Count() != 1 {
		t.Errorf("%d collections while requests are refused, want 1", m.collections.Count())
	}
	m = newMemoryMonitor(10_000_000, func(time.Time, bool) {}, logger, gometrics.NewRegistry())
	for i := range 40 {
		r := m.Reserve(1 << 20)
		if r == nil {
			t.Fatalf("request %d with a body of 10 bytes is refused", i)
		}
		r.Settle(10)
	}
}

// Guards against a memory limit, small buffers or a bound on answers at hosts that state no capacity.
func TestMemoryIsBoundedWithCapacityOnly(t *testing.T) {
	for _, bounded := range []bool{false, true} {
		s := decodeSettings(t, settingsJSON(t, func(m map[string]any) {
			if bounded {
				m["capacity"] = map[string]any{"processor": 0.144, "link_mbps": 10, "memory_mb": 112, "descriptors": 1024}
			}
		}))
		a := assemble(s, jsonlog.New(&bytes.Buffer{}, name, "e", "info"), gometrics.NewRegistry())
		if (a.memory != nil) != bounded || (a.gateway.Memory != nil) != bounded || (s.options().AnswerMemory == 14_000_000) != bounded ||
			(s.endpointBuffers().ReceiveBytes > 0) != bounded || (s.callerBuffers().SendBytes > 0) != bounded {
			t.Errorf("capacity stated: %v, options %+v", bounded, s.options())
		}
	}
}
