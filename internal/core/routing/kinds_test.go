package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against rules for brief kinds that apply between kinds which differ little, or
// against the order of the operators.
func TestBriefKindsGoFirst(t *testing.T) {
	long := kind{key: kindKey{"m", "long", -2}, residence: 7, objective: 4 * time.Second}
	for name, c := range map[string]struct {
		k    kind
		want bool
	}{
		"brief, due earlier, as urgent":        {kind{key: kindKey{"m", "short", -2}, residence: 0.7, objective: 1500 * time.Millisecond}, true},
		"brief, due earlier, more urgent":      {kind{key: kindKey{"m", "short", 0}, residence: 0.7, objective: 1500 * time.Millisecond}, true},
		"brief, due earlier, less urgent":      {kind{key: kindKey{"m", "short", -3}, residence: 0.7, objective: 1500 * time.Millisecond}, false},
		"brief, due at about the same time":    {kind{key: kindKey{"m", "short", 0}, residence: 0.7, objective: 3600 * time.Millisecond}, false},
		"due earlier, uses the cache as long":  {kind{key: kindKey{"m", "short", 0}, residence: 6, objective: 1500 * time.Millisecond}, false},
		"the same kind":                        {long, false},
		"brief and due earlier, another model": {kind{key: kindKey{"n", "short", 0}, residence: 0.7, objective: 1500 * time.Millisecond}, false},
		"long, due later, of greater urgency":  {kind{key: kindKey{"m", "other", 0}, residence: 20, objective: 30 * time.Second}, false},
		"brief, due much later":                {kind{key: kindKey{"m", "batch", -2}, residence: 0.7, objective: time.Minute}, false},
	} {
		if got := c.k.goesBefore(&long); got != c.want {
			t.Errorf("%s: goes before = %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a reserve of less than one prompt at each runner, which no prompt fits.
func TestReserveIsSpreadInWholePrompts(t *testing.T) {
	r := reserve{prompts: 5, size: 2200}
	var all float64
	for i := range 3 {
		at := r.at(i, 3)
		if math.Mod(at, r.size) != 0 || at < r.size || at > 2*r.size {
			t.Errorf("reserve at runner %d = %v tokens, want one or two prompts", i, at)
		}
		all += at
	}
	if all != 5*r.size {
		t.Errorf("reserve at all runners = %v tokens, want %v", all, 5*r.size)
	}
}

// Guards against a rate that is far too low in the first minute: requests that would
// wait for seconds were refused with a wait of a quarter of a minute.
func TestRateCountsNoTimeBeforeItsStart(t *testing.T) {
	r := rate{window: longRateWindow}
	now := start
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		r.add(now, 1)
	}
	if got := r.readSinceStart(now); got < 3.6 || got > 4.4 {
		t.Errorf("rate after 10 s at 4 a second = %.2f, want about 4", got)
	}
	if got := r.read(now); got > 1 {
		t.Errorf("rate over the whole window = %.2f, want less than 1", got)
	}
}

// kindRequest returns a request of one of the routes "brief" and "long".
func kindRequest(route string, n int, now time.Time) *port.GenerationRequest {
	r := &port.GenerationRequest{
		RequestID: fmt.Sprintf("%s-%d", route, n), Organisation: "o", Model: "m", Route: route, Arrived: now,
		Attempt: 1, Deadline: now.Add(20 * time.Second), PromptTokens: 2200, MaxTokens: 10, Objective: 1500 * time.Millisecond,
	}
	if route == "long" {
		r.PromptTokens, r.MaxTokens, r.Objective = 3000, 900, 4*time.Second
	}
	return r
}

// fillWithLong submits brief and long requests to two runners until a long one is held,
// and returns the number of placed long ones and the reason for the hold.
func fillWithLong(t *testing.T, s *Scheduler, now time.Time) (placed int, reason string) {
	t.Helper()
	s.SetEndpoints(now, []port.Endpoint{
		{ID: "r1", Kind: port.KindRunner, Pool: "p", Incarnation: 1, State: port.EndpointLive, Models: []string{"m"}, CacheTokens: 26900},
		{ID: "r2", Kind: port.KindRunner, Pool: "p", Incarnation: 1, State: port.EndpointLive, Models: []string{"m"}, CacheTokens: 26900},
	})
	for i := range 20 {
		r := kindRequest("brief", i, now)
		if d := s.Submit(now, r); d.Verdict != port.VerdictPlace {
			t.Fatalf("brief request %d: %s, want it placed", i, d.Reason)
		}
		s.Progress(now.Add(400*time.Millisecond), r.RequestID, 1)
		s.Finished(now.Add(500*time.Millisecond), r.RequestID, 8, port.FinishDone)
		now = now.Add(50 * time.Millisecond)
		s.Tick(now)
	}
	for i := range 40 {
		r := kindRequest("long", i, now)
		if d := s.Submit(now, r); d.Verdict != port.VerdictPlace {
			return placed, d.Reason
		}
		placed++
		now = now.Add(600 * time.Millisecond)
		s.Progress(now, r.RequestID, 1)
		s.Tick(now)
	}
	t.Fatal("the pool takes any number of long requests")
	return 0, ""
}

// Guards against brief requests that find no room, and wait behind held long ones of
// their organisation, when long requests have filled the pool.
func TestLongRequestsLeaveRoomForBriefOnes(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		s := NewScheduler(Options{RouterID: "r", BusyThreshold: 1, PrefillBacklogLimit: 6144, ScarceRoom: scarce})
		long, reason := fillWithLong(t, s, start)
		now := start.Add(time.Duration(long)*600*time.Millisecond + 1100*time.Millisecond)
		d := s.Submit(now, kindRequest("brief", 100, now))
		if scarce {
			if reason != ReasonHeldReserved {
				t.Errorf("long request at a pool that keeps room for brief ones: %s", reason)
			}
			if n := s.ReservedPrompts(); n == 0 {
				t.Error("no prompt is reserved")
			}
		}
		t.Logf("scarce room %v: %d long requests placed, then a brief one: %v", scarce, long, d.Verdict)
		if scarce && d.Verdict != port.VerdictPlace {
			t.Errorf("brief request at a pool full of long ones: %s, want it placed", d.Reason)
		}
		if !scarce && d.Verdict == port.VerdictPlace {
			t.Error("the brief request is placed without the rule, so the load doesn't show it")
		}
	}
}

// Guards against rules for scarce room in a pool whose kinds are due at about the same
// time: their order of arrival and their placement stay.
func TestKindsDueAtAboutTheSameTimeAreServedAsBefore(t *testing.T) {
	place := func(scarce bool) (placed []string) {
		s := NewScheduler(Options{RouterID: "r", BusyThreshold: 1, PrefillBacklogLimit: 6144, ScarceRoom: scarce})
		s.SetEndpoints(start, []port.Endpoint{
			{ID: "r1", Kind: port.KindRunner, Pool: "p", Incarnation: 1, State: port.EndpointLive, Models: []string{"m"}, CacheTokens: 26900},
			{ID: "r2", Kind: port.KindRunner, Pool: "p", Incarnation: 1, State: port.EndpointLive, Models: []string{"m"}, CacheTokens: 26900},
		})
		now := start
		for i := range 60 {
			r := kindRequest([]string{"brief", "long"}[i%2], i, now)
			r.Objective = 1500*time.Millisecond + time.Duration(i%2)*300*time.Millisecond
			d := s.Submit(now, r)
			placed = append(placed, fmt.Sprint(d.Verdict, d.Endpoint.ID, d.Reason))
			now = now.Add(100 * time.Millisecond)
			s.Progress(now, r.RequestID, 1)
			s.Tick(now)
		}
		return placed
	}
	before, after := place(false), place(true)
	for i := range before {
		if before[i] != after[i] {
			t.Fatalf("decision %d: %s, want %s as without the rules", i, after[i], before[i])
		}
	}
}

// Guards against a handed-over rate that counts as one of the last second: waits and retry
// times at the new coordinator were ten to sixty times too short.
func TestHandedOverRateCoversItsWindow(t *testing.T) {
	r := rate{window: longRateWindow}
	r.raise(start, start, 4)
	r.add(start, 1)
	if got := r.readSinceStart(start); got < 4 || got > 4.1 {
		t.Errorf("rate of 4 a second and one more = %.2f", got)
	}
}

// Guards against a rate of one a second for the first request that is placed after a long
// wait: the time before counts from the organisation's first request on.
func TestRateCountsTheWaitForTheFirstPlacement(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r"})
	sh := s.shard("p")
	o := sh.organisation(start, "o")
	now := start.Add(10 * time.Second)
	o.rates[admission.LaneLong].add(now, 1)
	if got := o.rates[admission.LaneLong].readSinceStart(now); got > 0.15 {
		t.Errorf("rate of one request in 10 s = %.2f", got)
	}
}

// Guards against brief requests that keep long ones out: of an organisation that floods the
// pool, or of all in a steady stream.
func TestReserveIsBounded(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r", BusyThreshold: 1, PrefillBacklogLimit: 6144, ScarceRoom: true})
	fillWithLong(t, s, start)
	sh := s.shards["p"]
	e := sh.newEntry(start, kindRequest("long", 300, start))
	brief := sh.newEntry(start, kindRequest("brief", 400, start))
	brief.org = &organisation{name: "others"}
	for range 1000 {
		sh.kinds.observe(sh.now, brief, 0.2)
	}
	e.since = sh.now
	fresh := sh.reserveFor(sh.now, e, 30*time.Second)
	if kept := float64(fresh.prompts) * fresh.size; fresh.prompts == 0 || kept > maxReserve*2*26900 {
		t.Errorf("%v tokens are kept free, want some and at most a quarter of the pool", kept)
	}
	if held := sh.reserveFor(sh.now.Add(30*time.Second), e, 30*time.Second); held.prompts != 0 {
		t.Errorf("%d prompts are kept free from a request at its hold limit, want none", held.prompts)
	}
	flood := sh.newEntry(start, kindRequest("brief", 500, start))
	flood.org = &organisation{name: "flood", flooding: true}
	seen := sh.kinds.of(flood).lastSeen
	sh.kinds.observe(sh.now.Add(time.Second), flood, 5)
	if sh.kinds.of(flood).lastSeen != seen {
		t.Error("the requests of a flooding organisation enlarge the reserve")
	}
}

// Guards against a panic of the coordinator when all runners of a pool end while requests
// are held for the room that it keeps.
func TestHeldRequestsEndWithTheLastRunner(t *testing.T) {
	s := NewScheduler(Options{RouterID: "r", BusyThreshold: 1, PrefillBacklogLimit: 6144, ScarceRoom: true})
	fillWithLong(t, s, start)
	now := s.shards["p"].now
	s.SetEndpoints(now, nil)
	s.Tick(now.Add(100 * time.Millisecond))
	if n := s.shards["p"].queue.Len(); n != 0 {
		t.Errorf("%d requests are held for a pool without runners", n)
	}
}
