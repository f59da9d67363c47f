package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// knownRunners lists the runners by endpoint id.
func knownRunners(s *Scheduler) map[string]*runner {
	out := make(map[string]*runner)
	s.runners.Range(func(id, r any) bool {
		out[id.(string)] = r.(*runner)
		return true
	})
	return out
}

// choices is what decisions see of the runners.
func choices(s *Scheduler) map[string][]string {
	out := make(map[string][]string)
	for model, pools := range *s.byModel.Load() {
		for _, sh := range pools {
			key := model + " in " + sh.pool
			for _, r := range sh.byModel[model] {
				out[key] = append(out[key], fmt.Sprint(r.endpoint.ID, r.endpoint.Incarnation, r.home))
			}
		}
	}
	return out
}

// One daemon hears of each change by itself, another reads the whole list
// when all is over. A caller must get the same choice at both: a runner that
// one of them missed takes no work, one that it kept gets work after its end.
func TestChangesOneByOneEqualTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		place := ranked{rapid.IntRange(0, 2).Draw(t, "rank"), 3}
		changing := NewScheduler(Options{RouterID: "a", Routers: &place})
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
			changing.ChangeEndpoints(start, []port.Endpoint{e})
		}
		whole := NewScheduler(Options{RouterID: "b", Routers: &place})
		whole.SetEndpoints(start, slices.Collect(maps.Values(list)))
		if got, want := choices(changing), choices(whole); !maps.EqualFunc(got, want, slices.Equal) {
			t.Fatalf("by changes %v\nby the list %v", got, want)
		}
	})
}

// Hosts are reclaimed every few seconds, and each comes back under another id.
// A scheduler that remembers them all is killed for its memory after some days.
func TestGoneRunnersAreForgotten(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r"})
	for i := range 1000 {
		e := endpoint(i)
		s.ChangeEndpoints(start, []port.Endpoint{e})
		running := request(fmt.Sprint("run-", i), 10)
		wantVerdict(t, s.Submit(start, running), port.VerdictPlace, ReasonPlaced)
		e.State, e.Revision = port.EndpointGone, e.Revision+1
		s.ChangeEndpoints(start, []port.Endpoint{e})
		// Its run is still counted out, wherever it ends.
		s.Finished(start, running.RequestID, 10, port.FinishDone)
	}
	s.ChangeEndpoints(start, nil)
	if n := len(knownRunners(s)); n != 0 {
		t.Fatalf("%d runners are remembered, all are gone", n)
	}
	if n := s.Placed(); n != 0 {
		t.Fatalf("%d runs are counted, all have ended", n)
	}
}

// A runner's entry lapses for a moment while it is full. Entered again it must
// still count as full, or requests are sent there only to be refused.
func TestLapsedRunnerKeepsItsCount(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r"})
	e := endpoint(0)
	s.ChangeEndpoints(start, []port.Endpoint{e})
	wantVerdict(t, s.Submit(start, request("run", 10)), port.VerdictPlace, ReasonPlaced)
	e.State, e.Revision = port.EndpointGone, e.Revision+1
	s.ChangeEndpoints(start, []port.Endpoint{e})
	e.State, e.Revision = port.EndpointLive, e.Revision+1
	s.ChangeEndpoints(start, []port.Endpoint{e})
	if n := s.runner(e.ID).ownCount; n != 1 {
		t.Fatalf("%d runs counted, want the one under way", n)
	}
}
