package keeper

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// copyOf returns a copy of the registry's current state, to restore later.
func (r *registry) copyOf() *registry {
	return &registry{
		revision: r.revision, entries: maps.Clone(r.entries), history: slices.Clone(r.history), compacted: r.compacted,
	}
}

// restore restores the registry from a backup. Revisions are assigned again, in
// the next era.
func (r *registry) restore(c *registry) {
	era := r.revision.Era() + 1
	toNextEra := func(revision port.StoreRevision) port.StoreRevision {
		lifted, err := port.NewStoreRevision(era, revision.Revision())
		if err != nil {
			panic(err)
		}
		return lifted
	}
	r.revision, r.compacted = toNextEra(c.revision), toNextEra(c.compacted)
	r.entries = map[string]port.ListedEndpoint{}
	for id, e := range c.entries {
		e.Revision = toNextEra(e.Revision)
		r.entries[id] = e
	}
	r.history = slices.Clone(c.history)
	for i := range r.history {
		r.history[i].Revision = toNextEra(r.history[i].Revision)
	}
}

// restoreModel simulates the registry, the runners registered there, and two
// keepers that read it and are linked to each other.
type restoreModel struct {
	t        *rapid.T
	registry *registry
	copy     *registry
	keepers  [2]*Keeper
	sources  [2]*endpointSource
	watches  [2]watch
	links    [2]*node.Link
	// expected is the entry that each runner would write: nil once it has left.
	expected map[string]*port.ListedEndpoint
	// incarnations counts the starts of each runner.
	incarnations map[string]uint64
	// leavingAt are the revisions of the first entries by which runners
	// announced that they leave, knownLeaving the runners whose announcement
	// each keeper has held.
	leavingAt    map[string]port.StoreRevision
	knownLeaving [2]map[string]bool
}

func newRestoreModel(t *rapid.T) *restoreModel {
	p := &restoreModel{
		t: t, registry: &registry{entries: map[string]port.ListedEndpoint{}}, expected: map[string]*port.ListedEndpoint{}, incarnations: map[string]uint64{},
		leavingAt: map[string]port.StoreRevision{},
	}
	p.copy = p.registry.copyOf()
	for i := range p.keepers {
		k := newRegistryKeeper(p.registry)
		// The test decides when the registry has dropped the entries that
		// nobody renews.
		k.options.EntryTTL = time.Hour
		p.keepers[i], p.sources[i] = k, &endpointSource{keeper: k}
		p.watches[i] = newWatch(k, kindEndpoints, p.sources[i])
		p.links[i] = k.node.Open(i == 0)
		p.knownLeaving[i] = map[string]bool{}
	}
	return p
}

// write writes a runner's entry if it differs from the registered one.
func (p *restoreModel) write(id string) {
	e := p.expected[id]
	if e == nil {
		if _, exists := p.registry.entries[id]; exists {
			p.registry.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
		}
		return
	}
	entry, exists := p.registry.entries[id]
	if !exists || entry.State != e.State || entry.Incarnation != e.Incarnation {
		p.registry.put(*e)
	}
}

// announceLeaving has a runner announce that it leaves, or end.
func (p *restoreModel) announceLeaving(id string, next *port.ListedEndpoint) {
	p.expected[id] = next
	before := p.registry.revision
	p.write(id)
	if _, announced := p.leavingAt[id]; !announced && p.registry.revision > before {
		p.leavingAt[id] = p.registry.revision
	}
}

// check verifies that no keeper holds a runner as live again after it knew that
// the runner leaves.
func (p *restoreModel) check() {
	for i, k := range p.keepers {
		for _, e := range k.Endpoints() {
			announcedAt, leaves := p.leavingAt[e.ID]
			if !leaves || e.Incarnation != p.incarnations[e.ID] {
				continue
			}
			if e.State == port.EndpointLive && p.knownLeaving[i][e.ID] {
				p.t.Fatalf("keeper %d holds the leaving runner %s as live again", i, e.ID)
			}
			p.knownLeaving[i][e.ID] = p.knownLeaving[i][e.ID] || e.State != port.EndpointLive && e.Revision >= announcedAt
		}
	}
}

func (p *restoreModel) step(id string) {
	switch rapid.IntRange(0, 9).Draw(p.t, "action") {
	case 0:
		p.incarnations[id]++
		e := registryEntry(id, p.incarnations[id], port.EndpointLive)
		p.expected[id] = &e
		delete(p.leavingAt, id)
		delete(p.knownLeaving[0], id)
		delete(p.knownLeaving[1], id)
		p.write(id)
	case 1:
		if e := p.expected[id]; e != nil {
			leaving := *e
			leaving.State = port.EndpointLeaving
			p.announceLeaving(id, &leaving)
		}
	case 2:
		p.announceLeaving(id, nil)
	case 3:
		if rapid.Bool().Draw(p.t, "its entry expires") {
			delete(p.registry.entries, id)
			p.registry.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
		}
		p.write(id)
	case 4:
		p.copy = p.registry.copyOf()
	case 5:
		p.registry.restore(p.copy)
		p.copy = p.registry.copyOf()
	case 6:
		p.registry.compacted = p.registry.revision
	case 7:
		exchange(p.links)
	default:
		p.read(rapid.IntRange(0, 1).Draw(p.t, "keeper"))
	}
}

// read has a keeper read once, and waits until what a list leaves out is
// removed.
func (p *restoreModel) read(keeper int) {
	p.watches[keeper].step(p.t.Context())
	p.sources[keeper].delayedRemovals.Wait()
}

// After a restore the store assigns more revisions than the keeper's watch had
// seen before. The watch would continue without an error and skip a runner's
// announcement that has a smaller revision.
func TestLeavingBelowWatchRevisionIsSeen(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	w := newWatch(k, kindEndpoints, s)
	others := func(from int) {
		for i := range 5 {
			r.put(registryEntry(fmt.Sprint("o", from+i), 1, port.EndpointLive))
		}
	}
	r.put(registryEntry("leaver", 1, port.EndpointLive))
	c := r.copyOf()
	others(0)
	w.step(t.Context())
	r.restore(c)
	r.put(registryEntry("leaver", 1, port.EndpointLeaving))
	others(10)
	for range 4 {
		w.step(t.Context())
	}
	if e, _ := k.node.Endpoints.Get("leaver"); e.State != port.EndpointLeaving {
		t.Fatalf("the runner is %s after it announced that it is leaving", e.State)
	}
}

// The store is restored from backups repeatedly while runners start, announce
// that they leave and end, and two keepers read it in turn and exchange their
// state. No keeper may make a runner live again after it knew that the runner
// leaves. Once the runners have renewed their entries and the registry has
// dropped the others, both keepers must hold as live exactly the live runners.
func TestRestoresMatchRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRestoreModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.step(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "runner")))
			p.check()
		}
		for i := range 4 {
			p.write(fmt.Sprint("e", i))
		}
		for i := range p.watches {
			// A new era may have to be confirmed first, and the history may
			// have been dropped.
			for range 4 {
				p.read(i)
			}
		}
		for _, s := range p.sources {
			s.confirmListed(s.restoredAt)
		}
		exchange(p.links)
		p.check()
		p.checkFinal()
	})
}

func (p *restoreModel) checkFinal() {
	for i, k := range p.keepers {
		live := map[string]bool{}
		for _, e := range k.Endpoints() {
			live[e.ID] = e.State == port.EndpointLive
		}
		for n := range 4 {
			id := fmt.Sprint("e", n)
			if want := p.expected[id] != nil && p.expected[id].State == port.EndpointLive; live[id] != want {
				p.t.Fatalf("keeper %d holds %s as live: %v, want %v", i, id, live[id], want)
			}
		}
	}
}
