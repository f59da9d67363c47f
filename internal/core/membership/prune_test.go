package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// departedEndpoint returns an endpoint that was removed at a revision.
func departedEndpoint(id string, revision port.StoreRevision) Endpoint {
	return Removed(Listed(port.Endpoint{ID: id, Incarnation: 1}), revision)
}

// Guards against removing endpoints that are live or departed recently, and
// against keeping departed endpoints without bound.
func TestPrunableDeparturesReturnsOnlyOldest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Endpoint
		live := rapid.IntRange(0, 50).Draw(t, "live")
		for i := range live {
			all = append(all, Listed(port.Endpoint{ID: fmt.Sprint("live-", i), Incarnation: 1, Revision: port.StoreRevision(i + 1)}))
		}
		unversioned := departedEndpoint("unversioned", 0)
		all = append(all, unversioned)
		departures := rapid.IntRange(0, 3000).Draw(t, "departures")
		step := rapid.IntRange(1, 40).Draw(t, "revisions between departures")
		era := rapid.IntRange(0, departures+1).Draw(t, "departures in the earlier era")
		revision := func(i int) port.StoreRevision {
			at, err := port.NewStoreRevision(uint64(boolToInt(i >= era)), uint64(1+i*step))
			if err != nil {
				t.Fatal(err)
			}
			return at
		}
		for i := range departures {
			all = append(all, departedEndpoint(fmt.Sprint("left-", i), revision(i)))
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		ids := PrunableDepartures(slices.Values(shuffled))
		forgotten := map[string]bool{}
		for _, id := range ids {
			forgotten[id] = true
		}
		kept := 0
		for i := range departures {
			id := fmt.Sprint("left-", i)
			if !forgotten[id] {
				kept++
			}
			if forgotten[id] && (i+minKeptDepartures >= departures || i > 0 && !forgotten[fmt.Sprint("left-", i-1)]) {
				t.Fatalf("departure %d of %d must not be removed", i, departures)
			}
		}
		if len(ids) != departures-kept {
			t.Fatalf("%d endpoints to remove, but only %d of them are departed ones with a revision", len(ids), departures-kept)
		}
		if kept > minKeptDepartures+departureChunkRevisions/step+1 {
			t.Fatalf("%d departed endpoints are kept", kept)
		}
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
