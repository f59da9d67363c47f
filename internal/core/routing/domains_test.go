package routing

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// domainRunners is the number of runners in each failure domain of domainScheduler.
const domainRunners = 3

var testDomains = []string{"north", "east", "south"}

// domainScheduler returns a scheduler of runners in three failure domains. Each domain has
// two runners of usual speed and a slower one.
func domainScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := unevenScheduler(t, 1, 1, 1.3, 1, 1, 1.3, 1, 1, 1.3)
	es := unevenRunners(len(testDomains) * domainRunners)
	for i := range es {
		es[i].FailureDomain = testDomains[i/domainRunners]
	}
	s.SetEndpoints(start, es)
	return s
}

// fillRunner places long generations on a runner until it takes no more, and returns their
// ids.
func fillRunner(t *testing.T, s *Scheduler, runner int) (runs []string) {
	t.Helper()
	for {
		r := onlyAt(s, runner, longRequest(fmt.Sprint("fill-", runner, "-", len(runs))))
		switch d := s.Submit(start, r); d.Verdict {
		case port.VerdictPlace:
			s.Progress(start, r.RequestID, testEventTokens)
			runs = append(runs, r.RequestID)
		case port.VerdictHold:
			s.Withdraw(start, r.RequestID)
			return runs
		default:
			t.Fatalf("refused: %q", d.Reason)
		}
	}
}

// placeByDomain submits long generations, 60% of them from callers in the first domain,
// which only their ids show, as the domain of a caller is not part of a decision. It
// returns how many each domain's runners get, and fails the test if one isn't placed at
// once.
func placeByDomain(t *testing.T, s *Scheduler, name string, requests int) map[string]int {
	t.Helper()
	placed := map[string]int{}
	for i := range requests {
		callers := testDomains[max(0, i%5-2)]
		r := longRequest(fmt.Sprint(name, "-", callers, "-", i))
		d := s.Submit(start, r)
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("the request %s is not placed: %q, candidates %+v", r.RequestID, d.Reason, d.Candidates)
		}
		placed[d.Endpoint.FailureDomain]++
		s.Progress(start, r.RequestID, testEventTokens)
	}
	t.Logf("%s: %v", name, placed)
	return placed
}

// Guards against requests that wait for the full failure domain that most of them come
// from, while others have room, and against a domain that gets none once it has room again.
func TestRequestsOverflowFromFullFailureDomainAndReturn(t *testing.T) {
	const requests = 20
	s := domainScheduler(t)
	var runs []string
	for i := range domainRunners {
		runs = append(runs, fillRunner(t, s, i)...)
	}
	full := placeByDomain(t, s, "full", requests)
	if full["north"] > 0 || full["east"] < requests/3 || full["south"] < requests/3 {
		t.Errorf("with a full domain the domains get %v of %d requests, want none there and a third or more at each other one", full, requests)
	}
	for _, id := range runs {
		s.Finished(start, id, 750, port.FinishDone)
	}
	free := placeByDomain(t, s, "free", requests/2)
	if free["north"] < requests/4 {
		t.Errorf("the domain with room gets %d of %d requests, want half or more", free["north"], requests/2)
	}
}
