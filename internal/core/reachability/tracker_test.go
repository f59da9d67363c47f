package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_000_000, 0)

const testPool = "p"

func ids(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("e", i)
	}
	return out
}

func newTestTracker(endpoints []string) *Tracker {
	return NewTracker(func(string) []string { return endpoints })
}

func exists(string) bool { return true }

// world performs the checks that a tracker asks for, at endpoints of which some are
// reachable.
type world struct {
	*Tracker
	now       time.Time
	reachable map[string]bool
	// unlisted are the endpoints that don't exist at the moment.
	unlisted map[string]bool
	checks   int
}

// run lets time pass in the steps of the gateway's ticks.
func (w *world) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, id := range w.DueChecks(w.now, func(id string) bool { return !w.unlisted[id] }) {
			w.checks++
			w.observe(id)
		}
	}
}

// observe reports the result of using the path to an endpoint.
func (w *world) observe(id string) {
	evidence := port.PathConnectFailed
	if w.reachable[id] {
		evidence = port.PathReached
	}
	w.Observe(w.now, id, testPool, evidence)
}

// Guards against a lost path that stays lost because its endpoint was unlisted for a while.
func TestLostPathsAreCheckedAfterTheirEndpointsReturn(t *testing.T) {
	for _, n := range []int{1, 3, 14} {
		for _, unlistedFor := range []time.Duration{50 * time.Millisecond, 2 * time.Second, time.Minute} {
			w := &world{Tracker: newTestTracker(ids(n)), now: start, unlisted: make(map[string]bool)}
			w.observe("e0")
			w.run(time.Second)
			for _, id := range ids(n) {
				w.unlisted[id] = true
			}
			checked := w.checks
			w.run(unlistedFor)
			if w.checks != checked {
				t.Errorf("%d endpoints: %d checks of endpoints that don't exist", n, w.checks-checked)
			}
			w.unlisted, w.reachable = nil, make(map[string]bool)
			for _, id := range ids(n) {
				w.reachable[id] = true
			}
			w.run(lostPoolCheckPause)
			if w.Lost(testPool) || w.LostPaths() > 0 {
				t.Errorf("%d endpoints, unlisted for %v: %d paths are lost, pool lost: %v", n, unlistedFor, w.LostPaths(), w.Lost(testPool))
			}
		}
	}
}

// Guards against a cut daemon that finds out only after a failure at each endpoint.
func TestOneFailureFindsLostPool(t *testing.T) {
	for _, n := range []int{1, 3, 14, 300} {
		w := &world{Tracker: newTestTracker(ids(n)), now: start}
		w.observe("e0")
		w.run(300 * time.Millisecond)
		if !w.Lost(testPool) || !slices.Equal(w.LostPools(), []string{testPool}) {
			t.Errorf("%d endpoints: the pool is not lost after %d checks", n, w.checks)
		}
	}
}

// Guards against taking an endpoint that is down for a lost path to its whole pool.
func TestFailedEndpointDoesNotLosePool(t *testing.T) {
	for _, n := range []int{2, 3, 14, 300} {
		w := &world{Tracker: newTestTracker(ids(n)), now: start, reachable: map[string]bool{}}
		for _, id := range ids(n)[1:] {
			w.reachable[id] = true
		}
		w.observe("e0")
		w.run(2 * time.Second)
		if w.Lost(testPool) || w.IsSuspect(testPool) || !w.IsLost("e0") || w.LostPaths() != 1 {
			t.Errorf("%d endpoints: lost pool %v, suspect %v, %d lost paths", n, w.Lost(testPool), w.IsSuspect(testPool), w.LostPaths())
		}
		w.reachable["e0"] = true
		w.run(maxCheckPause + 100*time.Millisecond)
		if w.LostPaths() != 0 {
			t.Errorf("%d endpoints: the path is still lost after the endpoint is back", n)
		}
	}
}

// Guards against a daemon that uses its paths late after they are back.
func TestHealedPoolIsFoundWithinASecond(t *testing.T) {
	for _, n := range []int{1, 3, 14, 300} {
		w := &world{Tracker: newTestTracker(ids(n)), now: start, reachable: map[string]bool{}}
		w.observe("e0")
		w.run(10 * time.Second)
		for _, id := range ids(n) {
			w.reachable[id] = true
		}
		w.run(time.Second)
		if w.Lost(testPool) || w.LostPaths() != 0 {
			t.Errorf("%d endpoints: pool lost %v, %d paths lost a second after healing", n, w.Lost(testPool), w.LostPaths())
		}
	}
}

// Guards against a pool that stays lost when its endpoints have been replaced.
func TestReplacedEndpointsEndLostPool(t *testing.T) {
	current := ids(3)
	tracker := NewTracker(func(string) []string { return current })
	w := &world{Tracker: tracker, now: start}
	w.observe("e0")
	w.run(time.Second)
	for _, id := range current {
		w.Forget(id)
	}
	current = []string{"new"}
	if w.Lost(testPool) {
		t.Fatal("a new endpoint is not tried")
	}
}

// An answer on a connection from before the cut shows no path for new ones.
func TestAnswerOnOpenConnectionKeepsPoolLost(t *testing.T) {
	w := &world{Tracker: newTestTracker(ids(3)), now: start}
	w.observe("e0")
	w.run(time.Second)
	w.Observe(w.now, "e1", testPool, port.PathAnswered)
	if !w.Lost(testPool) || !w.AnsweredSince(testPool, w.now.Add(-time.Millisecond)) {
		t.Fatal("the pool is not lost, or its answer is not known")
	}
}

// Guards against a second pool that is found lost late as its endpoints answer slowly.
func TestLostPoolHasOtherPoolsChecked(t *testing.T) {
	pools := map[string][]string{"p": {"e0", "e1"}, "q": {"f0", "f1", "f2"}}
	tracker := NewTracker(func(pool string) []string { return pools[pool] })
	tracker.Observe(start, "f1", "q", port.PathReached)
	w := &world{Tracker: tracker, now: start.Add(10 * time.Millisecond)}
	for _, id := range pools["p"] {
		w.observe(id)
	}
	for end := w.now.Add(time.Second); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for _, id := range w.DueChecks(w.now, exists) {
			pool := "p"
			if id[0] == 'f' {
				pool = "q"
			}
			w.Observe(w.now, id, pool, port.PathSilent)
		}
	}
	if got := w.LostPools(); !slices.Equal(got, []string{"p", "q"}) {
		t.Fatalf("lost pools %v", got)
	}
}

// Guards against lost paths that are missed, and against too many checks, under drawn cuts.
func TestTrackerFollowsPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := ids(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		w := &world{Tracker: newTestTracker(endpoints), now: start, reachable: map[string]bool{}}
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			reached := 0
			for _, id := range endpoints {
				w.reachable[id] = rapid.Bool().Draw(t, "reachable")
				if w.reachable[id] {
					reached++
				}
			}
			w.checks = 0
			const phase = 4 * time.Second
			for range 8 {
				for _, id := range endpoints {
					w.observe(id)
				}
				w.run(phase / 8)
			}
			if w.Lost(testPool) != (reached == 0 && len(endpoints) > 0) {
				t.Fatalf("%d of %d endpoints reached, pool lost: %v", reached, len(endpoints), w.Lost(testPool))
			}
			if w.LostPaths() != len(endpoints)-reached {
				t.Fatalf("%d of %d endpoints reached, %d paths lost", reached, len(endpoints), w.LostPaths())
			}
			if allowed := len(endpoints) * (4 + int(phase/firstCheckPause)); w.checks > allowed {
				t.Fatalf("%d checks of %d endpoints in %v, allowed %d", w.checks, len(endpoints), phase, allowed)
			}
		}
	})
}

// Guards against ends that aren't confirmed because a cut follows, and against taking the paths of a cut that come back one after the other for ends.
func TestEndpointThatFailsWhileOthersAnswer(t *testing.T) {
	const down, up = port.PathBroken, port.PathReached
	type event struct {
		at time.Duration // in ms
		id string
		e  port.PathEvidence
	}
	for name, c := range map[string]struct {
		events []event
		want   bool
	}{
		"another answers meanwhile, then all are cut": {[]event{{0, "a", down}, {100, "b", up}, {300, "a", down}, {600, "a", down}, {700, "b", down}, {700, "c", down}}, true},
		"none answers meanwhile":                      {[]event{{0, "b", up}, {1, "a", down}, {100, "a", down}, {300, "a", down}, {600, "a", down}}, false},
		"the others are cut a moment later":           {[]event{{0, "a", down}, {20, "b", up}, {30, "b", down}, {30, "c", down}, {300, "a", down}, {600, "a", down}}, false},
		"the others come back a moment earlier":       {[]event{{0, "a", down}, {0, "b", down}, {300, "b", up}, {310, "a", down}, {340, "a", down}}, false},
		"all were lost, and come back one by one":     {[]event{{0, "a", down}, {0, "b", down}, {0, "c", down}, {2000, "b", up}, {2100, "a", down}, {2500, "a", down}}, false},
		"it fails again long after, as all are cut":   {[]event{{0, "a", down}, {100, "b", up}, {300, "a", down}, {600, "a", down}, {3600, "a", down}, {3600, "b", down}, {3600, "c", down}, {3700, "a", down}, {3900, "a", down}}, false},
		"it answers again":                            {[]event{{0, "a", down}, {100, "b", up}, {300, "a", down}, {600, "a", down}, {700, "a", up}, {800, "a", down}}, false},
	} {
		tr := NewTracker(func(string) []string { return []string{"a", "b", "c"} })
		began := time.Now()
		for _, e := range c.events {
			tr.Observe(began.Add(e.at*time.Millisecond), e.id, "pool", e.e)
		}
		if got := tr.FailsAlone("a"); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
