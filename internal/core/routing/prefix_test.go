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

// boundedScheduler returns a scheduler that bounds the load of holders, with a prefix that
// the first two runners hold. One of them has many requests with it and a backlog.
func boundedScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := unevenScheduler(t, 1, 1, 1, 1)
	s.options.HotPrefixes = true
	for i, runner := range []int{0, 0, 0, 0, 0, 1} {
		id := fmt.Sprint("held-", i)
		wantVerdict(t, s.Submit(start, onlyAt(s, runner, sharedRequest(id))), port.VerdictPlace, ReasonPlaced)
		s.Progress(start, id, testEventTokens)
	}
	addBacklog(s, 0, 3000)
	return s
}

// Guards against a holder that gets a shared prefix beyond its bound, and against a bound
// that stays in force once its runs have ended or its prefill backlog is gone.
func TestHolderBeyondItsBoundDoesNotCount(t *testing.T) {
	s := boundedScheduler(t)
	d := s.Submit(start, sharedRequest("bounded"))
	if creditAt(t, d, 0) != 0 || creditAt(t, d, 1) <= 0 {
		t.Fatalf("credits %v and %v, want one at the second holder only", creditAt(t, d, 0), creditAt(t, d, 1))
	}
	addBacklog(s, 0, 0)
	if creditAt(t, s.Submit(start, sharedRequest("no backlog")), 0) <= 0 {
		t.Error("no credit at a holder without a backlog")
	}
	addBacklog(s, 0, 3000)
	for i := range 5 {
		s.Finished(start, fmt.Sprint("held-", i), 750, port.FinishDone)
	}
	if creditAt(t, s.Submit(start, sharedRequest("ended")), 0) <= 0 {
		t.Error("no credit at a holder whose runs have ended")
	}
}

// Guards against holders that are known without bound, and against runners that have gone
// or were not used for minutes and still count as holders.
func TestNumberOfHoldersIsBounded(t *testing.T) {
	runners := make([]float64, maxSharedHolders+4)
	for i := range runners {
		runners[i] = 1
	}
	s := unevenScheduler(t, runners...)
	s.options.HotPrefixes = true
	for i := range runners {
		wantVerdict(t, s.Submit(start, onlyAt(s, i, sharedRequest(fmt.Sprint("held-", i)))), port.VerdictPlace, ReasonPlaced)
	}
	h, _ := s.shards["pool"].prefixes.find(start, sharedRequest("").PrefixHashes)
	if len(h.known) != maxSharedHolders {
		t.Errorf("%d holders are known, want %d", len(h.known), maxSharedHolders)
	}
	s.SetEndpoints(start, unevenRunners(len(runners))[:len(runners)-3])
	later := at(prefixMaxAge + 1)
	for i, k := range h.known {
		if gone := !k.runner.listed; gone && k.holds(start) {
			t.Errorf("holder %d is gone and still counts", i)
		}
		if k.holds(later) {
			t.Errorf("holder %d counts %v after its last use", i, prefixMaxAge)
		}
	}
}
