package scheduling

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
)

// limit is the rate that the test's endpoint accepts, in requests per second.
const limit = 3.0

// maxWithin returns the most requests that such an endpoint may receive within t.
func maxWithin(t time.Duration) int { return int(1.5*limit*t.Seconds()) + 5 }

// admit requests admission at a daemon and returns the time at which the request
// is sent.
func (f *fleet) admit(name string, maxWait time.Duration) (sent time.Time, g Admission) {
	g = f.clients[name].Admit(context.Background(), "pool", []ratelimit.Candidate{{Endpoint: "e", Limit: ratelimit.Limit{PerSecond: limit}}}, maxWait)
	return f.clock.Now().Add(g.Wait), g
}

// Guards against exceeding an endpoint's rate limit, or using less than half of it,
// while coordinators change and messages are lost.
func TestDaemonsTogetherKeepRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c", "d")
		losses := rapid.IntRange(0, 2).Draw(t, "losses")
		f.nextFault = func() int {
			if losses == 0 || rapid.IntRange(0, 20).Draw(t, "lost") > 0 {
				return 0
			}
			return losses
		}
		patience := time.Duration(rapid.IntRange(0, 1000).Draw(t, "patience")) * time.Millisecond
		var sent []time.Time
		const duration, step = 24 * time.Second, 50 * time.Millisecond
		startedAt, nextAttempt := f.clock.Now(), map[string]time.Time{}
		for now := startedAt; now.Sub(startedAt) < duration; now = f.clock.Now() {
			if now.Sub(startedAt)%(8*time.Second) == 0 {
				f.down[f.names[rapid.IntRange(1, 3).Draw(t, "daemon")]] = rapid.Bool().Draw(t, "down")
				f.leaving[f.names[rapid.IntRange(0, 3).Draw(t, "stopping daemon")]] = rapid.Bool().Draw(t, "stopping")
			}
			for _, name := range f.names {
				if f.down[name] || now.Before(nextAttempt[name]) {
					continue
				}
				at, g := f.admit(name, patience)
				if g.Endpoint == "" {
					nextAttempt[name] = at
					continue
				}
				sent = append(sent, at)
			}
			f.clock.advance(step)
		}
		slices.SortFunc(sent, time.Time.Compare)
		for i, first := range sent {
			for j := i; j < len(sent) && sent[j].Sub(first) < 4*time.Second; j++ {
				if allowed := maxWithin(4 * time.Second); j-i+1 > allowed {
					t.Fatalf("%d requests within 4 s, want at most %d", j-i+1, allowed)
				}
			}
		}
		if minimum := int(limit * duration.Seconds() / 2); len(sent) < minimum {
			t.Fatalf("%d requests in %v, less than half of the endpoint's limit", len(sent), duration)
		}
	})
}

// Guards against daemons that each admit up to the whole limit because all of them are stopping.
func TestStoppingDaemonsKeepRateLimitTogether(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	for _, name := range f.names {
		f.leaving[name] = true
	}
	admitted, coordinators := 0, map[string]bool{}
	const duration, step = 8 * time.Second, 50 * time.Millisecond
	for range int(duration / step) {
		for _, name := range f.names {
			if _, g := f.admit(name, 0); g.Endpoint != "" {
				admitted++
				coordinators[g.Coordinator] = true
			}
		}
		f.clock.advance(step)
	}
	if minimum := int(limit * duration.Seconds() / 2); admitted > maxWithin(duration) || admitted < minimum || len(coordinators) != 1 {
		t.Fatalf("%d requests admitted by %v, want %d to %d by one daemon", admitted, coordinators, minimum, maxWithin(duration))
	}
}

// A daemon that can reach no other daemon keeps to its share of the limit.
func TestPartitionedDaemonsKeepToTheirShare(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	f.nextFault = func() int { return 1 }
	admitted := 0
	const duration, step = 40 * time.Second, 100 * time.Millisecond
	for range int(duration / step) {
		for _, name := range f.names {
			if _, g := f.admit(name, 0); g.Endpoint != "" {
				admitted++
			}
		}
		f.clock.advance(step)
	}
	// Each daemon that coordinates for itself admits one request at the start.
	if allowed := maxWithin(duration); admitted > allowed || admitted == 0 {
		t.Fatalf("%d requests admitted, want 1 to %d", admitted, allowed)
	}
}

// Guards against treating a coordinator without support for admission as failed.
func TestCoordinatorWithoutAdmissionIsKept(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	coordinator := f.clients["a"].coordinator("pool").id
	f.noAdmission = map[string]bool{coordinator: true}
	admitted := 0
	for range 100 {
		for _, name := range f.names {
			if name == coordinator {
				continue
			}
			if _, g := f.admit(name, 0); g.Endpoint != "" {
				admitted++
			}
			if current := f.clients[name].coordinator("pool").id; current != coordinator {
				t.Fatalf("coordinator is %s at daemon %s, want %s", current, name, coordinator)
			}
		}
		f.clock.advance(100 * time.Millisecond)
	}
	if allowed := maxWithin(10 * time.Second); admitted > allowed || admitted == 0 {
		t.Fatalf("%d requests admitted, want 1 to %d", admitted, allowed)
	}
}
