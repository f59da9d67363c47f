package hostweight

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const answerLimit = 64

var (
	start = time.Unix(1_700_000_000, 0)
	small = port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000}
	large = port.HostCapacity{ProcessorMilli: 800, LinkKbps: 200_000}
)

// newHosts returns hosts of two failure domains, each with some small and large ones.
func newHosts(smallPerDomain, largePerDomain int) []Host {
	var out []Host
	for _, near := range []bool{true, false} {
		for i := range smallPerDomain + largePerDomain {
			h := Host{ID: fmt.Sprint(near, "-", i), Near: near, Capacity: small}
			if i < largePerDomain {
				h.Capacity = large
			}
			out = append(out, h)
		}
	}
	return out
}

// newTestSelection returns the selection of one of several daemons.
func newTestSelection(daemon uint64) *Selection {
	numbers := rand.New(rand.NewPCG(daemon, 1))
	return NewSelection(answerLimit, func(string) float64 { return numbers.Float64() })
}

func selectedIDs(hosts []Host, r *Result) []string {
	var out []string
	for i := range hosts {
		if r.Selected[i] {
			out = append(out, hosts[i].ID)
		}
	}
	return out
}

func countMissing(ids, from []string) int {
	n := 0
	for _, id := range ids {
		if !slices.Contains(from, id) {
			n++
		}
	}
	return n
}

// Guards against hosts that get no callers, or most of them, whatever they announce.
func TestSharesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-6, 1e6), 1, 90).Draw(t, "weights")
		p := shares(weights)
		mean := 0.0
		for i := range p {
			mean += p[i] / float64(len(p))
		}
		for i := range p {
			if p[i] > 1 || p[i] < mean*minShare*(1-1e-4) || p[i] > mean*maxShare*(1+1e-4) {
				t.Fatalf("share %v with a mean of %v", p[i], mean)
			}
			for j := range p {
				if weights[i] > weights[j] && p[i] < p[j] {
					t.Fatalf("shares %v and %v for %v and %v", p[i], p[j], weights[i], weights[j])
				}
			}
		}
	})
}

// Guards against answers that change for fleets of equal hosts, and for fleets of an
// earlier build, whose capacities nobody knows.
func TestEqualHostsAreAllSelected(t *testing.T) {
	for name, hosts := range map[string][]Host{
		"one size": newHosts(30, 0), "none": nil, "one host": {{ID: "a", Near: true, Capacity: small}},
		"no capacity":      {{ID: "a"}, {ID: "b", Near: true}, {ID: "c"}},
		"one size or none": {{ID: "a", Capacity: small}, {ID: "b"}, {ID: "c", Capacity: small}},
		"one size a group": {{ID: "a", Near: true, Capacity: small}, {ID: "b", Capacity: large}, {ID: "c", Capacity: large}},
	} {
		for i := range hosts {
			hosts[i].LoadPercent = uint32(i%5) * LoadStep
		}
		r := newTestSelection(1).Update(start, hosts)
		if r.Uneven || slices.Contains(r.Selected, false) {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// Guards against callers that crowd at small hosts: over many daemons, each host must
// appear as often as its capacity asks for, and near hosts must not lose their part.
func TestHostsAppearByCapacity(t *testing.T) {
	const daemons = 400
	hosts := newHosts(16, 4)
	times := map[string]float64{}
	nearSelected, allSelected := 0, 0
	for d := range uint64(daemons) {
		r := newTestSelection(d).Update(start, hosts)
		for i := range hosts {
			if r.Selected[i] {
				times[hosts[i].ID]++
				allSelected++
				if hosts[i].Near {
					nearSelected++
				}
			}
		}
	}
	// The ratio of the processors, which differ less than the links.
	want := 144.0 / 800
	for i := range hosts {
		got := times[hosts[i].ID] / daemons
		switch {
		case hosts[i].Capacity == large && got != 1:
			t.Errorf("large host %s in %v of the answers", hosts[i].ID, got)
		case hosts[i].Capacity == small && math.Abs(got-want) > 0.08:
			t.Errorf("small host %s in %v of the answers, want %v", hosts[i].ID, got, want)
		}
	}
	if got := float64(nearSelected) / float64(allSelected); math.Abs(got-0.5) > 0.02 {
		t.Errorf("near hosts are %v of the answers, half of all hosts are near", got)
	}
}

// Guards against callers that leave their failure domain because its hosts are left out
// while the answer has room for more of the others.
func TestNearHostsKeepTheirPart(t *testing.T) {
	hosts := newHosts(26, 4)
	for i := range 30 {
		hosts = append(hosts, Host{ID: fmt.Sprint("third-", i), Capacity: hosts[i].Capacity})
	}
	// Without capacities, 30 of 64 addresses are near ones.
	const want = 30.0 / 64
	near, all := 0.0, 0.0
	for d := range uint64(200) {
		r := newTestSelection(d).Update(start, hosts)
		for i := range hosts {
			if r.Selected[i] {
				all++
				if hosts[i].Near {
					near++
				}
			}
		}
	}
	if got := near / all; got < want-0.02 {
		t.Errorf("near hosts are %v of the answers, want %v", got, want)
	}
}

// Guards against a host that one daemon never names, and against sets that are drawn
// again for each answer: callers would open new connections all the time.
func TestSmallHostsTakeTurns(t *testing.T) {
	hosts := newHosts(16, 4)
	s := newTestSelection(1)
	named := map[string]bool{}
	changes := 0
	for now := start; now.Before(start.Add(turnPeriod)); now = now.Add(time.Second) {
		r := s.Update(now, hosts)
		changes += len(r.Entered) + len(r.Left)
		for _, id := range selectedIDs(hosts, &r) {
			named[id] = true
		}
	}
	if len(named) != len(hosts) {
		t.Errorf("%d of %d hosts named within a turn", len(named), len(hosts))
	}
	// Each of 32 small hosts enters and leaves once.
	if changes > 70 {
		t.Errorf("%d changes within a turn", changes)
	}
}

// Guards against callers that all leave their hosts at once when loads change.
func TestLoadsChangeAtMostAQuarterPerSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := newHosts(rapid.IntRange(6, 40).Draw(t, "small"), rapid.IntRange(1, 5).Draw(t, "large"))
		s := newTestSelection(rapid.Uint64().Draw(t, "daemon"))
		const perSecond = 4
		var history [][]string
		for step := range 12 * perSecond {
			if step%(2*perSecond) == 0 {
				for i := range hosts {
					hosts[i].LoadPercent = rapid.Uint32Range(0, 4).Draw(t, "load") * LoadStep
				}
			}
			r := s.Update(start.Add(time.Duration(step)*time.Second/perSecond), hosts)
			history = append(history, selectedIDs(hosts, &r))
			if step < perSecond {
				continue
			}
			before := history[step-perSecond]
			// One host may always change.
			allowed := max(1, len(before)/4)
			if left := countMissing(before, history[step]); left > allowed {
				t.Fatalf("%d of %d left within a second", left, len(before))
			}
			if entered := countMissing(history[step], before); entered > allowed {
				t.Fatalf("%d entered within a second, beside %d", entered, len(before))
			}
		}
	})
}

// Guards against hosts that get no callers because all hosts of the domain are at full
// load: leaving them out would help none of them.
func TestFullLoadOfAllChangesNothing(t *testing.T) {
	hosts := newHosts(16, 4)
	idle := newTestSelection(3).Update(start, hosts)
	for i := range hosts {
		if hosts[i].Near {
			hosts[i].LoadPercent = fullLoad
		}
	}
	full := newTestSelection(3).Update(start, hosts)
	if !slices.Equal(idle.Selected, full.Selected) {
		t.Errorf("selected %v, %v without load", selectedIDs(hosts, &full), selectedIDs(hosts, &idle))
	}
}

// Guards against large hosts that are named as often under full load as when idle.
func TestLoadedHostsAppearLess(t *testing.T) {
	hosts := newHosts(0, 0)
	for i := range 12 {
		hosts = append(hosts, Host{ID: fmt.Sprint("h-", i), Near: true, Capacity: large, LoadPercent: uint32(i%2) * fullLoad})
	}
	hosts = append(hosts, Host{ID: "small", Near: true, Capacity: small})
	idle, loaded := 0, 0
	for d := range uint64(200) {
		r := newTestSelection(d).Update(start, hosts)
		for i := range 12 {
			switch {
			case !r.Selected[i]:
			case hosts[i].LoadPercent == 0:
				idle++
			default:
				loaded++
			}
		}
	}
	// A sixth by free capacity, raised to a third of the mean.
	if ratio := float64(loaded) / float64(idle); ratio < 0.15 || ratio > 0.3 {
		t.Errorf("loaded hosts appear %v times as often as idle ones", ratio)
	}
}

// Guards against callers that move away from the known hosts when many others join at
// once, against joined hosts without callers, and against hosts that stay named after
// they have gone.
func TestManyHostsJoinAndLeaveAtOnce(t *testing.T) {
	hosts := newHosts(20, 3)
	s := newTestSelection(5)
	r := s.Update(start, hosts)
	before := selectedIDs(hosts, &r)
	joined := slices.Clone(hosts)
	for i := range 30 {
		joined = append(joined, Host{ID: fmt.Sprint("new-", i), Near: i%2 == 0, Capacity: port.HostCapacity{ProcessorMilli: 480, LinkKbps: 25_000}})
	}
	r = s.Update(start.Add(100*time.Millisecond), joined)
	after := selectedIDs(joined, &r)
	if left := countMissing(before, after); left > len(before)/4 {
		t.Errorf("%d of %d known hosts left", left, len(before))
	}
	if entered := countMissing(after, before); entered < 10 {
		t.Errorf("%d of 30 joined hosts named", entered)
	}
	gone := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Capacity == large })
	gone = append(gone, Host{ID: "other", Capacity: large})
	r = s.Update(start.Add(200*time.Millisecond), gone)
	if got := selectedIDs(gone, &r); len(got) < minGroup*2 {
		t.Errorf("%v named after the large hosts have gone", got)
	}
}

// Guards against single addresses, which leave callers without a host when it ends.
func TestGroupsKeepASecondAddress(t *testing.T) {
	for d := range uint64(100) {
		s := newTestSelection(d)
		hosts := []Host{{ID: "a", Near: true, Capacity: large}, {ID: "b", Near: true, Capacity: small}, {ID: "c", Near: true, Capacity: small}}
		r := s.Update(start, hosts)
		if n := len(selectedIDs(hosts, &r)); n < minGroup {
			t.Fatalf("%d addresses", n)
		}
		r = s.Update(start, hosts[1:])
		if n := len(selectedIDs(hosts[1:], &r)); n != 2 {
			t.Fatalf("%d addresses of two hosts", n)
		}
	}
}

// Guards against hosts of an earlier build that count as the largest or the smallest.
func TestHostsWithoutACapacityCountAsTheMedian(t *testing.T) {
	middle := port.HostCapacity{ProcessorMilli: 400, LinkKbps: 50_000}
	hosts := []Host{{ID: "a", Capacity: small}, {ID: "b", Capacity: large}, {ID: "c", Capacity: middle}, {ID: "d"}, {ID: "e", Capacity: port.HostCapacity{ProcessorMilli: 400}}}
	got := sizes(hosts)
	if got[3] != got[2] || got[3] != 1 || got[4] != 1 {
		t.Errorf("sizes %v", got)
	}
	if free := freeSizes(hosts, got); free[3] != free[2] {
		t.Errorf("free sizes %v", free)
	}
}

// Guards against announcements that reach all daemons more often than every 2 s, or for
// a load that moves within a step.
func TestLoadIsAnnouncedInSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Load
		var used time.Duration
		var last time.Time
		for second := range 40 {
			now := start.Add(time.Duration(second) * time.Second)
			used += time.Duration(rapid.IntRange(0, 200).Draw(t, "used")) * time.Millisecond
			before := l.Announced
			if !l.Observe(now, used, 144) {
				if l.Announced != before {
					t.Fatal("changed without an announcement")
				}
				continue
			}
			if l.Announced%LoadStep != 0 || l.Announced > fullLoad || l.Announced == before || now.Sub(last) < 2*time.Second {
				t.Fatalf("announced %d after %d, %v after the last", l.Announced, before, now.Sub(last))
			}
			last = now
		}
	})
}

// Guards against loads that are announced late or never, or stay after the load has gone.
func TestLoadFollowsTheProcessorTime(t *testing.T) {
	var l Load
	used := 40 * time.Second
	// 90 of 100 ms are used for 8 s.
	want := []uint32{0, 0, 25, 25, 50, 50, 50, 75, 75, 75, 50, 50, 50, 25, 25, 25, 25, 25, 25, 25, 25, 0}
	for second := range want {
		if second >= 1 && second <= 8 {
			used += 90 * time.Millisecond
		}
		l.Observe(start.Add(time.Duration(second)*time.Second), used, 100)
		if l.Announced != want[second] {
			t.Errorf("second %d: announced %d with a mean of %.1f, want %d", second, l.Announced, l.Percent, want[second])
		}
	}
	if (&Load{}).Observe(start, time.Hour, 0) {
		t.Error("announced without a capacity")
	}
}

func BenchmarkUpdate(b *testing.B) {
	hosts := newHosts(40, 5)
	s := newTestSelection(1)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		s.Update(now, hosts)
	}
}
