package scheduling

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
)

// limit is what an endpoint in need takes, in requests a second.
const limit = 3.0

// mostWithin is what the users allow such an endpoint to get within a time.
func mostWithin(t time.Duration) int { return int(1.5*limit*t.Seconds()) + 5 }

// admit asks for leave at a daemon, and returns when the request is sent.
func (f *fleet) admit(name string, patience time.Duration) (sent time.Time, g Admission) {
	g = f.clients[name].Admit(context.Background(), "pool", []ratelimit.Ask{{Endpoint: "e", Limit: ratelimit.Limit{PerSecond: limit}}}, patience)
	return f.clock.Now().Add(g.Wait), g
}

// Guards against exceeding or starving an endpoint while coordinators change and messages are lost.
func TestDaemonsTogetherKeepToALimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c", "d")
		losses := rapid.IntRange(0, 2).Draw(t, "losses")
		f.lose = func() int {
			if losses == 0 || rapid.IntRange(0, 20).Draw(t, "lost") > 0 {
				return 0
			}
			return losses
		}
		patience := time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience")) * time.Millisecond
		var sent []time.Time
		const lasting, step = 24 * time.Second, 50 * time.Millisecond
		began, next := f.clock.Now(), map[string]time.Time{}
		for now := began; now.Sub(began) < lasting; now = f.clock.Now() {
			if now.Sub(began)%(8*time.Second) == 0 {
				f.down[f.names[rapid.IntRange(1, 3).Draw(t, "turns")]] = rapid.Bool().Draw(t, "down")
			}
			for _, name := range f.names {
				if f.down[name] || now.Before(next[name]) {
					continue
				}
				at, g := f.admit(name, patience)
				if g.Endpoint == "" {
					next[name] = at
					continue
				}
				sent = append(sent, at)
			}
			f.clock.pass(step)
		}
		slices.SortFunc(sent, time.Time.Compare)
		for i, first := range sent {
			for j := i; j < len(sent) && sent[j].Sub(first) < 4*time.Second; j++ {
				if most := mostWithin(4 * time.Second); j-i+1 > most {
					t.Fatalf("%d requests within 4 s, allowed %d", j-i+1, most)
				}
			}
		}
		if least := int(limit * lasting.Seconds() / 2); len(sent) < least {
			t.Fatalf("%d requests in %v, less than half of what it takes", len(sent), lasting)
		}
	})
}

// Where no other daemon can be reached, each keeps to its share.
func TestDaemonAloneKeepsToItsShare(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	f.lose = func() int { return 1 }
	n := 0
	const lasting, step = 40 * time.Second, 100 * time.Millisecond
	for range int(lasting / step) {
		for _, name := range f.names {
			if _, g := f.admit(name, 0); g.Endpoint != "" {
				n++
			}
		}
		f.clock.pass(step)
	}
	// Each that coordinates for itself admits one at its beginning.
	if most := mostWithin(lasting); n > most || n == 0 {
		t.Fatalf("%d admitted, allowed %d", n, most)
	}
}

// Guards against taking a coordinator of an earlier build for lost.
func TestCoordinatorThatAdmitsNothingStaysCoordinator(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	coordinator := f.clients["a"].coordinator("pool").id
	f.old = map[string]bool{coordinator: true}
	n := 0
	for range 100 {
		for _, name := range f.names {
			if name == coordinator {
				continue
			}
			if _, g := f.admit(name, 0); g.Endpoint != "" {
				n++
			}
			if now := f.clients[name].coordinator("pool").id; now != coordinator {
				t.Fatalf("%s coordinates at %s in place of %s", now, name, coordinator)
			}
		}
		f.clock.pass(100 * time.Millisecond)
	}
	if most := mostWithin(10 * time.Second); n > most || n == 0 {
		t.Fatalf("%d admitted, allowed %d", n, most)
	}
}
