package scheduling

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// placeEverywhere lets each daemon's own scheduler place as many generations as it accepts
// for a time, and returns when each runner got one. A run ends at once.
func (f *fleet) placeEverywhere(duration time.Duration) map[string][]time.Time {
	return f.placeAt(f.names, duration)
}

// placeAt is placeEverywhere with the schedulers of the named daemons alone.
func (f *fleet) placeAt(names []string, duration time.Duration) map[string][]time.Time {
	const step = 20 * time.Millisecond
	// A request that would be held is withdrawn.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sent := map[string][]time.Time{}
	for i := range int(duration / step) {
		for _, name := range names {
			for n := range numRunners {
				id := fmt.Sprint(name, "-", i, "-", n)
				d := f.schedulers[name].Place(ctx, newRequest(f.clock.Now(), id, 10), ignoreHold)
				if d.Verdict == port.VerdictPlace {
					sent[d.Endpoint.ID] = append(sent[d.Endpoint.ID], f.clock.Now())
					f.schedulers[name].Update(nil, []RunEvent{{RequestID: id, Tokens: 3, Finish: port.FinishDone}})
				}
			}
		}
		f.clock.advance(step)
	}
	return sent
}

// Guards against sending a cold runner several times what it accepts while some daemons
// don't reach the coordinator and place generations themselves.
func TestDaemonsWithoutCoordinatorShareRateLimits(t *testing.T) {
	const coldRate, duration, mostPerSecond = 3.0, 12 * time.Second, 9
	f := newFleet("a", "b", "c", "d")
	cold := runners()
	for i := range cold {
		cold[i].ColdRate = coldRate
	}
	for _, name := range f.names {
		f.routingSchedulers[name].SetEndpoints(start, cold)
	}
	sent := f.placeEverywhere(duration)
	if len(sent) != numRunners {
		t.Fatalf("%d runners got requests, want %d", len(sent), numRunners)
	}
	for id, times := range sent {
		for i, at := range times {
			within := slices.IndexFunc(times[i:], func(next time.Time) bool { return next.Sub(at) >= time.Second })
			if within > mostPerSecond {
				t.Fatalf("%s got %d requests within a second, want at most %d", id, within, mostPerSecond)
			}
		}
		if least := int(coldRate * duration.Seconds()); len(times) < least {
			t.Errorf("%s got %d requests, want at least the %d that the coordinator may send", id, len(times), least)
		}
	}
}

// Guards against a daemon that keeps to its share of the rate limits after it has become
// the coordinator, for requests that it held before.
func TestNewCoordinatorUsesWholeRateLimits(t *testing.T) {
	f := newFleet("a", "b", "c")
	coordinator := f.clients["a"].coordinator("pool").id
	f.names = slices.DeleteFunc(f.names, func(name string) bool { return name == coordinator })
	successor := f.clients[f.names[0]].coordinator("pool").id
	f.names = append(f.names, coordinator)
	limited := runners()[:1]
	limited[0].RateLimit = 1
	f.routingSchedulers[successor].SetEndpoints(start, limited)
	decided := make(chan port.Decision, 1)
	held := make(chan struct{})
	r := newRequest(start, "held", 10)
	r.Deadline = start.Add(time.Hour)
	go func() {
		decided <- f.schedulers[successor].Place(t.Context(), r, func(*port.Decision) { close(held) })
	}()
	select {
	case <-held:
	case d := <-decided:
		t.Fatalf("verdict %v beside the coordinator, reason %q, want a hold", d.Verdict, d.Reason)
	}
	f.down[coordinator] = true
	f.schedulers[successor].updateLimitShares()
	f.routingSchedulers[successor].Tick(f.clock.Now())
	if d := <-decided; d.Verdict != port.VerdictPlace {
		t.Errorf("verdict %v for a held request, reason %q", d.Verdict, d.Reason)
	}
}

// limitedFleet returns a fleet of n daemons, with cold runners, and its coordinator.
func limitedFleet(n int, coldRate float64) (f *fleet, coordinator string) {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("d", i))
	}
	f = newFleet(names...)
	cold := runners()
	for i := range cold {
		cold[i].ColdRate = coldRate
	}
	for _, name := range names {
		f.routingSchedulers[name].SetEndpoints(start, cold)
	}
	return f, f.clients["d0"].coordinator("pool").id
}

// Guards against a successor that sends nothing to limited runners while a large fleet
// asks it, as the listed coordinator doesn't answer.
func TestSuccessorOfManyDaemonsPlacesAtLimitedRunners(t *testing.T) {
	const daemons, coldRate, duration = 90, 3.0, 10 * time.Second
	f, coordinator := limitedFleet(daemons, coldRate)
	f.clients["d0"].handlePeerFailure(daemon{id: coordinator}, errLost)
	sent := f.placeAt([]string{f.clients["d0"].coordinator("pool").id}, duration)
	for id, times := range sent {
		if least := int(coldRate * duration.Seconds() / 5); len(times) < least {
			t.Errorf("%s got %d requests, want at least %d", id, len(times), least)
		}
	}
	if len(sent) != numRunners {
		t.Errorf("%d runners got requests, want %d", len(sent), numRunners)
	}
}

// Guards against daemons that all use their first share of a limit at the same moment.
func TestSharesOfManyDaemonsAreNotUsedAtOnce(t *testing.T) {
	const daemons, coldRate, mostPerSecond = 12, 3.0, 9
	f, _ := limitedFleet(daemons, coldRate)
	for id, times := range f.placeEverywhere(17 * time.Second) {
		for i, at := range times {
			within := slices.IndexFunc(times[i:], func(next time.Time) bool { return next.Sub(at) >= time.Second })
			if within > mostPerSecond {
				t.Fatalf("%s got %d requests within a second, want at most %d", id, within, mostPerSecond)
			}
		}
	}
}

// Guards against a further request to each limited runner whenever the member list
// makes a daemon the coordinator again.
func TestChangingCoordinatorKeepsRateLimits(t *testing.T) {
	const coldRate, duration = 1.0, 2 * time.Second
	f, coordinator := limitedFleet(3, coldRate)
	calls := 0
	f.schedulers[coordinator].limitShare = func(string) float64 {
		if calls++; calls%10 == 0 {
			return 0.5
		}
		return 1
	}
	for id, times := range f.placeAt([]string{coordinator}, duration) {
		if most := 1 + int(coldRate*duration.Seconds()); len(times) > most {
			t.Errorf("%s got %d requests within %v, want at most %d", id, len(times), duration, most)
		}
	}
}
