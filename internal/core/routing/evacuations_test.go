package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// evacuated are n runners, of which the first so many are evacuated.
func evacuated(n, first int) []port.Endpoint {
	es := inDomains(n, "a")
	for i := range first {
		es[i].Evacuated = true
	}
	return es
}

// Guards against prompts and moves that go to evacuated runners.
func TestEvacuatedRunnersGetNothing(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, evacuated(4, 0))
	for i := range 8 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint("before", i), 100)), port.VerdictPlace, ReasonPlaced)
	}
	s.ChangeEndpoints(start, evacuated(4, 3))
	for i := range 8 {
		d := s.Submit(start, request(fmt.Sprint("after", i), 100))
		if d.Verdict != port.VerdictPlace || d.Endpoint.ID != "runner-3" {
			t.Fatalf("%v at %q", d.Verdict, d.Endpoint.ID)
		}
	}
	for i := range 8 {
		d := s.Relocate(start, fmt.Sprint("before", i), port.Relocation{})
		if d.Verdict == port.VerdictPlace && d.Endpoint.ID != "runner-3" {
			t.Fatalf("moved to %q", d.Endpoint.ID)
		}
	}
	s.ChangeEndpoints(start, evacuated(4, 0))
	d := s.Submit(start, request("again", 100))
	if d.Verdict != port.VerdictPlace || d.Endpoint.ID == "runner-3" {
		t.Fatalf("%v at %q once the evacuation is taken back", d.Verdict, d.Endpoint.ID)
	}
}

// Guards against callers that are held, or told of an unknown model, while all runners are evacuated.
func TestCallersOfAnEvacuatedPoolAreRefusedAtOnce(t *testing.T) {
	s := newTestScheduler(t, 0, func(o *Options) { o.UnreadLimit = 100 })
	s.SetEndpoints(start, evacuated(1, 0))
	wantVerdict(t, s.Submit(start, request("runs", 500)), port.VerdictPlace, ReasonPlaced)
	wantVerdict(t, s.Submit(start, request("held", 500)), port.VerdictHold, ReasonHeldReading)
	s.ChangeEndpoints(start, evacuated(1, 1))
	select {
	case <-s.Ready("held"):
	default:
		t.Fatal("a held request waits on")
	}
	wantVerdict(t, s.Submit(start, request("held", 500)), port.VerdictRefuse, ReasonRefusedEvacuated)
	d := s.Submit(start, request("new", 500))
	wantVerdict(t, d, port.VerdictRefuse, ReasonRefusedEvacuated)
	if d.RetryAfter <= 0 {
		t.Error("no time to come back")
	}
	other := request("other", 500)
	other.Model = "nobody's"
	wantVerdict(t, s.Submit(start, other), port.VerdictRefuse, ReasonRefusedModel)
	s.Progress(start, "runs", 4)
	s.ChangeEndpoints(start, evacuated(1, 0))
	wantVerdict(t, s.Submit(start, request("back", 50)), port.VerdictPlace, ReasonPlaced)
}

// Guards against any way by which an evacuated runner gets work, in any order of events.
func TestNoEventPlacesAtEvacuatedRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const runners = 4
		s := newTestScheduler(nopTB{}, 0, func(o *Options) { o.UnreadLimit = 1000 })
		state := evacuated(runners, 0)
		s.SetEndpoints(start, state)
		now := start
		var ids, held []string
		check := func(d port.Decision, again bool) {
			if d.Verdict != port.VerdictPlace || again {
				return
			}
			for _, e := range state {
				if e.ID == d.Endpoint.ID && e.Evacuated {
					t.Fatalf("placed at %s: %s", e.ID, d.Reason)
				}
			}
		}
		for i := range rapid.IntRange(10, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				s.Tick(now)
			case 1:
				at := rapid.IntRange(0, runners-1).Draw(t, "runner")
				state[at].Evacuated = !state[at].Evacuated
				s.ChangeEndpoints(now, state[at:at+1])
			case 2:
				if len(ids) > 0 {
					s.Finished(now, ids[0], 3, port.FinishDone)
					ids = ids[1:]
				}
			case 3:
				if len(ids) > 0 {
					check(s.Relocate(now, ids[0], port.Relocation{}), false)
					s.Relocated(now, ids[0], rapid.Bool().Draw(t, "moved"))
				}
			default:
				id := fmt.Sprint("r", i)
				d := s.Submit(now, request(id, rapid.IntRange(10, 900).Draw(t, "prompt")))
				check(d, false)
				if d.Verdict == port.VerdictPlace {
					ids = append(ids, id)
				} else if d.Verdict == port.VerdictHold {
					held = append(held, id)
				}
			}
			held = collect(s, now, held, check)
		}
	})
}

// collect asks again for those that are ready. What was released before its
// runner was evacuated is the caller's to give back.
func collect(s *Scheduler, now time.Time, held []string, check func(port.Decision, bool)) (waiting []string) {
	for _, id := range held {
		select {
		case <-s.Ready(id):
			check(s.Submit(now, request(id, 100)), true)
		default:
			waiting = append(waiting, id)
		}
	}
	return waiting
}
