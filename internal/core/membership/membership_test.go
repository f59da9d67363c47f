package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func TestDetermineState(t *testing.T) {
	const short = 3 * time.Second
	cases := []struct {
		name      string
		evidence  ProbeEvidence
		state     port.MemberState
		condition Condition
	}{
		{"link cut, other probes answered", ProbeEvidence{ProbeUnreachable, []ProbeResult{ProbeAnswered}, DeadAfter}, port.MemberLive, ConditionLinkCut},
		{"host refuses", ProbeEvidence{ProbeRefused, nil, short}, port.MemberDead, ConditionRefused},
		{"link cut, host refuses another probe", ProbeEvidence{ProbeUnreachable, []ProbeResult{ProbeRefused}, short}, port.MemberDead, ConditionRefused},
		{"frozen", ProbeEvidence{ProbeAccepted, []ProbeResult{ProbeAccepted}, short}, port.MemberSuspect, ConditionFrozen},
		{"link cut, frozen for another probe", ProbeEvidence{ProbeUnreachable, []ProbeResult{ProbeAccepted}, short}, port.MemberSuspect, ConditionFrozen},
		{"frozen for DeadAfter", ProbeEvidence{ProbeAccepted, nil, DeadAfter}, port.MemberDead, ConditionFrozen},
		{"unreachable", ProbeEvidence{ProbeUnreachable, []ProbeResult{ProbeUnreachable}, short}, port.MemberSuspect, ConditionUnreachable},
		{"unreachable for DeadAfter", ProbeEvidence{ProbeUnreachable, nil, DeadAfter}, port.MemberDead, ConditionUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, condition := DetermineState(c.evidence)
			if state != c.state || condition != c.condition {
				t.Fatalf("got %s %s, want %s %s", state, condition, c.state, c.condition)
			}
		})
	}
}

func TestHeartbeats(t *testing.T) {
	h := NewHeartbeats()
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h.Record(at(0), Heartbeat{ID: "m", Incarnation: 1, Sequence: 1, HighestVersion: 5})
	h.Record(at(1), Heartbeat{ID: "m", Incarnation: 1, Sequence: 2, HighestVersion: 5})
	if v, _ := h.Get("m"); !v.InForceSince.Equal(at(0)) || !v.At.Equal(at(1)) {
		t.Fatalf("got %+v", v)
	}
	h.Record(at(9), Heartbeat{ID: "m", Incarnation: 1, Sequence: 1})
	if v, _ := h.Get("m"); !v.At.Equal(at(1)) {
		t.Fatal("a late heartbeat changed the time of the last heartbeat")
	}
	if got := h.Overdue(at(3), 3*time.Second, time.Second); len(got) != 0 {
		t.Fatalf("overdue before the limit: %+v", got)
	}
	h.StreamClosed("m", 1, 2)
	if got := h.Overdue(at(2), 3*time.Second, time.Second); len(got) != 1 {
		t.Fatal("member with a closed stream is not overdue after the grace period")
	}
	h.Record(at(2), Heartbeat{ID: "m", Incarnation: 1, Sequence: 3})
	h.StreamClosed("m", 1, 2)
	if got := h.Overdue(at(3), 3*time.Second, time.Second); len(got) != 0 {
		t.Fatal("the end of the old stream marked the new one as closed")
	}
	if got := h.Overdue(at(5), 3*time.Second, time.Second); len(got) != 1 {
		t.Fatal("member without heartbeats is not overdue after the limit")
	}
}

func makeKeepers(n, domains int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("k%03d", i), Role: port.RoleKeeper, State: port.MemberLive, FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return out
}

// For any set of live keepers, the links that they open connect all of them,
// with at most two opened links per keeper and a bounded number of hops.
func TestRingConnectsAllKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := makeKeepers(80, 7)
		remaining := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 80, func(m Member) string { return m.ID }).Draw(t, "remaining")
		links := map[string][]string{}
		ring := NewRing(remaining)
		for _, k := range remaining {
			opened := ring.Neighbours(k.ID)
			if len(opened) > 2 {
				t.Fatalf("%s opens %d links", k.ID, len(opened))
			}
			for _, n := range opened {
				links[k.ID] = append(links[k.ID], n.ID)
				links[n.ID] = append(links[n.ID], k.ID)
				if !ring.Connects(k.ID, n.ID) {
					t.Fatalf("%s is a neighbour that %s connects to, but Joins is false", n.ID, k.ID)
				}
			}
		}
		hops := map[string]int{remaining[0].ID: 0}
		maxHops := 0
		for queue := []string{remaining[0].ID}; len(queue) > 0; queue = queue[1:] {
			for _, next := range links[queue[0]] {
				if _, seen := hops[next]; seen {
					continue
				}
				hops[next] = hops[queue[0]] + 1
				maxHops = max(maxHops, hops[next])
				queue = append(queue, next)
			}
		}
		if len(hops) != len(remaining) {
			t.Fatalf("%d of %d keepers are connected", len(hops), len(remaining))
		}
		bound := 2
		for bound*bound < 4*len(remaining) {
			bound++
		}
		if maxHops > bound {
			t.Fatalf("%d hops among %d keepers, want at most %d", maxHops, len(remaining), bound)
		}
	})
}

// A watcher that can't reach the platform is replaced by another keeper. When no
// keeper can reach it, blind keepers are still chosen, so that some keep trying.
func TestWatchersExcludeBlindKeepers(t *testing.T) {
	keepers := makeKeepers(5, 5)
	before := Watchers(keepers, 2)
	for i := range keepers {
		keepers[i].PlatformUnreachable = keepers[i].ID == before[0]
	}
	after := Watchers(keepers, 2)
	if len(after) != 2 || after[0] != before[1] || after[1] == before[0] {
		t.Fatalf("watchers %v; after %s became blind: %v", before, before[0], after)
	}
	for i := range keepers {
		keepers[i].PlatformUnreachable = true
	}
	if got := Watchers(keepers, 2); len(got) != 2 {
		t.Fatalf("watchers %v with all keepers blind, want 2", got)
	}
}

func TestWatchersSpreadOverFailureDomains(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 24, 80} {
		keepers := makeKeepers(n, 5)
		got := Watchers(keepers, 3)
		if len(got) != min(3, n) {
			t.Fatalf("%d keepers: %d watchers", n, len(got))
		}
		if n < 6 {
			continue
		}
		domains := map[string]bool{}
		for _, id := range got {
			for _, k := range keepers {
				if k.ID == id {
					domains[k.FailureDomain] = true
				}
			}
		}
		if len(domains) != 3 {
			t.Fatalf("%d keepers: watchers in %d domains", n, len(domains))
		}
	}
}
