package keeper

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// orders is a store of evacuations that operators write and delete. It keeps a
// history, forgets it, and comes back from a copy.
type orders struct {
	fakePlatform
	revision port.StoreRevision
	entries  map[string]port.StoreRevision
	history  []ordered
	// forgotten is the revision up to which the history is gone.
	forgotten port.StoreRevision
}

// ordered is one change of the history.
type ordered struct {
	name     string
	revision port.StoreRevision
	ended    bool
}

func newOrders() *orders { return &orders{entries: map[string]port.StoreRevision{}, revision: 1} }

func (o *orders) write(name string) {
	if _, known := o.entries[name]; known {
		return
	}
	o.revision++
	o.entries[name] = o.revision
	o.history = append(o.history, ordered{name: name, revision: o.revision})
}

func (o *orders) erase(name string) {
	if _, known := o.entries[name]; !known {
		return
	}
	o.revision++
	delete(o.entries, name)
	o.history = append(o.history, ordered{name: name, revision: o.revision, ended: true})
}

func (o *orders) compact() { o.history, o.forgotten = nil, o.revision }

// copyOf is the store at one moment.
func (o *orders) copyOf() *orders {
	return &orders{revision: o.revision, entries: maps.Clone(o.entries), history: slices.Clone(o.history), forgotten: o.forgotten}
}

// restore has the store come back from a copy, in the next era.
func (o *orders) restore(c *orders) {
	era := o.revision.Era() + 1
	lift := func(r port.StoreRevision) port.StoreRevision {
		lifted, err := port.NewStoreRevision(era, r.Revision())
		if err != nil {
			panic(err)
		}
		return lifted
	}
	o.revision, o.entries, o.history = lift(c.revision), map[string]port.StoreRevision{}, nil
	o.forgotten = o.revision
	for name, r := range c.entries {
		o.entries[name] = lift(r)
	}
}

func (o *orders) List(context.Context, string) ([]port.Object, port.StoreRevision, error) {
	var out []port.Object
	for name, r := range o.entries {
		out = append(out, present(name, r, false))
	}
	return out, o.revision, nil
}

func (o *orders) Watch(_ context.Context, _ string, since port.StoreRevision, _ time.Duration) ([]port.Object, port.StoreRevision, error) {
	if since.Era() == o.revision.Era() && since < o.forgotten {
		return nil, 0, port.ErrRevisionGone
	}
	var out []port.Object
	for _, h := range o.history {
		if h.revision > since {
			out = append(out, present(h.name, h.revision, h.ended))
		}
	}
	return out, o.revision, nil
}

func present(name string, r port.StoreRevision, ended bool) port.Object {
	e := record.Envelope{Format: record.EnvelopeFormat, Document: record.PresentDocument(), Deleted: ended}
	return port.Object{Kind: port.ObjectPlatformEvacuation, Name: name, Version: uint64(r), Value: e.Encode()}
}

// reader is one keeper that reads the orders.
type reader struct {
	keeper  *Keeper
	source  *presentSource
	watched port.StoreRevision
	listed  bool
}

func newReader(o *orders, grace time.Duration) *reader {
	k, _ := newTestKeeper(o)
	k.options.LapseGrace = grace
	return &reader{keeper: k, source: &presentSource{recordSource: recordSource{keeper: k, kind: port.ObjectPlatformEvacuation}}}
}

// read lists, or waits for changes since the last answer.
func (r *reader) read(t *rapid.T) {
	ctx := context.Background()
	if !r.listed {
		at, err := r.source.list(ctx, false)
		if errors.Is(err, errEraAnnounced) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		r.watched, r.listed = at, true
		return
	}
	_, at, err := r.source.watch(ctx, r.watched, 0)
	if err != nil {
		r.listed = false
		return
	}
	r.watched = at
}

// holds lists the failure domains that the keeper holds for evacuated.
func (r *reader) holds() []string { return record.Evacuations(r.keeper.Records()).Domains() }

// Guards against an evacuation and its taking back that overtake each other, whatever daemons read, miss or pass on.
func TestEvacuationsFollowTheStore(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		o := newOrders()
		kept := o.copyOf()
		readers := []*reader{newReader(o, 0), newReader(o, 0)}
		ends := [2]*node.Link{readers[0].keeper.node.Open(true), readers[1].keeper.node.Open(false)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				o.write(rapid.SampledFrom(names).Draw(t, "name"))
			case 2, 3:
				o.erase(rapid.SampledFrom(names).Draw(t, "name"))
			case 4:
				o.compact()
			case 5:
				kept = o.copyOf()
			case 6:
				o.restore(kept)
			case 7:
				exchange(ends)
			default:
				readers[rapid.IntRange(0, 1).Draw(t, "reader")].read(t)
			}
		}
		// Whoever reads for the others reads on, and is heard.
		const untilSettled = 4
		for range untilSettled {
			readers[0].read(t)
			readers[0].source.sweeps.Wait()
			exchange(ends)
		}
		for i, r := range readers {
			if want := slices.Sorted(maps.Keys(o.entries)); !slices.Equal(r.holds(), want) {
				t.Fatalf("reader %d holds %v, the store %v", i, r.holds(), want)
			}
		}
	})
}

// Guards against sending into a failure domain right after a restore that lost its evacuation.
func TestEvacuationOutlastsARestoreUntilItIsWrittenAgain(t *testing.T) {
	o := newOrders()
	before := o.copyOf()
	o.write("a")
	r := newReader(o, 300*time.Millisecond)
	read := func() {
		if at, err := r.source.list(t.Context(), false); err == nil {
			r.watched = at
		}
	}
	read()
	o.restore(before)
	for range 4 {
		read()
	}
	if got := r.holds(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("%v is evacuated right after the restore", got)
	}
	o.write("a")
	read()
	r.source.sweeps.Wait()
	if got := r.holds(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("%v is evacuated once it is written again", got)
	}
	o.restore(before)
	read()
	read()
	eventually.True(t, "what nobody writes again ends", func() bool { return len(r.holds()) == 0 })
}
