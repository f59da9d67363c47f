// Package node combines the replicated tables of one daemon (records, endpoints,
// members, suspects) with its links to other daemons. It uses no sockets and no
// clock: an adapter transfers the messages of a Link and calls Tick.
package node

import (
	"sync"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Node is the replicated state of one daemon. It is safe for concurrent use.
type Node struct {
	// Records holds revisions. Parts of large bodies may not have arrived yet, see
	// CompleteRecords.
	Records   *spread.Table[spread.Revision]
	Endpoints *spread.Table[membership.Endpoint]
	Members   *spread.Table[membership.Member]
	suspects  *spread.Table[quarantine.Suspect]
	// partSuspects holds the parts of prompts under which endpoints have crashed.
	partSuspects *spread.Table[quarantine.PartSuspect]

	// highestHeld is the highest record version that this node has with its body,
	// highestKnown the highest that any daemon is known to have.
	highestHeld  atomic.Uint64
	highestKnown atomic.Uint64
	complete     atomic.Bool

	// bodies holds the bodies of the records and their parts.
	bodies *bodies
	// revisionsComplete is set once the revisions are a complete set. The node
	// becomes complete when each record has a body.
	revisionsComplete atomic.Bool

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

		partSuspects: quarantine.NewPartTable(),
		bodies:       newBodies(),
		links:        map[*Link]struct{}{},
		changed:      make(chan struct{}),
	}
}

// Listener receives events about records and about the era of the platform's
// store.
type Listener interface {
	// RecordReceived is called for a version that is new to this node. from is the
	// peer that sent it, empty for the platform; missing is the number of parts of
	// bodies that are missing now.
	RecordReceived(r *spread.Revision, from string, missing int)
	// RecordCompleted is called for a version in parts once all its parts are present.
	RecordCompleted(r *port.Record)
	// EraReceived is called for a revision of the platform's store that a peer sent
	// with an endpoint, if its era isn't 0, so the store was restored from a backup.
	EraReceived(at port.StoreRevision, from string)
}

// SetListener must be called before any link is opened.
func (n *Node) SetListener(l Listener) { n.listener = l }

func (n *Node) reportRecordHeard(r *spread.Revision, from string) {
	if n.listener != nil {
		n.listener.RecordReceived(r, from, len(n.bodies.missingParts()))
	}
}

// PutRecord merges a record from the platform and queues it for all links.
func (n *Node) PutRecord(r port.Record) bool {
	revision, parts := spread.Divide(r)
	merged := n.Records.Merge(revision)
	// A peer may have sent this revision before without the body, so the body may be
	// new even if the revision isn't.
	if newer := n.bodies.putWhole(r, &revision, parts); !merged && !newer {
		return false
	}
	storeMax(&n.highestKnown, r.Version)
	n.reportRecordHeard(&revision, "")
	n.handleCompleted([]port.Record{r})
	key := spread.RecordKey(r.Kind, r.Name)
	n.queueForLinks(nil, func(l *Link) {
		if merged {
			l.records.Queue(key)
		}
	})
	return true
}

// CompleteRecords returns the newest version of each record whose body is complete,
// including deleted records.
func (n *Node) CompleteRecords() []port.Record { return n.bodies.records() }

// CompleteRecord returns the newest version of a record whose body is complete.
func (n *Node) CompleteRecord(kind, name string) (port.Record, bool) {
	return n.bodies.record(spread.RecordKey(kind, name))
}

// MissingParts returns the number of missing parts of newer versions.
func (n *Node) MissingParts() int { return len(n.bodies.missingParts()) }

// handleCompleted handles versions whose bodies have become complete.
func (n *Node) handleCompleted(records []port.Record) {
	for i := range records {
		storeMax(&n.highestHeld, records[i].Version)
		if n.listener != nil && spread.InParts(&records[i]) {
			n.listener.RecordCompleted(&records[i])
		}
	}
	if n.revisionsComplete.Load() && n.bodies.allWhole() {
		n.SetComplete()
	}
	if len(records) > 0 {
		n.announceCompleted(records)
	}
}

// announceCompleted closes the channel of Changed, and queues versions in parts
// for the peers that don't support parts and couldn't be sent these versions
// before.
func (n *Node) announceCompleted(records []port.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.peerTakesParts.Load() {
			continue
		}
		for i := range records {
			if spread.InParts(&records[i]) {
				l.records.Queue(spread.RecordKey(records[i].Kind, records[i].Name))
				l.wake()
			}
		}
	}
	n.notify()
}

// setRevisionsComplete records that the revisions are a complete set. If bodies are
// missing, the node becomes complete once each record has a body.
func (n *Node) setRevisionsComplete() {
	n.revisionsComplete.Store(true)
	n.handleCompleted(nil)
}

// PutEndpoint merges an endpoint state. It queues a change for all links, and
// reports whether there was one.
func (n *Node) PutEndpoint(e membership.Endpoint) bool {
	changed := n.Endpoints.Merge(e)
	if changed {
		n.queueForLinks(nil, func(l *Link) { l.endpoints.Queue(e.ID) })
	}
	return changed
}

// PruneDeparted removes the endpoints that departed so long ago that their state
// needn't be replicated any more, and returns their ids.
func (n *Node) PruneDeparted() []string {
	ids := membership.PrunableDepartures(n.Endpoints.All())
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

// Suspects returns the table of requests during which endpoints have crashed.
func (n *Node) Suspects() *spread.Table[quarantine.Suspect] { return n.suspects }

// PutSuspect merges the state of a suspected request. It queues a change for all
// links, and reports whether there was one.
func (n *Node) PutSuspect(s quarantine.Suspect) bool {
	changed := n.suspects.Merge(s)
	if changed {
		n.queueForLinks(nil, func(l *Link) { l.suspects.Queue(quarantine.SuspectOrder{}.Key(s)) })
	}
	return changed
}

// PartSuspects returns the table of parts of prompts under which endpoints have crashed.
func (n *Node) PartSuspects() *spread.Table[quarantine.PartSuspect] { return n.partSuspects }

// PutPartSuspect merges the state of a suspected part. It queues a change for all links,
// and reports whether there was one.
func (n *Node) PutPartSuspect(s quarantine.PartSuspect) bool {
	changed := n.partSuspects.Merge(s)
	if changed {
		n.queueForLinks(nil, func(l *Link) { l.partSuspects.Queue(quarantine.PartOrder{}.Key(s)) })
	}
	return changed
}

// PutMember merges a member state. It queues a change for all links, and reports
// whether there was one.
func (n *Node) PutMember(m membership.Member) bool {
	changed := n.Members.Merge(m)
	if changed {
		n.queueForLinks(nil, func(l *Link) { l.members.Queue(m.ID) })
	}
	return changed
}

// queueForLinks calls queue for all links except from, wakes them, and closes the
// channel of Changed.
func (n *Node) queueForLinks(from *Link, queue func(l *Link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l != from {
			queue(l)
			l.wake()
		}
	}
	n.notify()
}

// notify closes the channel of Changed. It must be called with n.mu held.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of any table.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// WakeLinks wakes every link so that its adapter sends. Adapters use it when they
// have data of their own to send with the messages.
func (n *Node) WakeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		l.wake()
	}
}

// SetComplete marks the records as a complete set: the platform's list was read,
// or the state of a complete peer was received.
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

// HighestHeld returns the highest record version that this node has with its body.
func (n *Node) HighestHeld() uint64 { return n.highestHeld.Load() }

// HighestKnown returns the highest record version that any daemon is known to
// have.
func (n *Node) HighestKnown() uint64 { return n.highestKnown.Load() }

// CaughtUp reports whether no daemon is known to have a newer version.
func (n *Node) CaughtUp() bool { return n.HighestHeld() >= n.HighestKnown() }

func storeMax(a *atomic.Uint64, v uint64) {
	for {
		old := a.Load()
		if v <= old || a.CompareAndSwap(old, v) {
			return
		}
	}
}
