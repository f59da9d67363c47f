package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/hostweight"
)

// loadReadInterval is the time between two readings of the processor time.
const loadReadInterval = time.Second

// loadReporter announces the share of the host's processors that this process uses. The
// bytes that the daemon relays aren't counted, so the load of the link isn't known.
type loadReporter struct {
	processorMilli uint32
	publish        func(percent uint32)
	logger         *log.Logger
	// processorPercent and announcedPercent are the mean of the last seconds and the
	// announced load.
	processorPercent, announcedPercent gometrics.Gauge

	// mu guards the fields below.
	mu          sync.Mutex
	load        hostweight.Load
	announcedAt time.Time
}

func newLoadReporter(processorMilli uint32, publish func(percent uint32), logger *log.Logger, registry gometrics.Registry) *loadReporter {
	return &loadReporter{
		processorMilli: processorMilli, publish: publish, logger: logger,
		processorPercent: gometrics.GetOrRegisterGauge("host_processor_percent", registry),
		announcedPercent: gometrics.GetOrRegisterGauge("host_load_announced_percent", registry),
	}
}

// run reads the processor time until the context ends.
func (r *loadReporter) run(ctx context.Context) {
	ticker := time.NewTicker(loadReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if used, err := processorTime(); err == nil {
				r.observe(time.Now(), used)
			}
		}
	}
}

func (r *loadReporter) observe(now time.Time, used time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.load.Announced
	changed := r.load.Observe(now, used, r.processorMilli)
	r.processorPercent.Update(int64(r.load.Percent))
	if changed {
		r.announce(now, before, false)
	}
}

// setFull states whether the host accepts no new requests because of its memory.
func (r *loadReporter) setFull(now time.Time, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.load.Announced
	if r.load.SetFull(now, full) {
		r.announce(now, before, true)
	}
}

// announce publishes and logs a new load. r.mu must be held.
func (r *loadReporter) announce(now time.Time, before uint32, memory bool) {
	r.announcedPercent.Update(int64(r.load.Announced))
	r.publish(r.load.Announced)
	line := r.logger.Info().Str("event", "host_load_changed").Uint32("from", before).Uint32("to", r.load.Announced).
		Float64("processor_percent", r.load.Percent).Uint32("processor_milli", r.processorMilli).
		Bool("for_memory", memory)
	if !r.announcedAt.IsZero() {
		line = line.Int64("age_ms", now.Sub(r.announcedAt).Milliseconds())
	}
	line.Msg("")
	r.announcedAt = now
}

// processorTime returns the processor time that the process has used since its start.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
