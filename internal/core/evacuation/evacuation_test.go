package evacuation

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func order(domain, kind string) Evacuation { return Evacuation{FailureDomain: domain, Kind: kind} }

// Guards against using a failure domain while another order still evacuates it.
func TestDomainIsEvacuatedUntilLastOrderIsWithdrawn(t *testing.T) {
	both := NewSet([]Evacuation{order("a", "x"), order("a", "y"), order("b", "x")})
	one := NewSet([]Evacuation{order("a", "y")})
	if c := both.ChangesTo(one); !slices.Equal(c.Withdrawn, []string{"b"}) || len(c.Evacuated) != 0 {
		t.Fatalf("%+v", c)
	}
	if !one.Mark(port.Endpoint{FailureDomain: "a"}).Evacuated || one.Mark(port.Endpoint{FailureDomain: "b", Evacuated: true}).Evacuated {
		t.Fatal("Mark doesn't match the state of the failure domain")
	}
	if got := both.All(); len(got) != 3 || got[0].FailureDomain != "a" || got[0].Kind != "x" || got[2].FailureDomain != "b" {
		t.Fatalf("%+v", got)
	}
}

// Guards against changes that miss a domain or list one whose state is the same.
func TestChangesListDomainsThatDiffer(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Set {
		var in []Evacuation
		for _, domain := range []string{"a", "b", "c"} {
			for _, kind := range []string{"x", "y"} {
				if rapid.Bool().Draw(t, domain+kind) {
					in = append(in, order(domain, kind))
				}
			}
		}
		return NewSet(in)
	})
	rapid.Check(t, func(t *rapid.T) {
		before, next := draw.Draw(t, "before"), draw.Draw(t, "next")
		changes := before.ChangesTo(next)
		for _, domain := range []string{"a", "b", "c"} {
			if changes.Concerns(domain) != (before.Has(domain) != next.Has(domain)) {
				t.Fatalf("domain %q: changes %+v, from %v to %v", domain, changes, before, next)
			}
			if slices.Contains(changes.Evacuated, domain) != (next.Has(domain) && !before.Has(domain)) {
				t.Fatalf("domain %q: changes %+v", domain, changes)
			}
		}
	})
}
