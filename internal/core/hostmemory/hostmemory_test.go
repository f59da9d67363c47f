package hostmemory

import "testing"

// Guards against a state that changes with each reading, and against a reading that fails
// or a limit that is missing and nevertheless refuses requests or accepts them again.
func TestBoundStopsAt80AndResumesBelow70(t *testing.T) {
	const failed = 0
	b := New(1000)
	for i, c := range []struct {
		inUse   uint64
		accepts bool
	}{{failed, true}, {799, true}, {800, false}, {799, false}, {700, false}, {failed, false}, {699, true}, {failed, true}, {799, true}, {900, false}} {
		if b.Observe(c.inUse); b.Accepts() != c.accepts {
			t.Errorf("reading %d of %d: accepts %v", i, c.inUse, b.Accepts())
		}
	}
	if r, accepted := b.Reserve(0, 0); r != nil || accepted {
		t.Error("a request is accepted while the bound is reached")
	}
	unlimited := New(0)
	unlimited.Observe(1 << 60)
	if _, accepted := unlimited.Reserve(1<<40, 1<<40); !accepted || unlimited.Percent() != 0 {
		t.Error("refused without a limit")
	}
}

// Guards against requests that all arrive between two readings, and whose memory shows only
// after they were accepted.
func TestBurstBetweenReadingsIsRefused(t *testing.T) {
	b := New(1000)
	b.Observe(300)
	var accepted []*Reservation
	for range 2000 {
		if r, ok := b.Reserve(10, 2); ok {
			accepted = append(accepted, r)
		}
	}
	if want := (800 - 300 - 1) / 12; len(accepted) != want || b.Accepts() {
		t.Fatalf("%d requests accepted, want %d", len(accepted), want)
	}
	for _, r := range accepted {
		b.Settle(r, 10)
	}
	for range growthReadings - 1 {
		if b.Observe(300); b.Accepts() {
			t.Fatal("accepts requests before the readings show those of the burst")
		}
	}
	// The readings now show the requests, but not what the system holds for them.
	if b.Observe(699 - 2*uint64(len(accepted))); !b.Accepts() {
		t.Error("reservations last longer than the growth")
	}
	if b.Observe(800 - 2*uint64(len(accepted))); b.Accepts() {
		t.Error("what the system holds for open requests is forgotten")
	}
	b.Observe(1)
	late, _ := b.Reserve(10, 2)
	for _, r := range append(accepted, late) {
		b.Release(r)
	}
	if b.unsettled != 0 || b.unseen != 0 || b.growing != [growthReadings]uint64{} {
		t.Errorf("%d, %d and %v bytes are left without requests", b.unsettled, b.unseen, b.growing)
	}
}
