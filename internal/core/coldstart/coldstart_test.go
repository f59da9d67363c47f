package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

func listed(incarnation uint64, revision port.StoreRevision, cold time.Duration) *port.Endpoint {
	return &port.Endpoint{ID: "e", Incarnation: incarnation, Revision: revision, ColdFor: cold}
}

// Guards against coldness that never ends, as the same entry is heard of again and again.
func TestOneEntryCountsOnce(t *testing.T) {
	tr := NewTracker()
	e := listed(1, 5, time.Second)
	now := start
	for now.Before(start.Add(3 * time.Second)) {
		tr.Listed(now, e)
		if cold := tr.IsCold(now, e); cold != now.Before(start.Add(time.Second)) {
			t.Fatalf("cold %v after %v", cold, now.Sub(start))
		}
		now = now.Add(50 * time.Millisecond)
	}
	if got := tr.Warmed(now); len(got) != 1 {
		t.Fatalf("warmed %v", got)
	}
	tr.Listed(now, e)
	if got := tr.Warmed(now); len(got) != 0 || tr.IsCold(now, e) {
		t.Fatalf("warmed once more: %v", got)
	}
	tr.Listed(now, listed(2, 5, time.Second))
	if !tr.IsCold(now, listed(2, 5, time.Second)) {
		t.Fatal("the next incarnation isn't cold")
	}
	if tr.IsCold(now, listed(3, 5, 0)) {
		t.Fatal("another incarnation is cold")
	}
}

// Guards against a word that keeps an endpoint cold for good.
func TestOneWordIsBounded(t *testing.T) {
	tr := NewTracker()
	for _, left := range []time.Duration{24 * time.Hour, -time.Second} {
		tr.Listed(start, listed(1, 5, left))
		tr.Answered(start, listed(1, 5, 0), &left)
		if tr.IsCold(start.Add(Longest), listed(1, 5, 0)) {
			t.Errorf("%v keeps it cold", left)
		}
	}
}

// Guards against a tracker that differs from the plain rule: cold until the end named last, by entry or answer.
func TestTrackerFollowsTheLastWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now, until := start, time.Time{}
		var revision port.StoreRevision
		e := listed(1, 0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "pause")) * time.Millisecond)
			left := time.Duration(rapid.IntRange(0, 1500).Draw(t, "left")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				e = listed(1, revision, left)
				until = now.Add(left)
				tr.Listed(now, e)
			case 1:
				tr.Listed(now, e)
			case 2:
				until = now.Add(left)
				tr.Answered(now, e, &left)
			default:
				warmed := tr.Warmed(now)
				if len(warmed) > 0 && now.Before(until) {
					t.Fatalf("warmed %v before its end", until.Sub(now))
				}
			}
			if got := tr.IsCold(now, e); got != now.Before(until) {
				t.Fatalf("cold %v, %v before the end that was named last", got, until.Sub(now))
			}
		}
		if tr.Warmed(now.Add(Longest)); len(tr.Warmed(now.Add(Longest))) != 0 {
			t.Fatal("its end is told twice")
		}
	})
}
