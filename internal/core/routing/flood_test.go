package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// floodedPool is over half used by eight others' requests; one organisation
// has asked for forty long ones, rounds times, and what was placed has ended.
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

// The others' reports wait longer while one organisation floods. It asks for
// far more than its share and has had it; none of its long requests runs just
// now, and each of many routers would grant it one more at once.
func TestSurgeIsHeldThoughNoneOfItRuns(t *testing.T) {
	s := floodedPool(t, 8, 1)
	if o := s.shards["pool"].organisations["flood"]; o.long != 0 {
		t.Fatalf("%d of the flood run, want none", o.long)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictHold, ReasonHeldShare)
	wantVerdict(t, s.Submit(start, organisationRequest("late", "other-late")), port.VerdictPlace, ReasonReleased)
}

// The same surge is nobody's harm where nobody else is active.
func TestSurgeAloneIsPlaced(t *testing.T) {
	s := floodedPool(t, 0, 8)
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictPlace, ReasonPlaced)
}

// Where generations end within seconds an operator lets the pool be full before
// an organisation waits for others: the same surge is placed while there is
// room, and its callers don't wait beside caches that stand half empty.
func TestSurgeIsPlacedBelowTheBusyUse(t *testing.T) {
	s := floodedPool(t, 8, 1)
	s.options.BusyUse = 1
	if use := s.shards["pool"].use; use < DefaultBusyUse || use >= 1 {
		t.Fatalf("the pool is used to %v, want a busy one with room", use)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("again", "flood")), port.VerdictPlace, ReasonPlaced)
}

// A surging organisation isn't starved: what it had fades, and its turn comes.
func TestSurgeIsServedInTime(t *testing.T) {
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
	t.Fatal("held for the whole limit")
}

// A full pool refuses most of a flood, with promises. Its callers come back
// as told and fill the queue; then every other organisation's caller is
// refused at once, though it has nothing held.
func TestReturnedCallersLeaveRoomForOthers(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	settle(s, start, 0, 995, 48)
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
