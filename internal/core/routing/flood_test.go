package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// floodedPool returns a pool that is more than half used, with one request
// of each of the other organisations. One organisation has submitted forty
// long requests in each round, and those that were placed have ended.
func floodedPool(t *testing.T, others, rounds int) *Scheduler {
	s := newTestScheduler(t, 4, nil)
	for i := range 4 {
		large := report(i, 2400, 20)
		large.BlocksTotal = 4000
		for range 8 {
			s.Report(start, large)
		}
	}
	for range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "flood", PromptTokens: 3000}, 1000)
	}
	for i := range others {
		s.Submit(start, organisationRequest(fmt.Sprint("o", i), fmt.Sprint("other", i)))
	}
	for round := range rounds {
		for i := range 40 {
			s.Submit(start, organisationRequest(fmt.Sprint(round, "-", i), "flood"))
		}
		for i := range 40 {
			s.Withdraw(start, fmt.Sprint(round, "-", i))
			s.Finished(start, fmt.Sprint(round, "-", i), 1000, port.FinishDone)
		}
	}
	return s
}

// Guards against longer waits of other organisations during a surge. The
// organisation asks for far more than its share and has had its share. None
// of its long requests runs at this moment, so without the surge limit each
// of many routers would place one more at once.
func TestSurgeIsHeldWithoutRunningRequests(t *testing.T) {
	s := floodedPool(t, 8, 1)
	if o := s.shards["pool"].organisations["flood"]; o.longRunning != 0 {
		t.Fatalf("%d long requests of the flooding organisation are running, want 0", o.longRunning)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictHold, ReasonHeldShare)
	wantVerdict(t, s.Submit(start, organisationRequest("late", "other-late")), port.VerdictPlace, ReasonReleased)
}

// A surge is placed if no other organisation is active.
func TestSurgeOfOnlyActiveOrganisationIsPlaced(t *testing.T) {
	s := floodedPool(t, 0, 8)
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictPlace, ReasonPlaced)
}

// Where generations end within seconds, an operator can set BusyThreshold to 1: an
// organisation waits for others only when the pool is full. Its requests
// must then not wait while half of the cache is free.
func TestSurgeIsPlacedBelowBusyUse(t *testing.T) {
	s := floodedPool(t, 8, 1)
	s.options.BusyThreshold = 1
	if use := s.shards["pool"].utilisation; use < DefaultBusyThreshold || use >= 1 {
		t.Fatalf("pool utilisation %v, want at least DefaultBusyUse and below 1", use)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictPlace, ReasonPlaced)
}

// Guards against starvation of a surging organisation: its past use decays,
// and its request is released within the hold limit.
func TestSurgeIsReleasedWithinHoldLimit(t *testing.T) {
	s := floodedPool(t, 8, 1)
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictHold, ReasonHeldShare)
	for now := start; now.Before(at(DefaultWeights().HoldLimit)); now = now.Add(time.Second) {
		s.Tick(now)
		select {
		case <-s.Ready("again"):
			d := s.Submit(now, organisationRequest("again", "flood"))
			wantVerdict(t, d, port.VerdictPlace, ReasonReleased)
			return
		default:
		}
	}
	t.Fatal("request wasn't released within the hold limit")
}

// A full pool refuses most of a flood and gives retry times. The callers
// return at those times. Guards against letting them fill the queue: every
// other organisation's requests would be refused at once although it has
// none held.
func TestRetryingCallersLeaveQueueRoomForOthers(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	reportUntilSmoothed(s, start, 0, 995, 48)
	w := DefaultWeights()
	for i := range w.QueueLimit {
		s.Submit(start, organisationRequest(fmt.Sprint("other", i), fmt.Sprint("other", i%8)))
	}
	for i := range 8 * w.QueueLimit {
		s.Withdraw(start, fmt.Sprint("other", i))
		s.Submit(start, organisationRequest(fmt.Sprint("flood", i), "flood"))
	}
	for i := range 8 * w.QueueLimit {
		now := at(31*time.Second + time.Duration(i)*5*time.Millisecond)
		s.Submit(now, organisationRequest(fmt.Sprint("back", i), "flood"))
	}
	d := s.Submit(at(34*time.Second), organisationRequest("late", "other-late"))
	wantVerdict(t, d, port.VerdictHold, ReasonHeldOverflow)
}
