package pause

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Guards against a pause that ends early, late, or for another incarnation.
func TestPausesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &Tracker{}
		now := time.Unix(1_700_000_000, 0)
		latest, until := uint64(0), map[uint64]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "step")) * time.Millisecond)
			e := port.Endpoint{ID: "e", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
			if rapid.Bool().Draw(t, "starts") {
				duration := time.Duration(rapid.IntRange(0, 2000).Draw(t, "duration")) * time.Millisecond
				tr.Start(now, &e, duration)
				if duration > 0 && e.Incarnation >= latest {
					if e.Incarnation > latest {
						// A later incarnation replaces the pause of an earlier one.
						clear(until)
					}
					latest = e.Incarnation
					if end := now.Add(duration); end.After(until[latest]) {
						until[latest] = end
					}
				}
			}
			if rapid.Bool().Draw(t, "collects") {
				for range tr.RemoveEnded(now) {
					latest = 0
				}
			}
			for incarnation := uint64(1); incarnation <= 3; incarnation++ {
				want := time.Duration(0)
				if incarnation <= latest {
					want = max(0, until[latest].Sub(now))
				}
				if got := tr.Remaining(now, &port.Endpoint{ID: "e", Incarnation: incarnation}); got != want {
					t.Fatalf("incarnation %d is paused for another %v, want %v", incarnation, got, want)
				}
			}
			if active := len(tr.Active(now)); active > 1 || (active == 1) != (latest > 0 && now.Before(until[latest])) {
				t.Fatalf("%d endpoints are paused", active)
			}
		}
	})
}

// Guards against a pause that is reported as new with each answer.
func TestLongerPauseExtendsTheFirst(t *testing.T) {
	tr, now, e := &Tracker{}, time.Unix(1_700_000_000, 0), port.Endpoint{ID: "e", Incarnation: 1}
	if !tr.Start(now, &e, time.Second) || tr.Start(now, &e, 3*time.Second) {
		t.Fatal("the first request begins a pause, the second one extends it")
	}
	if tr.Start(now.Add(2*time.Second), &e, time.Second/2) {
		t.Fatal("a shorter pause begins a new one")
	}
	if ended := tr.RemoveEnded(now.Add(3*time.Second - 1)); len(ended) != 0 {
		t.Fatal("the pause ended early")
	}
	if ended := tr.RemoveEnded(now.Add(3 * time.Second)); len(ended) != 1 || tr.Len() != 0 {
		t.Fatalf("ended: %v", ended)
	}
}

// Guards against ending a longer pause that the endpoint has asked for meanwhile.
func TestCancelEndsOnlyThePauseThatEndsThen(t *testing.T) {
	tr, now := &Tracker{}, time.Unix(1_700_000_000, 0)
	former, e := port.Endpoint{ID: "e", Incarnation: 1}, port.Endpoint{ID: "e", Incarnation: 2}
	until := now.Add(time.Second)
	tr.Start(now, &e, time.Second)
	tr.Cancel(&former, until)
	if tr.Remaining(now, &e) != time.Second {
		t.Fatal("the pause of another incarnation has ended")
	}
	tr.Start(now, &e, 3*time.Second)
	tr.Cancel(&e, until)
	if tr.Remaining(now, &e) != 3*time.Second {
		t.Fatal("the longer pause has ended")
	}
	tr.Cancel(&e, now.Add(3*time.Second))
	if tr.Remaining(now, &e) != 0 || tr.Len() != 0 {
		t.Fatal("the pause has not ended")
	}
}
