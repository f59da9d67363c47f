package node

import (
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Message is one step of the exchange over a link.
type Message struct {
	Records   spread.Step[spread.Revision]
	Endpoints spread.Step[membership.Endpoint]
	Members   spread.Step[membership.Member]
	Suspects  spread.Step[quarantine.Suspect]
	// HighestVersion is the highest record version known anywhere.
	HighestVersion uint64
	// Complete: the sender holds a complete set of records, and with this
	// message the receiver has had all of it.
	Complete bool
	// Parts are packed pieces of records' bodies that the receiver asked for,
	// WantedParts name those that the sender asks for.
	Parts       [][]byte
	WantedParts []spread.PartID
	// Fallbacks are the newest versions that the sender holds whole, for those of
	// Records that it doesn't. The daemon that had the newest may be gone with
	// parts that nobody else got; one that starts then has something to serve by.
	Fallbacks []spread.Revision
	// TakesParts: the sender understands records in parts. It is said once.
	TakesParts bool
}

// Empty reports whether the message says nothing new.
func (m *Message) Empty() bool {
	return m.Records.Empty() && m.Endpoints.Empty() && m.Members.Empty() && m.Suspects.Empty() &&
		m.HighestVersion == 0 && !m.Complete &&
		len(m.Parts) == 0 && len(m.WantedParts) == 0 && !m.TakesParts
}

// askAgainTicks is how many heartbeats a node that isn't complete waits for an
// answer before it asks again.
const askAgainTicks = 3

// Link is one end of a connection to another node.
type Link struct {
	node      *Node
	initiator bool
	records   *spread.Exchange[spread.Revision]
	endpoints *spread.Exchange[membership.Endpoint]
	members   *spread.Exchange[membership.Member]
	suspects  *spread.Exchange[quarantine.Suspect]
	parts     partExchange
	woken     chan struct{}
	// answered is set once the peer's bucket digests were compared: from
	// then on a message that says Complete is.
	answered     atomic.Bool
	saidComplete atomic.Bool
	saidHighest  atomic.Uint64
	// peerComplete: the peer said that it holds a complete set.
	peerComplete atomic.Bool
	// peerTakesParts: the peer said that it understands records in parts.
	peerTakesParts atomic.Bool
	saidTakesParts atomic.Bool
	// heard: the peer has said something.
	heard atomic.Bool
	// deferred are the records in parts that wait for the peer's first word.
	deferred deferredKeys
	// holdsEndpoints: what is new of endpoints stays queued.
	holdsEndpoints atomic.Bool
	// peer names the other end in what is told of records.
	peer atomic.Pointer[string]
	// ticks counts towards the next time an incomplete node asks again.
	ticks atomic.Uint32
}

// Open adds a link. The side that connected is the initiator.
func (n *Node) Open(initiator bool) *Link {
	l := &Link{
		node: n, initiator: initiator,
		records:   spread.NewExchange(n.Records, initiator),
		endpoints: spread.NewExchange(n.Endpoints, initiator),
		members:   spread.NewExchange(n.Members, initiator),
		suspects:  spread.NewExchange(n.suspects, initiator),
		woken:     make(chan struct{}, 1),
	}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	return l
}

// SetPeer names the other end.
func (l *Link) SetPeer(name string) { l.peer.Store(&name) }

func (l *Link) peerName() string {
	if name := l.peer.Load(); name != nil {
		return *name
	}
	return ""
}

// Close removes the link.
func (l *Link) Close() {
	l.node.mu.Lock()
	delete(l.node.links, l)
	l.node.mu.Unlock()
	l.node.askAnotherLink()
}

// Woken yields a value when there is something to send.
func (l *Link) Woken() <-chan struct{} { return l.woken }

func (l *Link) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// HoldEndpoints keeps endpoints back, or sends them again.
func (l *Link) HoldEndpoints(hold bool) {
	if l.holdsEndpoints.Swap(hold) && !hold {
		l.wake()
	}
}

// wakeForMore has the rest sent that a bounded message left.
func (l *Link) wakeForMore() {
	if l.records.More() || l.members.More() || l.suspects.More() || l.parts.more(l.node.bodies) || !l.holdsEndpoints.Load() && l.endpoints.More() {
		l.wake()
	}
}

// Tick compares digests; call it once per heartbeat.
func (l *Link) Tick() {
	if !l.node.Complete() && l.ticks.Add(1)%askAgainTicks == 0 {
		l.records.Ask()
	}
	l.records.Tick()
	l.endpoints.Tick()
	l.members.Tick()
	l.suspects.Tick()
	l.parts.tick(l.node.bodies)
}

// Next returns what to send now; it may be empty.
func (l *Link) Next() Message {
	// Whether the node is complete is read before its records: read after,
	// a list that ends in between would vouch for records not sent.
	complete := l.node.Complete() && (l.initiator || l.answered.Load())
	defer l.wakeForMore()
	m := Message{Records: l.records.Next(), Members: l.members.Next(), Suspects: l.suspects.Next()}
	if !l.holdsEndpoints.Load() {
		m.Endpoints = l.endpoints.Next()
	}
	m.Fallbacks = l.node.bodies.wholeRevisions(m.Records.Entries)
	m.Records.Entries = l.asPeerTakes(m.Records.Entries)
	m.WantedParts, m.Parts = l.parts.next(l.node.bodies)
	m.TakesParts = !l.saidTakesParts.Swap(true)
	if highest := l.node.HighestKnown(); highest > l.saidHighest.Load() {
		m.HighestVersion = highest
		l.saidHighest.Store(highest)
	}
	if complete && !l.records.More() && !l.saidComplete.Swap(true) {
		m.Complete = true
	}
	return m
}

// Receive merges a message and passes on what it changed.
func (l *Link) Receive(m *Message) {
	raise(&l.node.highestKnown, m.HighestVersion)
	l.hearPeer(m.TakesParts)
	l.receiveRecords(m)
	l.receiveEndpoints(m)
	for _, v := range l.members.Receive(&m.Members) {
		l.node.spread(l, func(o *Link) { o.members.Dirty(v.ID) })
	}
	for _, v := range l.suspects.Receive(&m.Suspects) {
		l.node.spread(l, func(o *Link) { o.suspects.Dirty(quarantine.Order{}.Key(v)) })
	}
	if len(m.Records.BucketDigests) > 0 {
		l.answered.Store(true)
		l.saidComplete.Store(false)
	}
	l.takeOver(m)
	// Repairs and what is to be sent back go out at once.
	l.wake()
}

func (l *Link) receiveEndpoints(m *Message) {
	newest := port.StoreRevision(0)
	for _, e := range l.endpoints.Receive(&m.Endpoints) {
		l.node.spread(l, func(o *Link) { o.endpoints.Dirty(e.ID) })
		newest = max(newest, e.EntryRevision)
	}
	if l.node.listener != nil && newest.Era() > 0 {
		l.node.listener.EraHeard(newest, l.peerName())
	}
}

// takeOver decides whether this node is complete now. The initiator is with
// the answer to its first message. The other end is once both hold the same:
// a keeper that starts while the platform is down becomes complete through
// the routers that connect to it.
func (l *Link) takeOver(m *Message) {
	if m.Complete {
		l.peerComplete.Store(true)
	}
	if l.node.Complete() || !l.peerComplete.Load() {
		return
	}
	if l.initiator && m.Complete || l.records.Agrees() {
		l.node.becomeComplete()
	}
}
