package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// inDomains returns n runners, assigned to the given failure domains in
// turn.
func inDomains(n int, domains ...string) []port.Endpoint {
	out := endpoints(n)
	for i := range out {
		out[i].FailureDomain = domains[i%len(domains)]
		out[i].CacheTokens, out[i].Slots = 10_000, 24
	}
	return out
}

// A run's runner is reclaimed. Copying its tokens within the failure domain
// takes half the time, so a runner there must take it over if one has
// capacity.
func TestRelocationPrefersOwnFailureDomain(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, inDomains(4, "a", "b"))
	r := request("report", 3000)
	from := s.Submit(start, r).Endpoint
	s.Progress(at(time.Second), "report", 400)
	terms := port.RelocationConstraints{FailureDomain: from.FailureDomain}
	d := s.Relocate(at(time.Second), "report", terms)
	wantVerdict(t, d, port.VerdictPlace, ReasonRelocated)
	if d.Endpoint.ID == from.ID || d.Endpoint.FailureDomain != from.FailureDomain {
		t.Fatalf("moved from %s in domain %s to %s in domain %s, want another runner of the same domain", from.ID, from.FailureDomain, d.Endpoint.ID, d.Endpoint.FailureDomain)
	}
	terms.Excluded = []string{d.Endpoint.ID}
	if d = s.Relocate(at(time.Second), "report", terms); d.Endpoint.FailureDomain == from.FailureDomain {
		t.Fatalf("second move goes to %s in the same failure domain, want another domain", d.Endpoint.ID)
	}
	terms.Excluded = []string{"runner-0", "runner-1", "runner-2", "runner-3"}
	wantVerdict(t, s.Relocate(at(time.Second), "report", terms), port.VerdictRefuse, ReasonRefusedNoCapacity)
}

// Runs start, grow, move, fail to move and end in any order. Each runner's
// counts must match the runs that are there or being copied there, and be
// zero when none is left.
func TestRelocationKeepsRunCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler(nopTB{}, 0, nil)
		s.SetEndpoints(start, inDomains(3, "a"))
		type moving struct{ at, to string }
		open := map[string]moving{}
		now, next := start, 0
		pick := func() string {
			ids := make([]string, 0, len(open))
			for i := range next {
				if _, ok := open[runID(i)]; ok {
					ids = append(ids, runID(i))
				}
			}
			return rapid.SampledFrom(ids).Draw(t, "run")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			action := rapid.IntRange(0, 4).Draw(t, "action")
			if len(open) == 0 {
				action = 0
			}
			switch action {
			case 0:
				if d := s.Submit(now, request(runID(next), 200)); d.Verdict == port.VerdictPlace {
					open[runID(next)] = moving{at: d.Endpoint.ID}
				} else {
					s.Withdraw(now, runID(next))
				}
				next++
			case 1:
				id := pick()
				s.Progress(now, id, rapid.IntRange(1, 400).Draw(t, "tokens"))
			case 2:
				id := pick()
				m := open[id]
				d := s.Relocate(now, id, port.RelocationConstraints{})
				m.to = ""
				if d.Verdict == port.VerdictPlace {
					m.to = d.Endpoint.ID
				}
				open[id] = m
			case 3:
				id := pick()
				m := open[id]
				moved := rapid.Bool().Draw(t, "moved")
				s.Relocated(now, id, moved)
				if moved && m.to != "" {
					m.at = m.to
				}
				m.to = ""
				open[id] = m
			case 4:
				id := pick()
				s.Finished(now, id, 0, port.FinishDone)
				delete(open, id)
			}
			counts := map[string]int{}
			for _, m := range open {
				counts[m.at]++
				if m.to != "" {
					counts[m.to]++
				}
			}
			for id, r := range knownRunners(s) {
				if r.ownCount != counts[id] {
					t.Fatalf("%s counts %d runs, want %d", id, r.ownCount, counts[id])
				}
				if r.ownCount == 0 && (math.Abs(r.ownContext) > 1e-6 || math.Abs(r.own.mean[0]) > 1e-6) {
					t.Fatalf("%s has no runs but counts %v context tokens", id, r.ownContext)
				}
			}
		}
	})
}

func runID(i int) string { return "run-" + string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// nopTB lets a rapid check use helpers that take a testing.TB.
type nopTB struct{ testing.TB }

func (nopTB) Helper() {}

// A run must move, and the only possible runner has just enough capacity.
// The runs there grow during the copy, so a move into the last capacity
// would stall one of them. With the growth reserve free it must move.
func TestRelocationKeepsGrowthReserve(t *testing.T) {
	const prompt, grown = 3000, 400
	for _, c := range []struct {
		name  string
		spare int
		want  port.Verdict
	}{
		{"without the growth reserve", 0, port.VerdictRefuse},
		{"with the growth reserve of one run", growthReserve, port.VerdictPlace},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t, 0, nil)
			es := inDomains(2, "a")
			es[1].CacheTokens = prompt + grown + prompt + c.spare
			s.SetEndpoints(start, es)
			run := request("run", prompt)
			other := request("there", prompt)
			other.Excluded, run.Excluded = []string{"runner-0"}, []string{"runner-1"}
			wantVerdict(t, s.Submit(start, other), port.VerdictPlace, ReasonPlaced)
			wantVerdict(t, s.Submit(start, run), port.VerdictPlace, ReasonPlaced)
			s.Progress(at(time.Second), "run", grown)
			if d := s.Relocate(at(time.Second), "run", port.RelocationConstraints{FailureDomain: "a"}); d.Verdict != c.want {
				t.Fatalf("verdict %v for %q, want %v", d.Verdict, d.Reason, c.want)
			}
		})
	}
}
