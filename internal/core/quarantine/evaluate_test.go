package quarantine

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func fingerprint(n int) Fingerprint { return Fingerprint{byte(n), byte(n >> 8), 1} }

func suspect(n int, crashes ...CrashID) Suspect {
	return Suspect{Fingerprint: fingerprint(n), Crashes: crashes}
}

func TestEvaluate(t *testing.T) {
	cases := []struct {
		name     string
		suspects []Suspect
		want     []int
	}{
		{"nothing", nil, nil},
		{"two crashes are not enough", []Suspect{suspect(1, 10, 11)}, nil},
		{"three crashes", []Suspect{suspect(1, 10, 11, 12)}, []int{1}},
		{"others share some of the crashes", []Suspect{suspect(1, 10, 11, 12), suspect(2, 10, 11), suspect(3, 12)}, []int{1}},
		{"two with the same three crashes are ambiguous", []Suspect{suspect(1, 10, 11, 12), suspect(2, 10, 11, 12)}, nil},
		{"a fourth crash of one resolves the ambiguity", []Suspect{suspect(1, 10, 11, 12, 13), suspect(2, 10, 11, 12)}, []int{1}},
		{"two that also have a crash of their own are ambiguous", []Suspect{suspect(1, 10, 11, 12), suspect(2, 11, 12, 20)}, nil},
		{"one with a crash of its own is not quarantined once the other has four", []Suspect{suspect(1, 10, 11, 12, 13), suspect(2, 11, 12, 20)}, []int{1}},
		{"two with separate crashes", []Suspect{suspect(1, 10, 11, 12), suspect(2, 20, 21, 22)}, []int{1, 2}},
		{"two with the same five crashes", []Suspect{suspect(1, 10, 11, 12, 13, 14), suspect(2, 10, 11, 12, 13, 14)}, []int{1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var want []Fingerprint
			for _, n := range c.want {
				want = append(want, fingerprint(n))
			}
			got := Evaluate(c.suspects)
			slices.SortFunc(got, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
			if !slices.Equal(got, want) {
				t.Fatalf("quarantined %v, want %v", got, want)
			}
		})
	}
}

// fleet is a set of endpoints at which some requests crash whatever runs them.
type fleet struct {
	fatal    []bool
	suspects []Suspect
	// crashes counts the crashes under each request; shared counts those since its
	// last completion in which a fatal request ran as well.
	crashes, shared []int
	lastCrash       CrashID
}

// runTogether runs requests at the same time at one endpoint, which crashes if one
// of them is fatal.
func (f *fleet) runTogether(requests []int) {
	crash := slices.ContainsFunc(requests, func(n int) bool { return f.fatal[n] })
	f.lastCrash++
	for _, n := range requests {
		s := &f.suspects[n]
		if !crash {
			s.Cleared, s.Crashes, f.shared[n] = s.Cleared+1, nil, 0
			continue
		}
		s.Crashes = Union(s.Crashes, []CrashID{f.lastCrash})
		f.crashes[n]++
		f.shared[n]++
	}
}

// Guards against a fatal request that is never quarantined, and against harmless
// ones that are quarantined with it.
func TestEvaluateFindsFatalRequest(t *testing.T) {
	const requests = 8
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{fatal: make([]bool, requests), suspects: make([]Suspect, requests), crashes: make([]int, requests), shared: make([]int, requests)}
		f.fatal[0] = true
		for n := range requests {
			f.suspects[n].Fingerprint = fingerprint(n)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			quarantined := Evaluate(f.suspects)
			var sent []int
			for n := range requests {
				held := slices.Contains(quarantined, fingerprint(n))
				if held && !f.fatal[n] && f.shared[n] < quarantineAmbiguousAfter {
					t.Fatalf("harmless request %d is quarantined after %d shared crashes: %v", n, f.shared[n], f.suspects)
				}
				if !held && rapid.Bool().Draw(t, "sent") {
					sent = append(sent, n)
				}
			}
			f.runTogether(sent)
			if f.crashes[0] > quarantineAmbiguousAfter {
				t.Fatalf("the fatal request crashed %d endpoints before its quarantine: %v", f.crashes[0], f.suspects)
			}
		}
	})
}

// Like TestEvaluateFindsFatalRequest, with two fatal requests that often run in the
// same crashes.
func TestEvaluateFindsTwoFatalRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests = 5
		f := &fleet{fatal: make([]bool, requests), suspects: make([]Suspect, requests), crashes: make([]int, requests), shared: make([]int, requests)}
		f.fatal[0], f.fatal[1] = true, true
		for n := range requests {
			f.suspects[n].Fingerprint = fingerprint(n)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			quarantined := Evaluate(f.suspects)
			var sent []int
			for n := range requests {
				if !slices.Contains(quarantined, fingerprint(n)) && rapid.Bool().Draw(t, "sent") {
					sent = append(sent, n)
				}
			}
			f.runTogether(sent)
			for n := range 2 {
				if f.crashes[n] > quarantineAmbiguousAfter {
					t.Fatalf("fatal request %d crashed %d endpoints before its quarantine: %v", n, f.crashes[n], f.suspects)
				}
			}
		}
	})
}

func TestSuspectJoinIsSemilattice(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Suspect {
		return Suspect{
			Fingerprint: fingerprint(1), Cleared: rapid.Uint32Range(0, 2).Draw(t, "cleared"),
			Crashes:  Union(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) CrashID { return CrashID(rapid.IntRange(1, 20).Draw(t, "id")) }), 0, 12).Draw(t, "crashes"), nil),
			Renewals: rapid.Uint32Range(0, 2).Draw(t, "renewals"),
		}
	})
	order := SuspectOrder{}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		for property, sides := range map[string][2]Suspect{
			"commutative": {order.Join(a, b), order.Join(b, a)},
			"idempotent":  {order.Join(a, a), a},
			"associative": {order.Join(order.Join(a, b), c), order.Join(a, order.Join(b, c))},
			"absorptive":  {order.Join(a, order.Join(a, b)), order.Join(a, b)},
		} {
			if order.Hash(sides[0]) != order.Hash(sides[1]) {
				t.Fatalf("join is not %s:\n%+v\n%+v", property, sides[0], sides[1])
			}
		}
	})
}
