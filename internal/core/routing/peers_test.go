package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Seven daemons place one report after the other on ten runners, and hear of
// each other's before the next. Each has a seventh of the traffic; without the
// others' word each would see nine runners empty and some would get three
// reports while others get none.
func TestDaemonsThatHearEachOtherFillRunnersEvenly(t *testing.T) {
	const daemons, runners = 7, 10
	schedulers := make([]*Scheduler, daemons)
	for i := range schedulers {
		schedulers[i] = newTestScheduler(t, 0, func(o *Options) { o.RouterID = fmt.Sprint("daemon-", i) })
		schedulers[i].SetEndpoints(start, inDomains(runners, "a"))
	}
	placed := map[string]int{}
	now := start
	for i := range 2 * runners {
		s := schedulers[i%daemons]
		now = now.Add(100 * time.Millisecond)
		d := s.Submit(now, request(fmt.Sprint("report-", i), 3000))
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("report %d: %v for %q", i, d.Verdict, d.Reason)
		}
		placed[d.Endpoint.ID]++
		load := port.DaemonLoad{Daemon: fmt.Sprint("daemon-", i%daemons), Runners: s.OwnLoads()}
		for j, other := range schedulers {
			if j != i%daemons {
				other.SetPeerLoad(now, &load)
			}
		}
	}
	for id, n := range placed {
		if n != 2 {
			t.Errorf("%s has %d reports, want 2", id, n)
		}
	}
}

// A peer that is gone says nothing more. What it had at a runner is dropped at
// the next word of any other, or its runs would take room for ever.
func TestSilentPeersLoadIsDropped(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, inDomains(1, "a"))
	say := func(now time.Time, daemon string, tokens int) {
		s.SetPeerLoad(now, &port.DaemonLoad{Daemon: daemon, Runners: []port.RunnerLoad{{EndpointID: "runner-0", Runs: 1, Tokens: tokens}}})
	}
	say(start, "gone", 9000)
	say(at(time.Second), "here", 100)
	r := s.routes.Load().byEndpoint["runner-0"]
	if r.elseContext != 9100 {
		t.Fatalf("%v tokens of others, want 9100", r.elseContext)
	}
	say(at(peerMaxAge), "here", 200)
	if r.elseContext != 200 || r.elseCount != 1 {
		t.Fatalf("%v tokens of %v runs of others, want 200 of 1", r.elseContext, r.elseCount)
	}
	say(at(peerMaxAge), "here", 300)
	if r.elseContext != 300 {
		t.Fatalf("%v tokens of others, want 300", r.elseContext)
	}
}

// A late report can't tell this daemon's runs from those that others have
// begun since; where they say so themselves the report changes nothing of it.
func TestPeersWordGoesBeforeAReportsRest(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, inDomains(1, "a"))
	s.SetPeerLoad(start, &port.DaemonLoad{Daemon: "d", Runners: []port.RunnerLoad{{EndpointID: "runner-0", Runs: 1, Tokens: 500}}})
	settle(s, at(time.Second), 0, 900, 10)
	if r := s.routes.Load().byEndpoint["runner-0"]; r.elseContext != 500 || r.elseCount != 1 {
		t.Fatalf("%v tokens of %v runs of others, want 500 of 1", r.elseContext, r.elseCount)
	}
}
