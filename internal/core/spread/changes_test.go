package spread

import (
	"slices"
	"sync"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func names(records []Revision) []string {
	var out []string
	for _, r := range records {
		out = append(out, r.Name)
	}
	slices.Sort(out)
	return out
}

func TestTakeReturnsEachChangedEntryOnce(t *testing.T) {
	table := NewRecordTable()
	put := func(name string, version uint64) {
		table.Merge(Revision{Record: port.Record{Kind: "k", Name: name, Version: version}})
	}
	put("a", 1)
	put("b", 2)
	changes := table.Follow()
	for _, step := range []struct {
		change func()
		want   []string
	}{
		{func() {}, []string{"a", "b"}},
		{func() {}, nil},
		{func() { put("a", 3); put("a", 4) }, []string{"a"}},
		{func() { put("a", 3) }, nil},
		{func() { put("c", 5) }, []string{"c"}},
	} {
		step.change()
		if got := names(changes.Take()); !slices.Equal(got, step.want) {
			t.Fatalf("got %v, want %v", got, step.want)
		}
	}
}

// A reader calls Follow while entries are merged concurrently. If it missed one,
// it wouldn't learn of that entry until the entry changes again.
func TestFollowMissesNoConcurrentChange(t *testing.T) {
	const writers, each = 4, 200
	table := NewRecordTable()
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				table.Merge(Revision{Record: port.Record{Kind: "k", Name: string(rune('a' + w)), Version: uint64(i + 1)}})
			}
		})
	}
	changes := table.Follow()
	newest := map[string]uint64{}
	take := func() {
		for _, r := range changes.Take() {
			newest[r.Name] = r.Version
		}
	}
	take()
	wg.Wait()
	take()
	for w := range writers {
		if got := newest[string(rune('a'+w))]; got != each {
			t.Fatalf("writer %d: last version read is %d, want %d", w, got, each)
		}
	}
}
