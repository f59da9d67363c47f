package scheduling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Coordinators change back and forth, daemons see the changes at different times, and
// calls and answers between them are lost. Each request must be placed, and afterwards
// each open run must be counted by the coordinator and by no other daemon.
func TestRunsSurviveRandomChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newHandOverFleet(t, "a", "b", "c")
		faulty := true
		f.nextFault = func() int {
			if !faulty {
				return 0
			}
			return rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(rt, "fault")
		}
		type openRequest struct{ id, at string }
		var open []openRequest
		states := rapid.SampledFrom([]port.MemberState{port.MemberLive, port.MemberLeaving})
		daemons := rapid.SampledFrom(f.names)
		for i := range rapid.IntRange(5, 30).Draw(rt, "steps") {
			f.clock.advance(time.Duration(rapid.IntRange(0, 800).Draw(rt, "pause")) * time.Millisecond)
			name := daemons.Draw(rt, "daemon")
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				f.set(name, states.Draw(rt, "state"))
				f.show(daemons.Draw(rt, "observer"))
			case 1:
				f.showAll()
			case 2:
				r := newRequest(f.clock.Now(), fmt.Sprint("r", i), 50)
				r.MaxTokens = 50
				d := f.clients[name].Place(context.Background(), r, ignoreHold)
				if d.Verdict != port.VerdictPlace {
					rt.Fatalf("%s: verdict %v, reason %q although there is room", r.RequestID, d.Verdict, d.Reason)
				}
				open = append(open, openRequest{r.RequestID, name})
			case 3:
				if len(open) > 0 {
					f.clients[open[0].at].Finished(open[0].id, 10, port.FinishDone)
					open = open[1:]
				}
			}
			if rapid.Bool().Draw(rt, "exchange") {
				f.exchangeUpdates()
			} else {
				for _, c := range f.clients {
					c.reassignRuns()
				}
			}
		}
		faulty = false
		f.showAll()
		f.clock.advance(avoidDuration)
		f.exchangeUpdates()
		f.clock.advance(formerInformedFor)
		f.exchangeUpdates()
		for _, name := range f.names {
			f.clock.advance(runExpiry - keepaliveInterval)
			f.exchangeUpdates()
			f.schedulers[name].Expire()
		}
		for _, r := range open {
			for _, name := range f.names {
				if f.tracks(name, r.id) != (name == f.holder("a")) {
					rt.Fatalf("run %s of %s is counted by %s: %v, the coordinator is %s", r.id, r.at, name, f.tracks(name, r.id), f.holder("a"))
				}
			}
		}
		for _, r := range open {
			f.clients[r.at].Finished(r.id, 10, port.FinishDone)
		}
		f.exchangeUpdates()
		f.clock.advance(runExpiry)
		for _, name := range f.names {
			f.schedulers[name].Expire()
			if n := f.routingSchedulers[name].RunCount(); n != 0 {
				rt.Fatalf("%s counts %d runs after all have ended", name, n)
			}
		}
	})
}
