package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against losing several prompts in each outage of a flapping runner.
// Two of twelve runners alternate between up and down every second while a
// prompt arrives every 50 ms. A runner that is down is empty and gets the
// best score; a breaker that opens after three consecutive failures lost
// three prompts per outage.
func TestFlappingRunnerFailsOnePromptPerOutage(t *testing.T) {
	const (
		runners = 12
		outages = 8
		every   = 50 * time.Millisecond
		fails   = 5 * time.Millisecond
		takes   = 2 * time.Second
	)
	s := newTestScheduler(t, runners, nil)
	down := func(id string, at time.Duration) bool {
		flaps := id == "runner-0" || id == "runner-1"
		return flaps && (at/time.Second)%2 == 1
	}
	type placed struct {
		id string
		at time.Duration
	}
	var running []placed
	lost := 0
	for now := time.Duration(0); now < 2*outages*time.Second; now += every {
		running = append([]placed(nil), running...)
		for len(running) > 0 && now-running[0].at >= takes {
			s.Progress(at(now), running[0].id, 4)
			s.Finished(at(now), running[0].id, 40, port.FinishDone)
			running = running[1:]
		}
		id := fmt.Sprint(now)
		d := s.Submit(at(now), request(id, 500))
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("verdict %v at %v (reason %s), want a placement", d.Verdict, now, d.Reason)
		}
		if down(d.Endpoint.ID, now) {
			lost++
			s.Finished(at(now+fails), id, 0, port.FinishFailed)
			continue
		}
		s.Progress(at(now+fails), id, 4)
		running = append(running, placed{id, now})
	}
	if lost > 2*outages {
		t.Fatalf("%d prompts lost in %d outages of two runners, want at most one per outage and runner", lost, outages)
	}
}

// Guards against excluding the whole pool when the links of some daemons are
// cut and each runner loses one of their streams at the same moment.
func TestSimultaneousFailuresDontStopPool(t *testing.T) {
	const runners = 10
	s := newTestScheduler(t, runners, nil)
	for i := range runners {
		id := fmt.Sprint("run", i)
		wantVerdict(t, s.Submit(start, request(id, 500)), port.VerdictPlace, ReasonPlaced)
	}
	now := at(time.Second)
	for i := range runners {
		s.Finished(now, fmt.Sprint("run", i), 12, port.FinishFailed)
	}
	for i := range 3 * runners {
		wantVerdict(t, s.Submit(now, request(fmt.Sprint("next", i), 500)), port.VerdictPlace, ReasonPlaced)
	}
}

// Guards against closing a breaker because a run placed before the failure
// ends well: it doesn't show that the runner has recovered, and the next
// prompts would be lost.
func TestEarlierRunDoesntCloseBreaker(t *testing.T) {
	var b breaker
	b.failed(at(2 * time.Second))
	b.succeeded(at(time.Second))
	b.answered(at(time.Second))
	if b.allows(at(2500*time.Millisecond), false) {
		t.Fatal("a run placed before the failure closed the breaker")
	}
	b.dispatched()
	b.answered(at(3100 * time.Millisecond))
	if !b.allows(at(3200*time.Millisecond), false) {
		t.Fatal("the breaker stays open after the first token of a probe")
	}
	b.failed(at(4 * time.Second))
	if b.allows(at(5500*time.Millisecond), false) {
		t.Fatal("the pause didn't grow after another failure")
	}
}
