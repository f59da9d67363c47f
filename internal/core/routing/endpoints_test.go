package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// knownRunners returns the runners by endpoint id.
func knownRunners(s *Scheduler) map[string]*runner {
	out := make(map[string]*runner)
	s.runners.Range(func(id, r any) bool {
		out[id.(string)] = r.(*runner)
		return true
	})
	return out
}

// candidateRunners returns the runners that decisions can choose from, by
// model and pool.
func candidateRunners(s *Scheduler) map[string][]string {
	out := make(map[string][]string)
	for model, pools := range *s.byModel.Load() {
		for _, sh := range pools {
			key := model + " in " + sh.pool
			for _, r := range sh.byModel[model] {
				out[key] = append(out[key], fmt.Sprint(r.endpoint.ID, r.endpoint.Incarnation, r.preferred))
			}
		}
	}
	return out
}

// One scheduler gets each change separately, another the full list at the
// end. Both must have the same candidates: a runner missing from one gets no
// work, and one that should have been removed gets work after its end.
func TestIncrementalChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rank := ranked{rapid.IntRange(0, 2).Draw(t, "rank"), 3}
		incremental := NewScheduler(Options{RouterID: "a", Routers: &rank})
		list := make(map[string]port.Endpoint)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			e := endpoint(rapid.IntRange(0, 5).Draw(t, "runner"))
			if known, held := list[e.ID]; held {
				e = known
			}
			if rapid.Bool().Draw(t, "restarts") {
				e.Incarnation++
				e.State = port.EndpointLive
				e.Pool = rapid.SampledFrom([]string{"pool", "other"}).Draw(t, "pool")
				e.Models = rapid.SampledFrom([][]string{{"m"}, {"m", "n"}, nil}).Draw(t, "models")
			} else {
				e.Revision++
				e.State = rapid.SampledFrom([]port.EndpointState{
					port.EndpointLive, port.EndpointLeaving, port.EndpointGone,
				}).Draw(t, "state")
			}
			list[e.ID] = e
			incremental.ChangeEndpoints(start, []port.Endpoint{e})
		}
		full := NewScheduler(Options{RouterID: "b", Routers: &rank})
		full.SetEndpoints(start, slices.Collect(maps.Values(list)))
		if got, want := candidateRunners(incremental), candidateRunners(full); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("candidates after single changes: %v\nafter the full list: %v", got, want)
		}
	})
}

// Guards against memory growth. Hosts are reclaimed every few seconds and
// each returns under another id; a scheduler that kept them all would run
// out of memory after some days.
func TestGoneRunnersAreForgotten(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r"})
	for i := range 1000 {
		e := endpoint(i)
		s.ChangeEndpoints(start, []port.Endpoint{e})
		running := request(fmt.Sprint("run-", i), 10)
		wantVerdict(t, s.Submit(start, running), port.VerdictPlace, ReasonPlaced)
		e.State, e.Revision = port.EndpointGone, e.Revision+1
		s.ChangeEndpoints(start, []port.Endpoint{e})
		// The run's end must still be counted, on whichever runner it ends.
		s.Finished(start, running.RequestID, 10, port.FinishDone)
	}
	s.ChangeEndpoints(start, nil)
	if n := len(knownRunners(s)); n != 0 {
		t.Fatalf("%d runners known, want 0: all are gone", n)
	}
	if n := s.RunCount(); n != 0 {
		t.Fatalf("%d runs counted, want 0: all have ended", n)
	}
}

// A runner's entry lapses for a moment while the runner is full. When it is
// listed again its runs must still count, or it gets requests that it
// refuses.
func TestRelistedRunnerKeepsItsRunCount(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r"})
	e := endpoint(0)
	s.ChangeEndpoints(start, []port.Endpoint{e})
	wantVerdict(t, s.Submit(start, request("run", 10)), port.VerdictPlace, ReasonPlaced)
	e.State, e.Revision = port.EndpointGone, e.Revision+1
	s.ChangeEndpoints(start, []port.Endpoint{e})
	e.State, e.Revision = port.EndpointLive, e.Revision+1
	s.ChangeEndpoints(start, []port.Endpoint{e})
	if n := s.runner(e.ID).ownCount; n != 1 {
		t.Fatalf("%d runs counted after the runner was listed again, want 1", n)
	}
}
