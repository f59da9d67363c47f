// Package scheduling lets one daemon, the coordinator, schedule each pool of
// runners.
//
// A daemon knows only its own part of a pool's runs, and reports from other
// daemons arrive late. Daemons that placed at the same time would all choose the
// runner that looks empty to each of them, and would hold requests although room
// had long become free. So rendezvous hashing assigns each pool to one live
// daemon, whose scheduler places for all daemons. The coordinator's state is
// advisory, without consensus: if a coordinator cannot be reached, the next one by
// hash is asked, and finally a daemon places with its own scheduler. If two daemons
// coordinate a pool for a moment, only the quality of placement suffers, as a daemon
// that the member list doesn't make the coordinator uses only its share of the
// endpoints' rate limits. Open runs are reported to the new coordinator.
package scheduling

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// runExpiry is how long a run stays in the scheduler without a report. A run's
// daemon reports it every second. If the daemon has died, the connections on which
// it read its runs are closed; a run that was never reported was placed by a reply
// that was lost.
const runExpiry = 3 * time.Second

// PoolScheduler schedules the pools that this daemon coordinates. It is safe for
// concurrent use.
type PoolScheduler struct {
	scheduler port.Relocator
	clock     func() time.Time
	// limitShare returns the share of the endpoints' rate limits that this daemon may
	// use in a pool; nil means the whole limits. It is set before the first placement.
	limitShare func(pool string) float64

	mu sync.Mutex
	// pools are the pools in which requests were placed here.
	pools map[string]struct{}
	// lastReport holds the time of the last report of each run.
	lastReport map[string]time.Time
}

// NewPoolScheduler returns a PoolScheduler that uses the scheduler s. The clock
// may be nil.
func NewPoolScheduler(s port.Relocator, clock func() time.Time) *PoolScheduler {
	if clock == nil {
		clock = time.Now
	}
	return &PoolScheduler{scheduler: s, clock: clock, lastReport: make(map[string]time.Time), pools: make(map[string]struct{})}
}

// Place submits the request until the scheduler places or refuses it. It calls
// onHold the first time that the scheduler holds the request. When the context
// ends, the request is withdrawn.
func (b *PoolScheduler) Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) port.Decision {
	notified := false
	b.updateLimitShare(r.Pool)
	for {
		d := b.scheduler.Submit(b.clock(), r)
		if d.Verdict == port.VerdictPlace {
			b.trackRun(r.RequestID)
		}
		if d.Verdict != port.VerdictHold {
			return d
		}
		if !notified {
			onHold(&d)
			notified = true
		}
		if !b.wait(ctx, r) {
			b.scheduler.Withdraw(b.clock(), r.RequestID)
			d.Verdict = port.VerdictRefuse
			return d
		}
	}
}

// updateLimitShare applies the daemon's present share of the rate limits in a pool.
func (b *PoolScheduler) updateLimitShare(pool string) {
	if b.limitShare == nil {
		return
	}
	b.mu.Lock()
	b.pools[pool] = struct{}{}
	b.mu.Unlock()
	b.scheduler.SetLimitShare(b.clock(), pool, b.limitShare(pool))
}

// updateLimitShares does the same for all pools in which requests were placed. It is
// called regularly, because requests that are held are placed without a further call.
func (b *PoolScheduler) updateLimitShares() {
	b.mu.Lock()
	pools := slices.Collect(maps.Keys(b.pools))
	b.mu.Unlock()
	for _, pool := range pools {
		b.updateLimitShare(pool)
	}
}

// wait reports whether the request should be submitted again.
func (b *PoolScheduler) wait(ctx context.Context, r *port.GenerationRequest) bool {
	timer := time.NewTimer(r.Deadline.Sub(b.clock()) + refusalMargin)
	defer timer.Stop()
	select {
	case <-b.scheduler.Ready(r.RequestID):
		// Many calls end together when a daemon that relays them goes. Each one that ends
		// releases others, which would then be placed for nobody.
		return ctx.Err() == nil
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// refusalMargin is the extra time that lets the scheduler itself refuse a request
// that was held too long, which it detects at its next tick.
const refusalMargin = 200 * time.Millisecond

// Relocate chooses the runner that takes over a run. The scheduler adopts the run
// first if it does not have it yet.
func (b *PoolScheduler) Relocate(run *port.RunningRequest, terms port.RelocationConstraints) port.Decision {
	b.adopt(run)
	b.updateLimitShare(run.Request.Pool)
	return b.scheduler.Relocate(b.clock(), run.Request.RequestID, terms)
}

// RunEvent is an update on one run. An event that sets only Tokens reports that
// the run continues.
type RunEvent struct {
	RequestID string
	// Tokens is the number of tokens seen so far.
	Tokens int
	// Finish is set when the run has ended.
	Finish port.FinishKind
	// Relocated is set at the end of a relocation; Moved reports whether the run
	// moved to the new runner.
	Relocated bool
	Moved     bool
	// Sample is what the run's stream has shown since the previous event; zero if
	// nothing, or if the daemon's build does not measure streams.
	Sample port.StreamSample
}

// Update applies a daemon's updates on its runs.
func (b *PoolScheduler) Update(adopted []port.RunningRequest, events []RunEvent) {
	for i := range adopted {
		b.adopt(&adopted[i])
	}
	now := b.clock()
	for i := range events {
		e := &events[i]
		b.renewRun(e.RequestID)
		if e.Sample != (port.StreamSample{}) {
			// Measured at the runner that a relocation or the end of the run takes it from.
			b.scheduler.ObserveStream(now, e.RequestID, e.Sample)
		}
		if e.Relocated {
			b.scheduler.Relocated(now, e.RequestID, e.Moved)
		}
		if e.Tokens > 0 {
			b.scheduler.Progress(now, e.RequestID, e.Tokens)
		}
		if e.Finish != 0 {
			b.scheduler.Finished(now, e.RequestID, e.Tokens, e.Finish)
			b.untrackRun(e.RequestID)
		}
	}
}

func (b *PoolScheduler) adopt(run *port.RunningRequest) {
	b.scheduler.Adopt(b.clock(), run)
	b.trackRun(run.Request.RequestID)
}

// Expire removes the runs that are no longer reported. Otherwise the runs of a
// daemon that was killed would take up room in the scheduler permanently, and
// requests would be held for it.
func (b *PoolScheduler) Expire() {
	now := b.clock()
	for _, id := range b.removeExpired(now) {
		b.scheduler.Finished(now, id, 0, port.FinishUntracked)
	}
}

func (b *PoolScheduler) removeExpired(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, reportedAt := range b.lastReport {
		if now.Sub(reportedAt) >= runExpiry {
			out = append(out, id)
			delete(b.lastReport, id)
		}
	}
	return out
}

// trackRun adds a run that the scheduler counts.
func (b *PoolScheduler) trackRun(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReport[requestID] = b.clock()
}

// renewRun records a report of a run, if it is tracked.
func (b *PoolScheduler) renewRun(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, tracked := b.lastReport[requestID]; tracked {
		b.lastReport[requestID] = b.clock()
	}
}

func (b *PoolScheduler) untrackRun(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.lastReport, requestID)
}

// RunCount returns the number of runs that are tracked.
func (b *PoolScheduler) RunCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.lastReport)
}
