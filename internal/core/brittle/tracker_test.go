package brittle

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

var start = time.Unix(1_000_000, 0)

func TestMarkDerivesRateFromSlotsAndCallTime(t *testing.T) {
	tracker := NewTracker()
	e := port.Endpoint{ID: "e", Incarnation: 1, Slots: 4}
	if got := tracker.Mark(start, e); got.Brittle != (port.Brittleness{}) {
		t.Fatalf("an endpoint that states nothing is marked: %+v", got.Brittle)
	}
	if !tracker.Observe(start, &e, 8) || tracker.Observe(start, &e, 8) {
		t.Fatal("the first statement, and only it, is new")
	}
	for range 50 {
		// Four of eight calls wait, so each takes twice the time of its work.
		tracker.ObserveCall(&e, 200*time.Millisecond, &port.LoadHint{Running: 4, Waiting: 4, Slots: 4})
	}
	got := tracker.Mark(start, e).Brittle
	if got.Refusals != 8 || got.PerSecond < 35 || got.PerSecond > 37 {
		t.Errorf("%+v, want 36 calls a second", got)
	}
	if got := tracker.Mark(start.Add(statedFor), e).Brittle; got != (port.Brittleness{}) {
		t.Errorf("%+v after it no longer says so", got)
	}
	e.Incarnation = 2
	if got := tracker.Mark(start, e).Brittle; got != (port.Brittleness{}) {
		t.Errorf("%+v after a restart", got)
	}
}

// Guards against refusals that are reported twice or by endpoints that are not brittle.
func TestRefusalsAreReportedOnce(t *testing.T) {
	tracker := NewTracker()
	e := port.Endpoint{ID: "e", Incarnation: 1}
	if tracker.Refused(start, &e) {
		t.Error("a refusal of an endpoint that is not brittle counts")
	}
	tracker.Observe(start, &e, 8)
	for range 2 {
		if !tracker.Refused(start, &e) {
			t.Error("a refusal of a brittle endpoint does not count")
		}
	}
	if first, second := tracker.TakeRefused("e"), tracker.TakeRefused("e"); first != 2 || second != 0 {
		t.Errorf("%d and then %d refusals, want 2 and 0", first, second)
	}
}
