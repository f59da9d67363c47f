package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// domains are the failure domains of runners 0, 1, ... in turn.
func inDomains(n int, domains ...string) []port.Endpoint {
	out := endpoints(n)
	for i := range out {
		out[i].FailureDomain = domains[i%len(domains)]
		out[i].CacheTokens, out[i].Slots = 10_000, 24
	}
	return out
}

// A report's runner is reclaimed. Its tokens reach a runner of the same
// failure domain in half the time, so one there takes it over, unless it has
// no room.
func TestRelocatesWithinTheDomainWhereThereIsRoom(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, inDomains(4, "a", "b"))
	r := request("report", 3000)
	from := s.Submit(start, r).Endpoint
	s.Progress(at(time.Second), "report", 400)
	terms := port.Relocation{FailureDomain: from.FailureDomain}
	d := s.Relocate(at(time.Second), "report", terms)
	wantVerdict(t, d, port.VerdictPlace, ReasonRelocated)
	if d.Endpoint.ID == from.ID || d.Endpoint.FailureDomain != from.FailureDomain {
		t.Fatalf("from %s/%s to %s/%s", from.ID, from.FailureDomain, d.Endpoint.ID, d.Endpoint.FailureDomain)
	}
	terms.Excluded = []string{d.Endpoint.ID}
	if d = s.Relocate(at(time.Second), "report", terms); d.Endpoint.FailureDomain == from.FailureDomain {
		t.Fatalf("to %s, which failed to take it", d.Endpoint.ID)
	}
	terms.Excluded = []string{"runner-0", "runner-1", "runner-2", "runner-3"}
	wantVerdict(t, s.Relocate(at(time.Second), "report", terms), port.VerdictRefuse, ReasonRefusedRoom)
}

// Runs come, grow, move, fail to move and end in any order: the runners'
// counts hold just what runs or is copied there, and nothing once all is over.
func TestCountsOfRelocations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler(nopTB{}, 0, nil)
		s.SetEndpoints(start, inDomains(3, "a"))
		type moving struct{ at, to string }
		open := map[string]moving{}
		now, next := start, 0
		pick := func() string {
			ids := make([]string, 0, len(open))
			for i := range next {
				if _, ok := open[name(i)]; ok {
					ids = append(ids, name(i))
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
				if d := s.Submit(now, request(name(next), 200)); d.Verdict == port.VerdictPlace {
					open[name(next)] = moving{at: d.Endpoint.ID}
				} else {
					s.Withdraw(now, name(next))
				}
				next++
			case 1:
				id := pick()
				s.Progress(now, id, rapid.IntRange(1, 400).Draw(t, "tokens"))
			case 2:
				id := pick()
				m := open[id]
				d := s.Relocate(now, id, port.Relocation{})
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
					t.Fatalf("%s holds %v tokens of nobody", id, r.ownContext)
				}
			}
		}
	})
}

func name(i int) string { return "run-" + string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// nopTB lets a rapid check use the helpers of plain tests.
type nopTB struct{ testing.TB }

func (nopTB) Helper() {}

// A run must move and its only possible runner has just its room left. The runs
// there grow while it is copied: moved into the last room it stalls one of them.
// With room for some growth it moves.
func TestMovesLeaveRoomForThoseThereToGrow(t *testing.T) {
	const prompt, grown = 3000, 400
	for _, c := range []struct {
		name  string
		spare int
		want  port.Verdict
	}{
		{"the last room", 0, port.VerdictRefuse},
		{"room for the growth of one run", growthRoom, port.VerdictPlace},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t, 0, nil)
			es := inDomains(2, "a")
			es[1].CacheTokens = prompt + grown + prompt + c.spare
			s.SetEndpoints(start, es)
			run := request("run", prompt)
			there := request("there", prompt)
			there.Excluded, run.Excluded = []string{"runner-0"}, []string{"runner-1"}
			wantVerdict(t, s.Submit(start, there), port.VerdictPlace, ReasonPlaced)
			wantVerdict(t, s.Submit(start, run), port.VerdictPlace, ReasonPlaced)
			s.Progress(at(time.Second), "run", grown)
			if d := s.Relocate(at(time.Second), "run", port.Relocation{FailureDomain: "a"}); d.Verdict != c.want {
				t.Fatalf("%v for %q, want %v", d.Verdict, d.Reason, c.want)
			}
		})
	}
}
