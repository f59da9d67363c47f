package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against leading callers to daemons without paths, or all to the few with one.
func TestEntryPrefersDaemonsWithPaths(t *testing.T) {
	plain, both := []string{"plain"}, []string{"engines", "plain"}
	for _, c := range []struct {
		name string
		// lost holds the lost pools of each daemon, the first of which is asked.
		lost [][]string
		want []int
	}{
		{"none", [][]string{nil, nil, nil, nil}, []int{0, 1, 2, 3}},
		{"half of the others", [][]string{nil, both, nil, both}, []int{0, 2}},
		{"the daemon that is asked", [][]string{both, nil, nil, nil}, []int{1, 2, 3}},
		{"one service", [][]string{nil, nil, plain, nil}, []int{0, 1, 3}},
		{"most", [][]string{both, both, nil, both}, []int{0, 1, 2, 3}},
		{"a service that nobody reaches", [][]string{plain, plain, plain, plain}, []int{0, 1, 2, 3}},
		{"a service that nobody reaches, and another", [][]string{plain, both, plain, plain}, []int{0, 2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			for _, pool := range c.lost[0] {
				b.losePool(pool)
			}
			for i, lost := range c.lost[1:] {
				b.view.members = append(b.view.members, port.Member{
					ID: fmt.Sprint("d", i+1), State: port.MemberLive, CallerAddress: fmt.Sprint("127.0.0.1:", i+2), LostPools: lost,
				})
			}
			var want []string
			for _, i := range c.want {
				want = append(want, fmt.Sprint("127.0.0.1:", i+1))
			}
			got, _ := b.Entry("z")
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}

// unevenMembers returns daemons of two failure domains, each with 4 large hosts and 16
// small ones, and one that is leaving, one that is suspect and one that is joining.
func unevenMembers() []port.Member {
	var out []port.Member
	for i := range 40 {
		m := port.Member{
			ID: fmt.Sprint("d", i), State: port.MemberLive, CallerAddress: fmt.Sprint("127.0.0.1:", 1000+i),
			FailureDomain: []string{"near", "far"}[i%2], Capacity: port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000},
		}
		if i < 8 {
			m.Capacity = port.HostCapacity{ProcessorMilli: 800, LinkKbps: 200_000}
		}
		out = append(out, m)
	}
	for i, state := range []port.MemberState{port.MemberLeaving, port.MemberSuspect, port.MemberJoining, port.MemberDead} {
		out = append(out, port.Member{
			ID: fmt.Sprint("x", i), State: state, CallerAddress: fmt.Sprint("127.0.0.1:", 2000+i), FailureDomain: "near",
			Capacity: port.HostCapacity{ProcessorMilli: 800, LinkKbps: 200_000},
		})
	}
	return out
}

// Guards against small hosts with as many callers as large ones, callers who leave their
// failure domain, and hosts that are named only because they are large.
func TestEntryLeavesSmallHostsOut(t *testing.T) {
	b := newHarness(t)
	now := time.Now()
	b.Clock = func() time.Time { return now }
	b.view.members = append(unevenMembers(), port.Member{
		ID: "g", State: port.MemberLive, CallerAddress: "127.0.0.1:1", Capacity: port.HostCapacity{ProcessorMilli: 800, LinkKbps: 200_000},
	})
	first, _ := b.Entry("near")
	if len(first) >= 30 || len(first) < 9 {
		t.Errorf("%d addresses of 41 hosts", len(first))
	}
	for i := range 8 {
		if address := fmt.Sprint("127.0.0.1:", 1000+i); !slices.Contains(first, address) {
			t.Errorf("the large host %s is left out", address)
		}
	}
	if !slices.Contains(first, "127.0.0.1:1") {
		t.Error("the daemon that is asked is left out, although it is large")
	}
	// Hosts with an even number are near.
	farSeen := false
	for _, address := range first {
		var n int
		if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &n); err != nil || n >= 2000 {
			t.Fatalf("%s is named", address)
		}
		isNear := n == 1 || n%2 == 0
		if farSeen && isNear {
			t.Fatalf("%s comes after another failure domain: %v", address, first)
		}
		farSeen = farSeen || !isNear
	}
	slices.Sort(first)
	for range 20 {
		next, _ := b.Entry("near")
		if slices.Sort(next); !slices.Equal(next, first) {
			t.Fatalf("answers differ at the same moment:\n%v\n%v", first, next)
		}
	}
}

// Guards against answers that change at once when all hosts announce other loads.
func TestEntryChangesSlowlyWithLoads(t *testing.T) {
	b := newHarness(t)
	now := time.Now()
	b.Clock = func() time.Time { return now }
	// With the large hosts at full load, most of the small ones are named.
	b.view.members = unevenMembers()
	for i := range 8 {
		b.view.members[i].LoadPercent = 100
	}
	before, _ := b.Entry("near")
	b.view.members = unevenMembers()
	total := 0
	for range 6 {
		now = now.Add(time.Second)
		after, _ := b.Entry("near")
		left := 0
		for _, address := range before {
			if !slices.Contains(after, address) {
				left++
			}
		}
		if left > len(before)/4 {
			t.Errorf("%d of %d addresses left within a second", left, len(before))
		}
		total += left
		before = after
	}
	if total < 10 {
		t.Errorf("%d hosts left after the large ones became idle", total)
	}
	decided := b.sink.All()
	if !slices.ContainsFunc(decided, func(d port.DecisionRecord) bool { return d.Subject == subjectDirectory && d.SubjectID == "near" }) {
		t.Error("the change is not recorded")
	}
}

// losePool makes all connects to the endpoints of a pool fail.
func (b *harness) losePool(pool string) {
	for _, id := range b.endpointTable.usableIDs(pool) {
		e, _ := b.endpointTable.get(id)
		b.ObservePath(e.Endpoint, port.PathConnectFailed, errReset)
	}
}

// Guards against daemons that keep announcing lost paths after they are back.
func TestLostPoolsArePublished(t *testing.T) {
	b := newHarness(t)
	b.view.members = []port.Member{{ID: "g", State: port.MemberLive}}
	b.losePool("plain")
	if got := b.view.Members()[0].LostPools; !slices.Equal(got, []string{"plain"}) {
		t.Fatalf("published %v", got)
	}
	e, _ := b.endpointTable.get("s1")
	b.ObservePath(e.Endpoint, port.PathReached, nil)
	if got := b.view.Members()[0].LostPools; len(got) != 0 {
		t.Fatalf("published %v after a path is back", got)
	}
	if b.paths.AnsweredSince("plain", time.Now().Add(-time.Minute)) != true {
		t.Fatal("the answer is not known")
	}
}
