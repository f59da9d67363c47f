package membership

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// minKeptDepartures is the minimum number of departed endpoints to keep, those
	// with the largest registry revisions.
	minKeptDepartures = 512
	// departureChunkRevisions is the granularity, in revisions and a power of two,
	// at which departed endpoints are removed. Rounding to it makes daemons seldom
	// keep different ones.
	departureChunkRevisions = 1024
)

// PrunableDepartures returns the ids of the endpoints that departed so long ago that
// they can be removed. The result depends on the entries alone, so daemons with
// equal entries remove the same ones. Endpoints without a revision are never
// returned, and neither are those that the registry still lists as live: removed, they
// would be live again at the next list.
func PrunableDepartures(all iter.Seq[Endpoint]) []string {
	var departed []Endpoint
	for e := range all {
		if e.State != port.EndpointLive && !e.StillListed && e.Revision > 0 {
			departed = append(departed, e)
		}
	}
	if len(departed) <= minKeptDepartures {
		return nil
	}
	slices.SortFunc(departed, func(a, b Endpoint) int { return cmp.Compare(b.Revision, a.Revision) })
	floor := departed[minKeptDepartures-1].Revision / departureChunkRevisions * departureChunkRevisions
	var out []string
	for i := range departed {
		if departed[i].Revision < floor {
			out = append(out, departed[i].ID)
		}
	}
	return out
}
