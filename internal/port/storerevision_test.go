package port

import (
	"errors"
	"testing"
)

// A later era must sort after any revision of an earlier one. An era or revision
// out of range must be refused, not truncated to another value.
func TestStoreRevisionsOrder(t *testing.T) {
	order := [][2]uint64{{0, 0}, {0, 1}, {0, maxRevision}, {1, 0}, {1, 7}, {2, 3}, {maxEra, maxRevision}}
	previous := StoreRevision(0)
	for i, parts := range order {
		r, err := NewStoreRevision(parts[0], parts[1])
		if err != nil || r.Era() != parts[0] || r.Revision() != parts[1] {
			t.Fatalf("NewStoreRevision(%v) = %s, error %v", parts, r, err)
		}
		if i > 0 && r <= previous {
			t.Fatalf("%s is not after %s", r, previous)
		}
		previous = r
	}
	if int64(previous) < 0 {
		t.Fatal("the largest revision does not fit a signed 64-bit integer")
	}
	for _, parts := range [][2]uint64{{maxEra + 1, 0}, {0, maxRevision + 1}} {
		if r, err := NewStoreRevision(parts[0], parts[1]); !errors.Is(err, ErrRevisionRange) {
			t.Fatalf("NewStoreRevision(%v) = %s, want ErrRevisionRange", parts, r)
		}
	}
}
