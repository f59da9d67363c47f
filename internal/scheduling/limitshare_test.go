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
	const step = 20 * time.Millisecond
	// A request that would be held is withdrawn.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sent := map[string][]time.Time{}
	for i := range int(duration / step) {
		for _, name := range f.names {
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
