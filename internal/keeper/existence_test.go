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

// evacuationStore is a store of evacuations that operators write and delete. It
// keeps a history, which can be compacted, and can be restored from a backup.
type evacuationStore struct {
	fakePlatform
	revision port.StoreRevision
	entries  map[string]port.StoreRevision
	history  []evacuationChange
	// compacted is the revision up to which the history has been dropped.
	compacted port.StoreRevision
}

// evacuationChange is one change in the history.
type evacuationChange struct {
	name     string
	revision port.StoreRevision
	deleted  bool
}

func newEvacuationStore() *evacuationStore {
	return &evacuationStore{entries: map[string]port.StoreRevision{}, revision: 1}
}

func (o *evacuationStore) write(name string) {
	if _, known := o.entries[name]; known {
		return
	}
	o.revision++
	o.entries[name] = o.revision
	o.history = append(o.history, evacuationChange{name: name, revision: o.revision})
}

func (o *evacuationStore) remove(name string) {
	if _, known := o.entries[name]; !known {
		return
	}
	o.revision++
	delete(o.entries, name)
	o.history = append(o.history, evacuationChange{name: name, revision: o.revision, deleted: true})
}

func (o *evacuationStore) compact() { o.history, o.compacted = nil, o.revision }

// copyOf returns a copy of the store's current state, to restore later.
func (o *evacuationStore) copyOf() *evacuationStore {
	return &evacuationStore{revision: o.revision, entries: maps.Clone(o.entries), history: slices.Clone(o.history), compacted: o.compacted}
}

// restore restores the store from a backup, which begins the next era.
func (o *evacuationStore) restore(c *evacuationStore) {
	era := o.revision.Era() + 1
	toNextEra := func(r port.StoreRevision) port.StoreRevision {
		lifted, err := port.NewStoreRevision(era, r.Revision())
		if err != nil {
			panic(err)
		}
		return lifted
	}
	o.revision, o.entries, o.history = toNextEra(c.revision), map[string]port.StoreRevision{}, nil
	o.compacted = o.revision
	for name, r := range c.entries {
		o.entries[name] = toNextEra(r)
	}
}

func (o *evacuationStore) List(context.Context, string) ([]port.Object, port.StoreRevision, error) {
	var out []port.Object
	for name, r := range o.entries {
		out = append(out, evacuationObject(name, r, false))
	}
	return out, o.revision, nil
}

func (o *evacuationStore) Watch(_ context.Context, _ string, since port.StoreRevision, _ time.Duration) ([]port.Object, port.StoreRevision, error) {
	if since.Era() == o.revision.Era() && since < o.compacted {
		return nil, 0, port.ErrRevisionGone
	}
	var out []port.Object
	for _, h := range o.history {
		if h.revision > since {
			out = append(out, evacuationObject(h.name, h.revision, h.deleted))
		}
	}
	return out, o.revision, nil
}

func evacuationObject(name string, r port.StoreRevision, ended bool) port.Object {
	e := record.Envelope{Format: record.EnvelopeFormat, Document: record.EmptyDocument(), Deleted: ended}
	return port.Object{Kind: port.ObjectPlatformEvacuation, Name: name, Version: uint64(r), Value: e.Encode()}
}

// reader is one keeper that reads the store.
type reader struct {
	keeper  *Keeper
	source  *existenceSource
	watched port.StoreRevision
	listed  bool
}

func newReader(o *evacuationStore, grace time.Duration) *reader {
	k, _ := newTestKeeper(o)
	k.options.DelistGrace = grace
	return &reader{keeper: k, source: &existenceSource{recordSource: recordSource{keeper: k, kind: port.ObjectPlatformEvacuation}}}
}

// read lists, or reads the changes since the last answer.
func (r *reader) read(t *rapid.T) {
	ctx := context.Background()
	if !r.listed {
		at, err := r.source.list(ctx, false)
		if errors.Is(err, errEraUnconfirmed) {
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

// holds returns the failure domains that the keeper holds as evacuated.
func (r *reader) holds() []string { return record.Evacuations(r.keeper.Records()).Domains() }

// Guards against an evacuation and its removal being applied in the wrong
// order, whatever the daemons read, miss or relay.
func TestEvacuationsMatchStore(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		o := newEvacuationStore()
		backup := o.copyOf()
		readers := []*reader{newReader(o, 0), newReader(o, 0)}
		ends := [2]*node.Link{readers[0].keeper.node.Open(true), readers[1].keeper.node.Open(false)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				o.write(rapid.SampledFrom(names).Draw(t, "name"))
			case 2, 3:
				o.remove(rapid.SampledFrom(names).Draw(t, "name"))
			case 4:
				o.compact()
			case 5:
				backup = o.copyOf()
			case 6:
				o.restore(backup)
			case 7:
				exchange(ends)
			default:
				readers[rapid.IntRange(0, 1).Draw(t, "reader")].read(t)
			}
		}
		// The keeper that reads for the others continues to read and to send
		// what it learns.
		const finalRounds = 4
		for range finalRounds {
			readers[0].read(t)
			readers[0].source.delayedDeletes.Wait()
			exchange(ends)
		}
		for i, r := range readers {
			if want := slices.Sorted(maps.Keys(o.entries)); !slices.Equal(r.holds(), want) {
				t.Fatalf("reader %d holds %v, the store holds %v", i, r.holds(), want)
			}
		}
	})
}

// Guards against sending requests into a failure domain right after a restore
// that lost its evacuation.
func TestEvacuationSurvivesRestoreUntilRewritten(t *testing.T) {
	o := newEvacuationStore()
	backup := o.copyOf()
	o.write("a")
	r := newReader(o, 300*time.Millisecond)
	read := func() {
		if at, err := r.source.list(t.Context(), false); err == nil {
			r.watched = at
		}
	}
	read()
	o.restore(backup)
	for range 4 {
		read()
	}
	if got := r.holds(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("domains evacuated right after the restore: %v, want [a]", got)
	}
	o.write("a")
	read()
	r.source.delayedDeletes.Wait()
	if got := r.holds(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("domains evacuated after the evacuation was written again: %v, want [a]", got)
	}
	o.restore(backup)
	read()
	read()
	eventually.True(t, "the evacuation that nobody writes again ends", func() bool { return len(r.holds()) == 0 })
}
