package engine

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
)

// sampleInterval is the time between two samples of load and cache events.
const sampleInterval = 20 * time.Millisecond

// sample is the load report and the newest cache event at one time.
type sample struct {
	taken    time.Time
	report   port.LoadReport
	cacheSeq uint64
}

// sampler stores recent samples, so that reports can be served with a delay.
type sampler struct {
	mu      sync.Mutex
	samples []sample
}

// add stores a sample and removes the samples that delayed no longer returns
// with this lag.
func (s *sampler) add(m sample, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, m)
	for len(s.samples) > 1 && m.taken.Sub(s.samples[1].taken) >= lag {
		s.samples = s.samples[1:]
	}
}

// delayed returns the newest sample that is at least lag old, or the oldest
// sample if there is none.
func (s *sampler) delayed(now time.Time, lag time.Duration) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.samples[0]
	for _, m := range s.samples[1:] {
		if now.Sub(m.taken) < lag {
			break
		}
		found = m
	}
	return found
}

func (e *Engine) sampleLoop(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			e.sample(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) sample(now time.Time) {
	e.mu.Lock()
	report := e.model.Load()
	_, seq := e.model.CacheEvents(^uint64(0))
	e.mu.Unlock()
	report.EndpointID = e.options.ID
	report.Incarnation = e.options.Incarnation
	report.TakenUnixMillis = now.UnixMilli()
	report.Models = e.orders.readyModels()
	e.sampler.add(sample{taken: now, report: report, cacheSeq: seq}, max(e.reportLag(), e.options.CacheEventLag))
}

func (e *Engine) reportLag() time.Duration {
	if millis := e.faults.Get().ReportLagMillis; millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	return e.options.ReportLag
}

// load returns the delayed load report with the current state. The state isn't
// delayed, because it is the engine itself that announces that it is leaving.
func (e *Engine) load() port.LoadReport {
	report := e.sampler.delayed(time.Now(), e.reportLag()).report
	report.State = e.state()
	return report
}

func (e *Engine) state() port.EndpointState {
	if e.faults.Get().Leaving {
		return port.EndpointLeaving
	}
	return port.EndpointLive
}

// cacheEvents returns the events after a sequence number, delayed by
// Options.CacheEventLag and with the gaps of Options.CacheEventGap, and the
// sequence number from which to continue.
func (e *Engine) cacheEvents(after uint64) (events []enginemodel.CacheEvent, next uint64) {
	newestSeq := e.sampler.delayed(time.Now(), e.options.CacheEventLag).cacheSeq
	e.mu.Lock()
	all, _ := e.model.CacheEvents(after)
	e.mu.Unlock()
	events = []enginemodel.CacheEvent{}
	for _, event := range all {
		if event.Seq > newestSeq {
			break
		}
		if gap := e.options.CacheEventGap; gap > 0 && event.Seq%gap == 0 {
			continue
		}
		events = append(events, event)
	}
	return events, max(after, newestSeq)
}
