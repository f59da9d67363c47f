package main

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
)

const (
	// memoryReadInterval is the time between two readings of the memory in use.
	memoryReadInterval = 100 * time.Millisecond
	// softLimitPercent is the share of the memory limit from which on the runtime collects
	// garbage whenever memory is allocated.
	softLimitPercent = 85
	// collectPercent is the share from which on garbage is collected and returned to the
	// system, so that the bound isn't reached by garbage alone. Without allocations the
	// runtime collects every two minutes only.
	collectPercent = 75
	// collectInterval is the shortest time between two such collections, whose processor time
	// grows with the memory in use.
	collectInterval = 2 * time.Second
	// requestBytes is the memory of a request beside its body and a held answer: two
	// connections with their buffers, their goroutines, and garbage of as much again.
	requestBytes = 96 << 10
	// unseenBytes is what the system holds of an answer that isn't read. It counts toward
	// the memory limit, but the runtime doesn't know it.
	unseenBytes = endpointReceiveBytes
)

// errMemoryReading means that the runtime doesn't state its memory.
var errMemoryReading = merry.Sentinel("host memory: the runtime states no memory in use")

// memoryMonitor applies the bound on the memory of the host. It is safe for concurrent use.
type memoryMonitor struct {
	limit   uint64
	logger  *log.Logger
	read    func() (uint64, error)
	collect func()
	// setFull receives after each reading whether new requests are refused.
	setFull     func(now time.Time, full bool)
	percent     gometrics.Gauge
	failed      gometrics.Counter
	collections gometrics.Counter

	mu    sync.Mutex
	bound *hostmemory.Bound

	// The fields below are used by step only, except collecting.
	refuses     bool
	changedAt   time.Time
	collectedAt time.Time
	collecting  atomic.Bool
	unreadable  bool
}

func newMemoryMonitor(limit uint64, setFull func(now time.Time, full bool), logger *log.Logger, registry gometrics.Registry) *memoryMonitor {
	return &memoryMonitor{
		limit: limit, logger: logger, read: newMemoryReader(), collect: debug.FreeOSMemory, setFull: setFull,
		percent:     gometrics.GetOrRegisterGauge("host_memory_percent", registry),
		failed:      gometrics.GetOrRegisterCounter("host_memory_readings_failed_total", registry),
		collections: gometrics.GetOrRegisterCounter("host_memory_collections_total", registry),
		bound:       hostmemory.New(limit),
	}
}

// run reads the memory in use until the context ends.
func (m *memoryMonitor) run(ctx context.Context) {
	before := debug.SetMemoryLimit(int64(m.limit / 100 * softLimitPercent))
	defer debug.SetMemoryLimit(before)
	ticker := time.NewTicker(memoryReadInterval)
	defer ticker.Stop()
	for {
		m.step(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step takes a reading.
func (m *memoryMonitor) step(now time.Time) {
	inUse, err := m.read()
	if err != nil {
		m.readingFailed(err)
	}
	m.mu.Lock()
	// A request may have reached the bound since the last reading.
	reached := !m.bound.Accepts()
	m.bound.Observe(inUse)
	refuses, percent := !m.bound.Accepts(), m.bound.Percent()
	m.mu.Unlock()
	m.percent.Update(int64(percent))
	m.setState(now, reached, inUse)
	m.setState(now, refuses, inUse)
	m.setFull(now, refuses)
	if err == nil {
		m.unreadable = false
		m.collectAt(now, percent, refuses)
	}
}

// readingFailed logs the first of several failed readings.
func (m *memoryMonitor) readingFailed(err error) {
	m.failed.Inc(1)
	if !m.unreadable {
		m.logger.Warn().Str("event", "host_memory_unreadable").Err(err).Msg("")
	}
	m.unreadable = true
}

// setState logs a change of the bound's state.
func (m *memoryMonitor) setState(now time.Time, refuses bool, inUse uint64) {
	if refuses == m.refuses {
		return
	}
	state := "accepting"
	if refuses {
		state = "refusing"
	}
	line := m.logger.Warn().Str("event", "host_memory_bound").Str("state", state).
		Uint64("bytes_in_use", inUse).Uint64("limit", m.limit)
	if !m.changedAt.IsZero() {
		line = line.Int64("age_ms", now.Sub(m.changedAt).Milliseconds())
	}
	line.Msg("")
	m.refuses, m.changedAt = refuses, now
}

// collectAt collects garbage in the background if the memory in use comes close to the
// bound, and while new requests are refused: reserved memory may keep the bound reached at any
// reading.
func (m *memoryMonitor) collectAt(now time.Time, percent float64, refuses bool) {
	if !refuses && percent < collectPercent || now.Sub(m.collectedAt) < collectInterval || !m.collecting.CompareAndSwap(false, true) {
		return
	}
	m.collectedAt = now
	m.collections.Inc(1)
	go func() {
		defer m.collecting.Store(false)
		m.collect()
	}()
}

// Reserve implements gateway.HostMemory.
func (m *memoryMonitor) Reserve(bodyBytes int64) gateway.MemoryReservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, accepted := m.bound.Reserve(requestBytes+uint64(max(0, bodyBytes)), unseenBytes)
	if !accepted {
		return nil
	}
	return &memoryReservation{m, r}
}

// memoryReservation implements gateway.MemoryReservation.
type memoryReservation struct {
	monitor     *memoryMonitor
	reservation *hostmemory.Reservation
}

func (r *memoryReservation) Settle(bodyBytes int64) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.monitor.bound.Settle(r.reservation, requestBytes+uint64(max(0, bodyBytes)))
}

func (r *memoryReservation) Release() {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.monitor.bound.Release(r.reservation)
}

// newMemoryReader returns a function that returns the bytes that the runtime holds, without
// those that it has returned to the system. It is not safe for concurrent use.
func newMemoryReader() func() (uint64, error) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	return func() (uint64, error) {
		metrics.Read(samples)
		for _, s := range samples {
			if s.Value.Kind() != metrics.KindUint64 {
				return 0, merry.Prepend(errMemoryReading, s.Name)
			}
		}
		total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
		if total <= released {
			return 0, merry.Wrap(errMemoryReading)
		}
		return total - released, nil
	}
}
