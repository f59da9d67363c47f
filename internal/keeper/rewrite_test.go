package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/memplatform"
)

// restorablePlatform is a store of records that can be restored from a backup.
type restorablePlatform struct {
	memplatform.Unwatched
	revision port.StoreRevision
	objects  map[string]port.Object
	// loseReply loses the reply of the next write, which takes effect.
	loseReply bool
}

func (p *restorablePlatform) Get(_ context.Context, kind, name string) (port.Object, error) {
	o, exists := p.objects[kind+"/"+name]
	if !exists {
		return port.Object{Version: inEra(p.revision.Era(), 0)}, port.ErrNotFound
	}
	return o, nil
}

func (p *restorablePlatform) List(_ context.Context, kind string) ([]port.Object, port.StoreRevision, error) {
	var out []port.Object
	for _, o := range p.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, p.revision, nil
}

// Put compares only the revisions within an era, like stores that report their
// era only in answers.
func (p *restorablePlatform) Put(_ context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	key := kind + "/" + name
	if stored := p.objects[key]; port.StoreRevision(stored.Version).Revision() != port.StoreRevision(expect).Revision() {
		return stored, port.ErrConflict
	}
	p.revision++
	o := port.Object{Kind: kind, Name: name, Version: uint64(p.revision), Value: value}
	p.objects[key] = o
	if p.loseReply {
		p.loseReply = false
		return port.Object{}, port.ErrOutcomeUnknown
	}
	return o, nil
}

func (p *restorablePlatform) copyOf() *restorablePlatform {
	return &restorablePlatform{revision: p.revision, objects: maps.Clone(p.objects)}
}

// inEra returns the same revision in another era.
func inEra(era, version uint64) uint64 {
	r, err := port.NewStoreRevision(era, port.StoreRevision(version).Revision())
	if err != nil {
		panic(err)
	}
	return uint64(r)
}

func (p *restorablePlatform) restore(c *restorablePlatform) {
	toNextEra := func(version uint64) uint64 { return inEra(p.revision.Era()+1, version) }
	objects := map[string]port.Object{}
	for key, o := range c.objects {
		o.Version = toNextEra(o.Version)
		objects[key] = o
	}
	p.revision, p.objects = port.StoreRevision(toNextEra(uint64(c.revision))), objects
}

// operatorModel simulates two linked keepers on one store, and the operators
// writing through either.
type operatorModel struct {
	t        *rapid.T
	platform *restorablePlatform
	copy     *restorablePlatform
	keepers  [2]*Keeper
	sources  [2]*recordSource
	watches  [2]watch
	links    [2]*node.Link
	// weight grows with each write. accepted is the weight of the last accepted
	// write of each record that the store or a keeper still has, zero for a
	// delete.
	weight   int
	accepted map[string]int
	// deletes are the results of the accepted deletes, which the weight alone
	// can't tell apart.
	deletes map[string]Result
	seen    [2]map[string]int
}

func newOperatorModel(t *rapid.T) *operatorModel {
	o := &operatorModel{t: t, platform: &restorablePlatform{objects: map[string]port.Object{}}, accepted: map[string]int{}, deletes: map[string]Result{}}
	o.copy = o.platform.copyOf()
	for i := range o.keepers {
		o.start(i)
	}
	return o
}

// start starts a keeper without any state, and opens new links.
func (o *operatorModel) start(i int) {
	k, _ := newTestKeeper(o.platform)
	k.options.Self.ID = fmt.Sprint("k", i)
	k.options.Kinds = []string{testKind}
	// The test decides when the peers have sent what they hold.
	k.options.DelistGrace = time.Hour
	o.keepers[i], o.sources[i] = k, &recordSource{keeper: k, kind: testKind}
	o.watches[i] = newWatch(k, testKind, o.sources[i])
	o.seen[i] = map[string]int{}
	for n, k := range o.keepers {
		if k != nil {
			o.links[n] = k.node.Open(n == 0)
		}
	}
}

func (o *operatorModel) exchange() {
	exchange(o.links)
	for _, s := range o.sources {
		s.repairAt = time.Time{}
	}
}

// change has an operator write on the basis of the currently stored version, or
// create the record if it is absent.
func (o *operatorModel) change(k *Keeper, name string, remove bool) {
	stored, _ := o.platform.Get(context.Background(), testKind, name)
	o.weight++
	c := &Change{Kind: testKind, Name: name, Actor: "kim", Expect: stored.Version, Delete: remove}
	if !remove {
		c.Body = fmt.Appendf(nil, `{"schema_version":2,"kind":"routing-configurations","name":%q,"spec":{"weights":{"stall":%d}}}`, name, o.weight)
	}
	o.platform.loseReply = rapid.Bool().Draw(o.t, "the reply is lost")
	result, err := k.Change(context.Background(), c)
	if errors.Is(err, ErrNotFound) || len(stored.Value) == 0 {
		c.Create, c.Expect = true, 0
		result, err = k.Change(context.Background(), c)
	}
	o.platform.loseReply = false
	if err != nil {
		return
	}
	o.accepted[name] = o.weight
	if remove {
		o.accepted[name], o.deletes[name] = 0, result
	}
}

func weightOf(r port.Record) int {
	var d struct {
		Spec struct {
			Weights struct {
				Stall int `json:"stall"`
			} `json:"weights"`
		} `json:"spec"`
	}
	if r.Deleted || json.Unmarshal(r.Body, &d) != nil {
		return 0
	}
	return d.Spec.Weights.Stall
}

func (o *operatorModel) step() {
	i := rapid.IntRange(0, 1).Draw(o.t, "keeper")
	name := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(o.t, "record"))
	switch rapid.IntRange(0, 8).Draw(o.t, "action") {
	case 0, 1:
		o.change(o.keepers[i], name, false)
	case 2:
		o.change(o.keepers[i], name, true)
	case 3:
		o.copy = o.platform.copyOf()
	case 4:
		o.platform.restore(o.copy)
		o.copy = o.platform.copyOf()
	case 5:
		o.exchange()
	case 6:
		// A keeper that writes, and ends before it sends the write to any
		// other.
		writer, _ := newTestKeeper(o.platform)
		o.change(writer, name, false)
	case 7:
		o.start(i)
	default:
		o.read(i)
	}
}

func (o *operatorModel) read(keeper int) {
	w := &o.watches[keeper]
	w.listed = false
	w.step(context.Background())
}

// forgetLost drops the writes that a restore lost and that no keeper holds.
func (o *operatorModel) forgetLost() {
	for name, weight := range o.accepted {
		held := weight > 0 && o.storedWeight(name) == weight || weight == 0 && o.storesWrite(name, o.deletes[name].WriteID)
		for _, k := range o.keepers {
			r, known := k.node.CompleteRecord(testKind, name)
			held = held || known && weightOf(r) == weight && (weight > 0 || r.Version == o.deletes[name].Record.Version)
		}
		if !held {
			delete(o.accepted, name)
		}
	}
}

// absent is the weight of a record that the store doesn't have at all; a
// deleted one has weight zero.
const absent = -1

// storedWeight returns the weight of the record in the store.
func (o *operatorModel) storedWeight(name string) int {
	value, err := o.platform.Get(context.Background(), testKind, name)
	if err != nil {
		return absent
	}
	r, err := record.FromObject(&value)
	if err != nil {
		o.t.Fatal(err)
	}
	return weightOf(r)
}

// storesWrite reports whether the store holds a write.
func (o *operatorModel) storesWrite(name, id string) bool {
	value, err := o.platform.Get(context.Background(), testKind, name)
	if err != nil {
		return false
	}
	e, err := record.DecodeEnvelope(value.Value)
	return err == nil && e.HasWrite(id)
}

// check verifies that the record in force at a keeper never goes back to an
// earlier write.
func (o *operatorModel) check() {
	for i, k := range o.keepers {
		for _, r := range k.node.CompleteRecords() {
			weight := weightOf(r)
			if weight > 0 && weight < o.seen[i][r.Name] {
				o.t.Fatalf("keeper %d has weight %d of %s in force after weight %d", i, weight, r.Name, o.seen[i][r.Name])
			}
			o.seen[i][r.Name] = max(weight, o.seen[i][r.Name])
		}
	}
}

// Operators write and delete records through two keepers while the store is
// restored from backups. Accepted writes must stay in force and end up in the
// store again, and no keeper may ever go back to an earlier version.
func TestRecordsSurviveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOperatorModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			o.step()
			o.check()
			o.forgetLost()
		}
		for range 6 {
			for i := range o.keepers {
				o.read(i)
				o.exchange()
			}
		}
		o.check()
		for name, weight := range o.accepted {
			if got := max(0, o.storedWeight(name)); got != weight {
				t.Fatalf("the store holds weight %d of %s, want %d", got, name, weight)
			}
			for i, k := range o.keepers {
				if r, _ := k.node.CompleteRecord(testKind, name); weightOf(r) != weight {
					t.Fatalf("keeper %d has weight %d of %s in force, want %d", i, weightOf(r), name, weight)
				}
			}
		}
	})
}
