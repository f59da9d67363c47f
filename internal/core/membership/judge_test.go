package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func TestJudge(t *testing.T) {
	const short = 3 * time.Second
	cases := []struct {
		name      string
		evidence  Evidence
		state     port.MemberState
		condition Condition
	}{
		{"a cut link: others get through", Evidence{ProbeUnreachable, []ProbeResult{ProbeAnswered}, DeadAfter}, port.MemberLive, ConditionLinkCut},
		{"dead: its host refuses", Evidence{ProbeRefused, nil, short}, port.MemberDead, ConditionRefused},
		{"dead behind a cut link", Evidence{ProbeUnreachable, []ProbeResult{ProbeRefused}, short}, port.MemberDead, ConditionRefused},
		{"frozen", Evidence{ProbeAccepted, []ProbeResult{ProbeAccepted}, short}, port.MemberSuspect, ConditionFrozen},
		{"frozen behind a cut link", Evidence{ProbeUnreachable, []ProbeResult{ProbeAccepted}, short}, port.MemberSuspect, ConditionFrozen},
		{"frozen for long", Evidence{ProbeAccepted, nil, DeadAfter}, port.MemberDead, ConditionFrozen},
		{"nobody gets through", Evidence{ProbeUnreachable, []ProbeResult{ProbeUnreachable}, short}, port.MemberSuspect, ConditionUnreachable},
		{"nobody, for long", Evidence{ProbeUnreachable, nil, DeadAfter}, port.MemberDead, ConditionUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, condition := Judge(c.evidence)
			if state != c.state || condition != c.condition {
				t.Fatalf("got %s %s, want %s %s", state, condition, c.state, c.condition)
			}
		})
	}
}

func TestHearing(t *testing.T) {
	h := NewHearing()
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h.Beat(at(0), Beat{ID: "m", Incarnation: 1, Sequence: 1, HighestVersion: 5})
	h.Beat(at(1), Beat{ID: "m", Incarnation: 1, Sequence: 2, HighestVersion: 5})
	if v, _ := h.Get("m"); !v.InForceSince.Equal(at(0)) || !v.At.Equal(at(1)) {
		t.Fatalf("got %+v", v)
	}
	h.Beat(at(9), Beat{ID: "m", Incarnation: 1, Sequence: 1})
	if v, _ := h.Get("m"); !v.At.Equal(at(1)) {
		t.Fatal("a late heartbeat counted as life")
	}
	if got := h.Overdue(at(3), 3*time.Second, time.Second); len(got) != 0 {
		t.Fatalf("overdue too soon: %+v", got)
	}
	h.Closed("m", 1, 2)
	if got := h.Overdue(at(2), 3*time.Second, time.Second); len(got) != 1 {
		t.Fatal("a closed stream is not overdue after its grace")
	}
	h.Beat(at(2), Beat{ID: "m", Incarnation: 1, Sequence: 3})
	h.Closed("m", 1, 2)
	if got := h.Overdue(at(3), 3*time.Second, time.Second); len(got) != 0 {
		t.Fatal("the end of the old stream closed the new one")
	}
	if got := h.Overdue(at(5), 3*time.Second, time.Second); len(got) != 1 {
		t.Fatal("silence is not overdue")
	}
}

func keepersOf(n, domains int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("k%03d", i), Role: port.RoleKeeper, State: port.MemberLive, FailureDomain: fmt.Sprintf("d%d", i%domains)}
	}
	return out
}

// Whatever keepers are left, each can reach each over the links that they
// open by themselves, within a bounded number of hops and links.
func TestRingJoinsAllKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := keepersOf(80, 7)
		left := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 80, func(m Member) string { return m.ID }).Draw(t, "left")
		links := map[string][]string{}
		ring := NewRing(left)
		for _, k := range left {
			opened := ring.Neighbours(k.ID)
			if len(opened) > 2 {
				t.Fatalf("%s opens %d links", k.ID, len(opened))
			}
			for _, n := range opened {
				links[k.ID] = append(links[k.ID], n.ID)
				links[n.ID] = append(links[n.ID], k.ID)
				if !ring.Joins(k.ID, n.ID) {
					t.Fatalf("%s doesn't know that %s connects to it", n.ID, k.ID)
				}
			}
		}
		hops := map[string]int{left[0].ID: 0}
		furthest := 0
		for queue := []string{left[0].ID}; len(queue) > 0; queue = queue[1:] {
			for _, next := range links[queue[0]] {
				if _, seen := hops[next]; seen {
					continue
				}
				hops[next] = hops[queue[0]] + 1
				furthest = max(furthest, hops[next])
				queue = append(queue, next)
			}
		}
		if len(hops) != len(left) {
			t.Fatalf("%d of %d keepers are joined", len(hops), len(left))
		}
		bound := 2
		for bound*bound < 4*len(left) {
			bound++
		}
		if furthest > bound {
			t.Fatalf("%d hops among %d keepers, want at most %d", furthest, len(left), bound)
		}
	})
}

// A watcher that can't reach the platform says so, and another watches in its
// place; when none can, all stay in the order, as one of them has to try.
func TestBlindKeepersDoNotWatch(t *testing.T) {
	keepers := keepersOf(5, 5)
	first := Watchers(keepers, 2)
	for i := range keepers {
		keepers[i].Blind = keepers[i].ID == first[0]
	}
	second := Watchers(keepers, 2)
	if len(second) != 2 || second[0] != first[1] || second[1] == first[0] {
		t.Fatalf("first %v, with %s blind %v", first, first[0], second)
	}
	for i := range keepers {
		keepers[i].Blind = true
	}
	if got := Watchers(keepers, 2); len(got) != 2 {
		t.Fatalf("nobody sees and %v watch", got)
	}
}

func TestWatchersSpreadOverDomainsAndStayFew(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 24, 80} {
		keepers := keepersOf(n, 5)
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
