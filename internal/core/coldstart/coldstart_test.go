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

// Guards against endpoints that stay cold because the same entry is received again.
func TestRepeatedEntryIsAppliedOnce(t *testing.T) {
	tr := NewTracker()
	e := listed(1, 5, time.Second)
	now := start
	for now.Before(start.Add(3 * time.Second)) {
		tr.ApplyEntry(now, e)
		if cold := tr.IsCold(now, e); cold != now.Before(start.Add(time.Second)) {
			t.Fatalf("cold %v after %v", cold, now.Sub(start))
		}
		now = now.Add(50 * time.Millisecond)
	}
	if got := tr.Warmed(now); len(got) != 1 {
		t.Fatalf("Warmed returned %v, want one endpoint", got)
	}
	tr.ApplyEntry(now, e)
	if got := tr.Warmed(now); len(got) != 0 || tr.IsCold(now, e) {
		t.Fatalf("Warmed returned %v again, or the endpoint is cold again", got)
	}
	tr.ApplyEntry(now, listed(2, 5, time.Second))
	if !tr.IsCold(now, listed(2, 5, time.Second)) {
		t.Fatal("the new incarnation is not cold")
	}
	if tr.IsCold(now, listed(3, 5, 0)) {
		t.Fatal("an incarnation without an entry is cold")
	}
}

// Guards against ignoring a cold time that another daemon has received, because the entry is known.
func TestReportOfAnotherDaemonIsApplied(t *testing.T) {
	tr := NewTracker()
	e := listed(1, 5, 2*time.Second)
	tr.ApplyEntry(start, e)
	now := start.Add(3 * time.Second)
	reported := *e
	reported.ColdReports = 1
	tr.ApplyEntry(now, &reported)
	if !tr.IsCold(now, &reported) || tr.IsCold(now.Add(2*time.Second), &reported) {
		t.Error("the reported cold time is not in force")
	}
	tr.ApplyEntry(now.Add(2*time.Second), &reported)
	if tr.IsCold(now.Add(2*time.Second), &reported) {
		t.Error("the same report is applied twice")
	}
}

// Guards against sending a cold endpoint its usual share, and a warm one few requests, because the platform's store was restored from a copy with older entries.
func TestEntryOfRestoredStoreIsNotApplied(t *testing.T) {
	tr := NewTracker()
	e := listed(1, 7, 0)
	tr.ApplyEntry(start, e)
	remaining := 3 * time.Second
	tr.ApplyAnswer(start, e, &remaining)
	reported := *e
	reported.ColdFor, reported.ColdReports = remaining, 1
	tr.ApplyEntry(start, &reported)
	// The state revision of an entry that may be older than what is known stays the same.
	tr.ApplyEntry(start.Add(time.Second), e)
	if !tr.IsCold(start.Add(time.Second), e) {
		t.Error("the endpoint has become warm before it has said so")
	}
	warm := &port.Endpoint{ID: "w", Incarnation: 1, Revision: 8, ColdFor: time.Second}
	tr.ApplyEntry(start, warm)
	older := *warm
	older.ColdFor = 2 * time.Second
	now := start.Add(1500 * time.Millisecond)
	tr.ApplyEntry(now, &older)
	if tr.IsCold(now, &older) {
		t.Error("the warm endpoint has become cold")
	}
}

// Guards against an announcement that keeps an endpoint cold for too long.
func TestColdTimeIsBounded(t *testing.T) {
	tr := NewTracker()
	for _, remaining := range []time.Duration{24 * time.Hour, -time.Second} {
		tr.ApplyEntry(start, listed(1, 5, remaining))
		tr.ApplyAnswer(start, listed(1, 5, 0), &remaining)
		if tr.IsCold(start.Add(MaxColdTime), listed(1, 5, 0)) {
			t.Errorf("a cold time of %v is not bounded", remaining)
		}
	}
}

// Guards against deviations from the rule that an endpoint is cold until the end
// stated by its latest entry or answer.
func TestTrackerUsesLatestAnnouncement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now, until := start, time.Time{}
		var revision port.StoreRevision
		e := listed(1, 0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "pause")) * time.Millisecond)
			remaining := time.Duration(rapid.IntRange(0, 1500).Draw(t, "remaining")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				e = listed(1, revision, remaining)
				until = now.Add(remaining)
				tr.ApplyEntry(now, e)
			case 1:
				tr.ApplyEntry(now, e)
			case 2:
				until = now.Add(remaining)
				tr.ApplyAnswer(now, e, &remaining)
			default:
				warmed := tr.Warmed(now)
				if len(warmed) > 0 && now.Before(until) {
					t.Fatalf("endpoint reported warm %v too early", until.Sub(now))
				}
			}
			if got := tr.IsCold(now, e); got != now.Before(until) {
				t.Fatalf("cold is %v, %v before the latest stated end", got, until.Sub(now))
			}
		}
		if tr.Warmed(now.Add(MaxColdTime)); len(tr.Warmed(now.Add(MaxColdTime))) != 0 {
			t.Fatal("the endpoint is reported warm twice")
		}
	})
}
