package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fullPool returns a scheduler whose pool is full of long requests, with a queue of a few
// places, and the time.
func fullPool(t *testing.T) (*Scheduler, time.Time) {
	t.Helper()
	return fullPoolWith(t, true)
}

func fullPoolWith(t *testing.T, scarceRoom bool) (*Scheduler, time.Time) {
	t.Helper()
	w := DefaultWeights()
	w.QueueLimit = 8
	s := NewScheduler(Options{RouterID: "r", BusyThreshold: 1, PrefillBacklogLimit: 6144, ScarceRoom: scarceRoom, Weights: w})
	fillWithLong(t, s, start)
	return s, s.shards["p"].now
}

// longOf returns a long request of an organisation.
func longOf(organisation string, n int, now time.Time) *port.GenerationRequest {
	r := kindRequest("long", n, now)
	r.RequestID, r.Organisation = fmt.Sprint(organisation, "-", n), organisation
	r.Deadline = now.Add(time.Minute)
	return r
}

func isReleased(s *Scheduler, id string) bool {
	select {
	case <-s.Ready(id):
		return true
	default:
		return false
	}
}

// finishSome ends long requests of fillWithLong and lets time pass until one of the given
// requests is released; it returns that request.
func finishSome(s *Scheduler, now time.Time, within time.Duration, ids ...string) string {
	for end, i := now.Add(within), 0; now.Before(end); i++ {
		now = now.Add(100 * time.Millisecond)
		s.Finished(now, fmt.Sprint("long-", i), 700, port.FinishDone)
		s.Tick(now)
		for _, id := range ids {
			if isReleased(s, id) {
				return id
			}
		}
	}
	return ""
}

// Guards against callers who get an earlier place by repeating a refused request before its
// retry time than those who wait until theirs.
func TestRepeatedRequestsGetNoEarlierPlace(t *testing.T) {
	s, now := fullPool(t)
	var refused *port.GenerationRequest
	var d port.Decision
	for i := 100; refused == nil; i++ {
		r := longOf("o", i, now)
		if d = s.Submit(now, r); d.Verdict == port.VerdictRefuse {
			refused = r
		}
	}
	due := now.Add(d.RetryAfter)
	for at := now.Add(300 * time.Millisecond); at.Before(due); at = at.Add(300 * time.Millisecond) {
		d := s.Submit(at, refused)
		if d.Verdict != port.VerdictRefuse || at.Add(d.RetryAfter).Before(due) || at.Add(d.RetryAfter).After(due.Add(time.Second)) {
			t.Fatalf("repeated after %v: %v, retry after %v; want %v as booked", at.Sub(now), d.Verdict, d.RetryAfter, due.Sub(at))
		}
	}
	s.Withdraw(due, "o-100")
	s.Withdraw(due, "o-101")
	early := longOf("o", 200, now)
	wantVerdict(t, s.Submit(due.Add(-time.Millisecond), early), port.VerdictHold, ReasonHeldOverflow)
	wantVerdict(t, s.Submit(due, refused), port.VerdictHold, ReasonHeldOverflow)
	if first := finishSome(s, due, 3*time.Second, early.RequestID, refused.RequestID); first != refused.RequestID {
		t.Errorf("released first: %q, want %q, which came at its time", first, refused.RequestID)
	}
}

// Guards against callers who repeat a request early and take the place that is booked for
// another caller at that time.
func TestRepeatedRequestsTakeNoBookingOfOthers(t *testing.T) {
	s, now := fullPool(t)
	var refused []*port.GenerationRequest
	var due []time.Time
	for i := 100; len(refused) < 2; i++ {
		r, at := longOf("o", i, now), now.Add(time.Duration(len(refused))*2*time.Second)
		if d := s.Submit(at, r); d.Verdict == port.VerdictRefuse {
			refused, due = append(refused, r), append(due, at.Add(d.RetryAfter))
		}
	}
	if !due[0].Before(due[1]) {
		t.Fatalf("retry times %v, want the second one later", due)
	}
	s.Withdraw(due[0], "o-100")
	s.Withdraw(due[0], "o-101")
	earlier, repeated := "o-102", refused[1].RequestID
	if d := s.Submit(due[0], refused[1]); d.Verdict != port.VerdictHold || isReleased(s, earlier) {
		t.Fatalf("repeated %v before its time: %v; want it and %s held", due[1].Sub(due[0]), d.Verdict, earlier)
	}
	if first := finishSome(s, due[0], 3*time.Second, earlier, repeated); first != earlier {
		t.Errorf("released first: %q, want %q, which was held before the repetition", first, earlier)
	}
}

// Guards against a flood by callers who never wait: their repetitions must not push back
// the retry times of others in their organisation.
func TestRepetitionsDontPushBackOtherCallers(t *testing.T) {
	retryAfter := func(repetitions int) time.Duration {
		s, now := fullPool(t)
		for i := range 20 {
			s.Submit(now, longOf("o", 100+i, now))
		}
		for n := range repetitions {
			s.Submit(now.Add(time.Duration(n)*time.Millisecond), longOf("o", 119, now))
		}
		return s.Submit(now.Add(time.Second), longOf("o", 300, now)).RetryAfter
	}
	if without, with := retryAfter(0), retryAfter(500); with != without {
		t.Errorf("retry after %v with 500 repetitions, want %v as without", with, without)
	}
}

// Guards against retry times that are booked by request where scarce room isn't set.
func TestRepetitionsAreBookedAsBeforeWithoutScarceRoom(t *testing.T) {
	s, now := fullPoolWith(t, false)
	var refused *port.GenerationRequest
	var first port.Decision
	for i := 100; refused == nil; i++ {
		r := longOf("o", i, now)
		if first = s.Submit(now, r); first.Verdict == port.VerdictRefuse {
			refused = r
		}
	}
	at := now.Add(2 * time.Second)
	d := s.Submit(at, refused)
	if again := at.Add(d.RetryAfter); d.Verdict != port.VerdictRefuse || !again.After(now.Add(first.RetryAfter)) || s.RepeatedEarly() != 0 {
		t.Errorf("%v, due at %v, %d counted as repeated; want a booking after %v", d.Verdict, again, s.RepeatedEarly(), now.Add(first.RetryAfter))
	}
}

// Guards against an organisation that floods the pool, or floods it with one prefix, and keeps
// what it used beyond its share while another one waits: freed cache goes to the other within
// 2 s.
func TestLentShareIsTakenBack(t *testing.T) {
	for name, prefix := range map[string][]uint64{"flood": nil, "flood of one prefix": {1, 2, 3}} {
		s, now := fullPool(t)
		for i := range 20 {
			r := longOf("o", 100+i, now)
			r.PrefixHashes = prefix
			s.Submit(now, r)
		}
		other := longOf("other", 0, now)
		if d := s.Submit(now, other); d.Verdict != port.VerdictHold {
			t.Fatalf("%s: %v, want the pool full", name, d.Verdict)
		}
		runs := s.RunCount()
		s.Tick(now.Add(time.Second))
		if s.RunCount() < runs {
			t.Errorf("%s: runs were ended", name)
		}
		if first := finishSome(s, now, 2*time.Second, other.RequestID, "o-100", "o-101", "o-102"); first != other.RequestID {
			t.Errorf("%s: released first within 2 s: %q, want the other organisation's request", name, first)
		}
	}
}
