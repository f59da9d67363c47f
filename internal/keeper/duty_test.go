package keeper

import (
	"context"
	"testing"
	"time"
)

// The relayed answers have become too old, and this keeper begins to watch.
// Its first answer makes the age young again. It must stay on duty for a turn
// all the same: three kinds and the hosts are read by loops of their own, and
// those that were not answered yet would never get to read.
func TestFallbackLastsATurn(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := duty{fallbackAfter: 5 * time.Second, started: start}
	steps := []struct {
		name   string
		at     int
		chosen bool
		age    time.Duration
		want   bool
	}{
		{"just started, nothing heard", 1, false, -1, false},
		{"fresh answers through the relay", 2, false, time.Second, false},
		{"too old", 10, false, 6 * time.Second, true},
		{"young again by its own answer", 11, false, 0, true},
		{"still within the turn", 29, false, time.Second, true},
		{"the turn is over", 31, false, time.Second, false},
		{"chosen", 32, true, time.Second, true},
	}
	for _, s := range steps {
		if got := d.turn(at(s.at), s.chosen, s.age); got != s.want {
			t.Fatalf("%s: on duty %v, want %v", s.name, got, s.want)
		}
	}
}

// A keeper is blind once it has been on duty for long without an answer, not
// while it is off duty, and no longer once it is answered.
func TestBlindOnlyWhileOnDuty(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := duty{fallbackAfter: 5 * time.Second, started: start}
	if d.blind(at(60)) {
		t.Fatal("blind although it never had to look")
	}
	d.turn(at(60), true, time.Second)
	if d.blind(at(64)) || !d.blind(at(66)) {
		t.Fatal("not blind after five seconds on duty without an answer, or before")
	}
	if !d.turn(at(67), false, time.Second) {
		t.Fatal("a blind keeper stopped trying, and would be blind for good")
	}
	d.answered = at(68)
	if d.blind(at(69)) {
		t.Fatal("blind although it was answered")
	}
}

// A platform without a single object has revision zero. Taken for "not listed
// yet", it would be listed again and again, by every watcher, four times a
// second for each kind.
func TestEmptyPlatformIsListedOnce(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	w := newWatch(k, testKind, &recordSource{keeper: k, kind: testKind})
	w.step(t.Context())
	if !w.listed || w.revision != 0 {
		t.Fatalf("listed %v at revision %d", w.listed, w.revision)
	}
	p.gets = []fate{fateDown}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.step(ctx)
	if len(p.gets) != 1 {
		t.Fatal("the empty platform was listed again")
	}
}
