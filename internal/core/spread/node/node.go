// Package node joins the tables of one daemon (records, endpoints, members)
// with its links to others. It knows no sockets and no clock: an adapter
// carries the messages of a Link and calls Tick.
package node

import (
	"sync"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Node is the state of one daemon. It is safe for concurrent use.
type Node struct {
	// Records holds revisions; the bodies of large ones may still be on their
	// way, see Whole.
	Records   *spread.Table[spread.Revision]
	Endpoints *spread.Table[membership.Endpoint]
	Members   *spread.Table[membership.Member]
	suspects  *spread.Table[quarantine.Suspect]

	// highestHeld is the highest record version held, highestKnown the
	// highest that any daemon is known to hold.
	highestHeld  atomic.Uint64
	highestKnown atomic.Uint64
	complete     atomic.Bool

	// bodies holds what the revisions leave out.
	bodies *bodies
	// completeOnceWhole: all records that make the set complete are known.
	completeOnceWhole atomic.Bool

	listener Listener

	mu      sync.Mutex
	links   map[*Link]struct{}
	changed chan struct{}
}

// New returns an empty node.
func New() *Node {
	return &Node{
		Records:   spread.NewRecordTable(),
		Endpoints: membership.NewEndpointTable(),
		Members:   membership.NewMemberTable(),
		suspects:  quarantine.NewTable(),
		bodies:    newBodies(),
		links:     map[*Link]struct{}{},
		changed:   make(chan struct{}),
	}
}

// Listener is told of versions of records.
type Listener interface {
	// RecordHeard tells of a version that is new here, of the peer that it came
	// from, empty for the platform, and how many parts of bodies are missing now.
	RecordHeard(r *spread.Revision, from string, missing int)
	// RecordWhole tells of a version of which all parts have come.
	RecordWhole(r *port.Record)
	// EraHeard tells of a revision of the platform's store that a peer passed on
	// with an endpoint, from the eras in which a store has come back from a copy.
	EraHeard(at port.StoreRevision, from string)
}

// SetListener is called before any link is opened.
func (n *Node) SetListener(l Listener) { n.listener = l }

func (n *Node) heardRecord(r *spread.Revision, from string) {
	if n.listener != nil {
		n.listener.RecordHeard(r, from, len(n.bodies.lacks()))
	}
}

// PutRecord merges a record from the platform and passes it on.
func (n *Node) PutRecord(r port.Record) bool {
	revision, parts := spread.Divide(r)
	merged := n.Records.Merge(revision)
	// A peer may have told of the version before; its body is new all the same.
	if newer := n.bodies.put(r, &revision, parts); !merged && !newer {
		return false
	}
	raise(&n.highestKnown, r.Version)
	n.heardRecord(&revision, "")
	n.noteWhole([]port.Record{r})
	key := spread.RecordKey(r.Kind, r.Name)
	n.spread(nil, func(l *Link) {
		if merged {
			l.records.Dirty(key)
		}
	})
	return true
}

// Whole returns the newest version of each record that is held with its whole
// body, deleted ones included.
func (n *Node) Whole() []port.Record { return n.bodies.records() }

// WholeRecord returns the newest version of one record that is held whole.
func (n *Node) WholeRecord(kind, name string) (port.Record, bool) {
	return n.bodies.record(spread.RecordKey(kind, name))
}

// MissingParts counts the parts of newer versions that are on their way.
func (n *Node) MissingParts() int { return len(n.bodies.lacks()) }

// noteWhole takes note of versions that are whole from now on.
func (n *Node) noteWhole(records []port.Record) {
	for i := range records {
		raise(&n.highestHeld, records[i].Version)
		if n.listener != nil && spread.InParts(&records[i]) {
			n.listener.RecordWhole(&records[i])
		}
	}
	if n.completeOnceWhole.Load() && n.bodies.allWhole() {
		n.SetComplete()
	}
	if len(records) > 0 {
		n.tellWhole(records)
	}
}

// tellWhole tells those who wait on Changed, and the peers that take no parts
// and so could not be told of the versions before.
func (n *Node) tellWhole(records []port.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.peerTakesParts.Load() {
			continue
		}
		for i := range records {
			if spread.InParts(&records[i]) {
				l.records.Dirty(spread.RecordKey(records[i].Kind, records[i].Name))
				l.wake()
			}
		}
	}
	n.notify()
}

// becomeComplete says that all records of a complete set are known. Where
// bodies are on their way the set is complete once each has come.
func (n *Node) becomeComplete() {
	n.completeOnceWhole.Store(true)
	n.noteWhole(nil)
}

// PutEndpoint merges an endpoint state and passes it on.
func (n *Node) PutEndpoint(e membership.Endpoint) bool {
	changed := n.Endpoints.Merge(e)
	if changed {
		n.spread(nil, func(l *Link) { l.endpoints.Dirty(e.ID) })
	}
	return changed
}

// ForgetDeparted forgets the endpoints that have left so long ago that nobody has
// to be told of it any more, and returns them.
func (n *Node) ForgetDeparted() []string {
	ids := membership.Forgettable(n.Endpoints.All())
	if len(ids) == 0 {
		return nil
	}
	for _, id := range ids {
		n.Endpoints.Remove(id)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify()
	return ids
}

// Suspects returns the requests under which endpoints have crashed.
func (n *Node) Suspects() *spread.Table[quarantine.Suspect] { return n.suspects }

// PutSuspect merges what is known of a request and passes it on.
func (n *Node) PutSuspect(s quarantine.Suspect) bool {
	changed := n.suspects.Merge(s)
	if changed {
		n.spread(nil, func(l *Link) { l.suspects.Dirty(quarantine.Order{}.Key(s)) })
	}
	return changed
}

// PutMember merges a member state and passes it on.
func (n *Node) PutMember(m membership.Member) bool {
	changed := n.Members.Merge(m)
	if changed {
		n.spread(nil, func(l *Link) { l.members.Dirty(m.ID) })
	}
	return changed
}

// spread marks a change on all links but the one it came from, and tells
// those who wait on Changed.
func (n *Node) spread(from *Link, mark func(l *Link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l != from {
			mark(l)
			l.wake()
		}
	}
	n.notify()
}

// notify wants n.mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed is closed at the next change of any table.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// WakeLinks makes every link send what it has, for adapters that have more to
// say than messages hold.
func (n *Node) WakeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		l.wake()
	}
}

// SetComplete says that the records held are a complete set: the platform's
// list was read, or a complete peer's state was taken over.
func (n *Node) SetComplete() {
	if n.complete.Swap(true) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		l.wake()
	}
	n.notify()
}

// Complete reports whether the node has had a complete set of records.
func (n *Node) Complete() bool { return n.complete.Load() }

// HighestHeld is the highest record version held here.
func (n *Node) HighestHeld() uint64 { return n.highestHeld.Load() }

// HighestKnown is the highest record version known to be held anywhere.
func (n *Node) HighestKnown() uint64 { return n.highestKnown.Load() }

// CaughtUp reports whether nothing newer is known to be held elsewhere.
func (n *Node) CaughtUp() bool { return n.HighestHeld() >= n.HighestKnown() }

func raise(a *atomic.Uint64, v uint64) {
	for {
		old := a.Load()
		if v <= old || a.CompareAndSwap(old, v) {
			return
		}
	}
}
