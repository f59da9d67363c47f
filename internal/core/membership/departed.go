package membership

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// keptDeparted is how many endpoints that have left are remembered at least,
	// the last ones by the registry's revision.
	keptDeparted = 512
	// departedChunk are the revisions, a power of two, whose departures are
	// forgotten together: daemons then seldom hold different ones.
	departedChunk = 1024
)

// Forgettable lists the endpoints that have left so long ago that they can be
// forgotten. It follows from the entries alone, so that daemons that hold the same
// forget the same. Those without a revision are never among them.
func Forgettable(all iter.Seq[Endpoint]) []string {
	var departed []Endpoint
	for e := range all {
		if e.State != port.EndpointLive && e.Revision > 0 {
			departed = append(departed, e)
		}
	}
	if len(departed) <= keptDeparted {
		return nil
	}
	slices.SortFunc(departed, func(a, b Endpoint) int { return cmp.Compare(b.Revision, a.Revision) })
	floor := departed[keptDeparted-1].Revision / departedChunk * departedChunk
	var out []string
	for i := range departed {
		if departed[i].Revision < floor {
			out = append(out, departed[i].ID)
		}
	}
	return out
}
