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
