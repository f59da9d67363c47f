// Package scheduling has each pool of runners scheduled by one daemon, its coordinator.
//
// A daemon sees its own part of a pool's runs only, and what others would say
// is late: many that place at the same time would all choose the runner that
// looks empty to each, and each would hold requests for room that is long
// gone. So every pool falls to one live daemon, by rendezvous hash, whose
// scheduler places for all. What it knows is advice and not agreed on: where it
// can't be reached the next in line is asked, and at last a daemon places by
// its own scheduler. Two daemons that both coordinate a pool for a moment only place less
// well, and what runs is told to whoever keeps them next.
package scheduling

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// silentAfter is the time without a word of a run after which it leaves the
// scheduler. Its daemon mentions each run every second; a daemon that is gone has
// closed the connections on which its runs were read, and a run that is never
// mentioned was placed by an answer that got lost.
const silentAfter = 3 * time.Second

// PoolScheduler is the scheduler of the pools that fall to this daemon. It is safe for
// concurrent use.
type PoolScheduler struct {
	scheduler port.Relocator
	clock     func() time.Time

	mu sync.Mutex
	// heard is when each run was last mentioned.
	heard map[string]time.Time
}

// NewPoolScheduler returns the pool scheduler over a scheduler. The clock may be nil.
func NewPoolScheduler(s port.Relocator, clock func() time.Time) *PoolScheduler {
	if clock == nil {
		clock = time.Now
	}
	return &PoolScheduler{scheduler: s, clock: clock, heard: make(map[string]time.Time)}
}

// Place asks the scheduler until it places or refuses. The first time that it
// holds, held is told. A context that ends withdraws the request.
func (b *PoolScheduler) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	told := false
	for {
		d := b.scheduler.Submit(b.clock(), r)
		if d.Verdict == port.VerdictPlace {
			b.hear(r.RequestID)
		}
		if d.Verdict != port.VerdictHold {
			return d
		}
		if !told {
			held(&d)
			told = true
		}
		if !b.wait(ctx, r) {
			b.scheduler.Withdraw(b.clock(), r.RequestID)
			d.Verdict = port.VerdictRefuse
			return d
		}
	}
}

// wait reports whether the request should be submitted again.
func (b *PoolScheduler) wait(ctx context.Context, r *port.GenerationRequest) bool {
	timer := time.NewTimer(r.Deadline.Sub(b.clock()) + collectMargin)
	defer timer.Stop()
	select {
	case <-b.scheduler.Ready(r.RequestID):
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// collectMargin lets the scheduler itself refuse what was held too long, which
// it notices at its next tick.
const collectMargin = 200 * time.Millisecond

// Relocate chooses the runner that takes over a run, which the scheduler takes in
// where they don't hold it yet.
func (b *PoolScheduler) Relocate(run *port.RunningRequest, terms port.Relocation) port.Decision {
	b.adopt(run)
	return b.scheduler.Relocate(b.clock(), run.Request.RequestID, terms)
}

// RunEvent is what became of one run. One that says nothing but its tokens
// mentions that it goes on.
type RunEvent struct {
	RequestID string
	// Tokens are those seen so far.
	Tokens int
	// Finish is set at the end.
	Finish port.FinishKind
	// Relocated is set at the end of a relocation; Moved tells which way.
	Relocated bool
	Moved     bool
}

// Update takes what a daemon says of its runs.
func (b *PoolScheduler) Update(adopted []port.RunningRequest, events []RunEvent) {
	for i := range adopted {
		b.adopt(&adopted[i])
	}
	now := b.clock()
	for i := range events {
		e := &events[i]
		b.mention(e.RequestID)
		if e.Relocated {
			b.scheduler.Relocated(now, e.RequestID, e.Moved)
		}
		if e.Tokens > 0 {
			b.scheduler.Progress(now, e.RequestID, e.Tokens)
		}
		if e.Finish != 0 {
			b.scheduler.Finished(now, e.RequestID, e.Tokens, e.Finish)
			b.forget(e.RequestID)
		}
	}
}

func (b *PoolScheduler) adopt(run *port.RunningRequest) {
	b.scheduler.Adopt(b.clock(), run)
	b.hear(run.Request.RequestID)
}

// Expire drops the runs that nobody mentions. Without it the runs of a daemon
// that was killed would take room in the scheduler for good, and callers would be
// held for it.
func (b *PoolScheduler) Expire() {
	now := b.clock()
	for _, id := range b.expired(now) {
		b.scheduler.Finished(now, id, 0, port.FinishElsewhere)
	}
}

func (b *PoolScheduler) expired(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, heard := range b.heard {
		if now.Sub(heard) >= silentAfter {
			out = append(out, id)
			delete(b.heard, id)
		}
	}
	return out
}

// hear notes a run that is counted from now on.
func (b *PoolScheduler) hear(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[requestID] = b.clock()
}

// mention notes that a counted run goes on.
func (b *PoolScheduler) mention(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.heard[requestID]; known {
		b.heard[requestID] = b.clock()
	}
}

func (b *PoolScheduler) forget(requestID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.heard, requestID)
}

// Held counts the runs.
func (b *PoolScheduler) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.heard)
}
