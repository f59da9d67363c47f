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
		{"two crashes may be chance", []Suspect{suspect(1, 10, 11)}, nil},
		{"three crashes", []Suspect{suspect(1, 10, 11, 12)}, []int{1}},
		{"others shared some of them", []Suspect{suspect(1, 10, 11, 12), suspect(2, 10, 11), suspect(3, 12)}, []int{1}},
		{"one shared all of them: nothing tells which it was", []Suspect{suspect(1, 10, 11, 12), suspect(2, 10, 11, 12)}, nil},
		{"the next crash tells", []Suspect{suspect(1, 10, 11, 12, 13), suspect(2, 10, 11, 12)}, []int{1}},
		{"one has a crash of another cause beside", []Suspect{suspect(1, 10, 11, 12), suspect(2, 11, 12, 20)}, nil},
		{"and is acquitted once the other has one more", []Suspect{suspect(1, 10, 11, 12, 13), suspect(2, 11, 12, 20)}, []int{1}},
		{"two that crash endpoints by themselves", []Suspect{suspect(1, 10, 11, 12), suspect(2, 20, 21, 22)}, []int{1, 2}},
		{"two that can't be told apart have crashed enough", []Suspect{suspect(1, 10, 11, 12, 13, 14), suspect(2, 10, 11, 12, 13, 14)}, []int{1, 2}},
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

// endpoints is a small fleet in which some requests crash whatever runs them.
type fleet struct {
	fatal    []bool
	suspects []Suspect
	// crashes counts those under each request, shared those since it completed
	// last at which it ran beside one that is fatal.
	crashes, shared []int
	next            CrashID
}

// together has requests run at one endpoint at the same time.
func (f *fleet) together(requests []int) {
	crash := slices.ContainsFunc(requests, func(n int) bool { return f.fatal[n] })
	f.next++
	for _, n := range requests {
		s := &f.suspects[n]
		if !crash {
			s.Cleared, s.Crashes, f.shared[n] = s.Cleared+1, nil, 0
			continue
		}
		s.Crashes = Union(s.Crashes, []CrashID{f.next})
		f.crashes[n]++
		f.shared[n]++
	}
}

// Guards against a fatal request that is never found, and harmless ones that are quarantined with it.
func TestEvaluateFindsWhatCrashesEndpoints(t *testing.T) {
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
				if held && !f.fatal[n] && f.shared[n] < quarantineTiedAfter {
					t.Fatalf("request %d is held back after %d crashes that it shared: %v", n, f.shared[n], f.suspects)
				}
				if !held && rapid.Bool().Draw(t, "sent") {
					sent = append(sent, n)
				}
			}
			f.together(sent)
			if f.crashes[0] > quarantineTiedAfter {
				t.Fatalf("%d endpoints crashed: %v", f.crashes[0], f.suspects)
			}
		}
	})
}

// The same for two requests that crash endpoints, often the same ones.
func TestEvaluateFindsTwoThatCrashTogether(t *testing.T) {
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
			f.together(sent)
			for n := range 2 {
				if f.crashes[n] > quarantineTiedAfter {
					t.Fatalf("request %d crashed %d endpoints: %v", n, f.crashes[n], f.suspects)
				}
			}
		}
	})
}

func TestSuspectsAreASemilattice(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Suspect {
		return Suspect{
			Fingerprint: fingerprint(1), Cleared: rapid.Uint32Range(0, 2).Draw(t, "cleared"),
			Crashes:  Union(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) CrashID { return CrashID(rapid.IntRange(1, 20).Draw(t, "id")) }), 0, 12).Draw(t, "crashes"), nil),
			Renewals: rapid.Uint32Range(0, 2).Draw(t, "renewals"),
		}
	})
	order := Order{}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		for law, sides := range map[string][2]Suspect{
			"commutative": {order.Join(a, b), order.Join(b, a)},
			"idempotent":  {order.Join(a, a), a},
			"associative": {order.Join(order.Join(a, b), c), order.Join(a, order.Join(b, c))},
			"absorbs":     {order.Join(a, order.Join(a, b)), order.Join(a, b)},
		} {
			if order.Hash(sides[0]) != order.Hash(sides[1]) {
				t.Fatalf("%s:\n%+v\n%+v", law, sides[0], sides[1])
			}
		}
	})
}
