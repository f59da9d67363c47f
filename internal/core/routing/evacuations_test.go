package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// withEvacuated returns n runners, of which the first ones are evacuated.
func withEvacuated(n, first int) []port.Endpoint {
	es := inDomains(n, "a")
	for i := range first {
		es[i].Evacuated = true
	}
	return es
}

// Guards against placing or relocating runs to evacuated runners.
func TestEvacuatedRunnersGetNoWork(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, withEvacuated(4, 0))
	for i := range 8 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint("before", i), 100)), port.VerdictPlace, ReasonPlaced)
	}
	s.ChangeEndpoints(start, withEvacuated(4, 3))
	for i := range 8 {
		d := s.Submit(start, request(fmt.Sprint("after", i), 100))
		if d.Verdict != port.VerdictPlace || d.Endpoint.ID != "runner-3" {
			t.Fatalf("verdict %v at %q, want a placement on runner-3", d.Verdict, d.Endpoint.ID)
		}
	}
	for i := range 8 {
		d := s.Relocate(start, fmt.Sprint("before", i), port.RelocationConstraints{})
		if d.Verdict == port.VerdictPlace && d.Endpoint.ID != "runner-3" {
			t.Fatalf("run moved to the evacuated runner %q", d.Endpoint.ID)
		}
	}
	s.ChangeEndpoints(start, withEvacuated(4, 0))
	d := s.Submit(start, request("again", 100))
	if d.Verdict != port.VerdictPlace || d.Endpoint.ID == "runner-3" {
		t.Fatalf("verdict %v at %q after the evacuation ended, want a placement on another runner than runner-3", d.Verdict, d.Endpoint.ID)
	}
}

// Guards against holding callers, or refusing them for an unknown model,
// while all runners are evacuated.
func TestEvacuatedPoolRefusesAtOnce(t *testing.T) {
	s := newTestScheduler(t, 0, func(o *Options) { o.PrefillBacklogLimit = 100 })
	s.SetEndpoints(start, withEvacuated(1, 0))
	wantVerdict(t, s.Submit(start, request("runs", 500)), port.VerdictPlace, ReasonPlaced)
	wantVerdict(t, s.Submit(start, request("held", 500)), port.VerdictHold, ReasonHeldPrefill)
	s.ChangeEndpoints(start, withEvacuated(1, 1))
	select {
	case <-s.Ready("held"):
	default:
		t.Fatal("request is still held although all runners are evacuated")
	}
	wantVerdict(t, s.Submit(start, request("held", 500)), port.VerdictRefuse, ReasonRefusedEvacuated)
	d := s.Submit(start, request("new", 500))
	wantVerdict(t, d, port.VerdictRefuse, ReasonRefusedEvacuated)
	if d.RetryAfter <= 0 {
		t.Error("refusal has no retry time")
	}
	other := request("other", 500)
	other.Model = "nobody's"
	wantVerdict(t, s.Submit(start, other), port.VerdictRefuse, ReasonRefusedModel)
	s.Progress(start, "runs", 4)
	s.ChangeEndpoints(start, withEvacuated(1, 0))
	wantVerdict(t, s.Submit(start, request("back", 50)), port.VerdictPlace, ReasonPlaced)
}

// Guards against placing work on an evacuated runner after any order of
// events.
func TestEvacuatedRunnersGetNoWorkInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const runners = 4
		s := newTestScheduler(nopTB{}, 0, func(o *Options) { o.PrefillBacklogLimit = 1000 })
		state := withEvacuated(runners, 0)
		s.SetEndpoints(start, state)
		now := start
		var ids, held []string
		check := func(d port.Decision, alreadyPlaced bool) {
			if d.Verdict != port.VerdictPlace || alreadyPlaced {
				return
			}
			for _, e := range state {
				if e.ID == d.Endpoint.ID && e.Evacuated {
					t.Fatalf("placed on the evacuated runner %s, reason %s", e.ID, d.Reason)
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
					check(s.Relocate(now, ids[0], port.RelocationConstraints{}), false)
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

// collect submits again each held request that is ready. A request that was
// released before its runner was evacuated keeps that placement; its caller
// has to give it back.
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
