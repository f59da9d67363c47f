package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// sharedRequest returns a long generation whose first 93 blocks, 1,488 tokens, are those
// of a prefix that many requests share.
func sharedRequest(id string) *port.GenerationRequest {
	r := longRequest(id)
	for i := range 93 {
		r.PrefixHashes = append(r.PrefixHashes, uint64(i+1))
	}
	return r
}

// creditAt returns the credit for a cached prefix that a runner has in a decision.
func creditAt(t *testing.T, d port.Decision, runner int) float64 {
	t.Helper()
	for _, c := range d.Candidates {
		if c.Endpoint == runnerID(runner) {
			return c.Prefix
		}
	}
	t.Fatalf("%s is not among the candidates %+v", runnerID(runner), d.Candidates)
	return 0
}

// Guards against a prefix shared by many requests that gathers them at the runners that
// hold it, while other runners are nearly empty.
func TestSharedPrefixDoesNotOverloadItsHolders(t *testing.T) {
	s := unevenScheduler(t, 1, 1, 1, 1, 1, 1, 1, 1)
	const perRunner = 3
	for i := range 8 * perRunner {
		id := fmt.Sprint("shared-", i)
		wantVerdict(t, s.Submit(start, sharedRequest(id)), port.VerdictPlace, ReasonPlaced)
		s.Progress(start, id, testEventTokens)
	}
	var counts []int
	for _, r := range s.shards["pool"].runners {
		counts = append(counts, r.ownCount)
	}
	t.Logf("requests at each runner: %v", counts)
	if most := slices.Max(counts); float64(most) > 1.25*perRunner+1 {
		t.Errorf("%d requests at one runner, want at most 1.25 times the mean of %d, plus 1", most, perRunner)
	}
}

// Guards against a runner that restarts under the same id and is still taken for a holder
// of what its former incarnation cached.
func TestRestartedRunnerHoldsNoPrefix(t *testing.T) {
	s := unevenScheduler(t, 1, 1, 1)
	wantVerdict(t, s.Submit(start, onlyAt(s, 0, sharedRequest("first"))), port.VerdictPlace, ReasonPlaced)
	d := s.Submit(start, sharedRequest("second"))
	if creditAt(t, d, 0) <= 0 || creditAt(t, d, 1) != 0 {
		t.Fatalf("credits %v and %v, want one at the holder only", creditAt(t, d, 0), creditAt(t, d, 1))
	}
	es := unevenRunners(3)
	es[0].Incarnation++
	s.SetEndpoints(start, es)
	if credit := creditAt(t, s.Submit(start, sharedRequest("third")), 0); credit != 0 {
		t.Errorf("credit %v at the restarted runner, want none", credit)
	}
}

// Guards against a request that waits for the holders of its prefix when all of them have
// ended, or are excluded because it has failed there.
func TestRequestIsPlacedWithoutHolders(t *testing.T) {
	for name, remove := range map[string]func(s *Scheduler, r *port.GenerationRequest){
		"ended":    func(s *Scheduler, _ *port.GenerationRequest) { s.SetEndpoints(start, unevenRunners(3)[1:]) },
		"excluded": func(_ *Scheduler, r *port.GenerationRequest) { r.Excluded = []string{runnerID(0)} },
	} {
		t.Run(name, func(t *testing.T) {
			s := unevenScheduler(t, 1, 1, 1)
			wantVerdict(t, s.Submit(start, onlyAt(s, 0, sharedRequest("first"))), port.VerdictPlace, ReasonPlaced)
			r := sharedRequest("second")
			remove(s, r)
			d := s.Submit(start, r)
			wantVerdict(t, d, port.VerdictPlace, ReasonPlaced)
			if d.Endpoint.ID == runnerID(0) {
				t.Fatalf("placed at %s", d.Endpoint.ID)
			}
		})
	}
}
