package node

import (
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Message is one message of the exchange over a link.
type Message struct {
	Records   spread.Step[spread.Revision]
	Endpoints spread.Step[membership.Endpoint]
	Members   spread.Step[membership.Member]
	Suspects  spread.Step[quarantine.Suspect]
	// PartSuspects are empty at peers of a build that doesn't have them.
	PartSuspects spread.Step[quarantine.PartSuspect]
	// HighestVersion is the highest record version that any daemon is known to have.
	HighestVersion uint64
	// Complete is set if the sender has a complete set of records, and has sent all
	// of it to the receiver with this message.
	Complete bool
	// Parts are the compressed parts of bodies that the receiver requested,
	// WantedParts the ids of the parts that the sender requests.
	Parts       [][]byte
	WantedParts []spread.PartID
	// Fallbacks are the newest complete versions of those of Records whose bodies
	// the sender doesn't have. The only daemon with all parts of the newest version
	// may have failed; a daemon that starts then can use the version before.
	Fallbacks []spread.Revision
	// SupportsParts is set in the first message on a link if the sender supports
	// records in parts.
	SupportsParts bool
}

// Empty reports whether the message has no content.
func (m *Message) Empty() bool {
	return m.Records.Empty() && m.Endpoints.Empty() && m.Members.Empty() && m.Suspects.Empty() && m.PartSuspects.Empty() &&
		m.HighestVersion == 0 && !m.Complete &&
		len(m.Parts) == 0 && len(m.WantedParts) == 0 && !m.SupportsParts
}

// repairRequestTicks is the number of ticks after which a node that isn't complete
// repeats its request for a repair of the records.
const repairRequestTicks = 3

// Link is one end of a connection to another node.
type Link struct {
	node      *Node
	initiator bool
	records   *spread.Exchange[spread.Revision]
	endpoints *spread.Exchange[membership.Endpoint]
	members   *spread.Exchange[membership.Member]
	suspects  *spread.Exchange[quarantine.Suspect]

	partSuspects *spread.Exchange[quarantine.PartSuspect]

	parts   partExchange
	wakeups chan struct{}
	// bucketsCompared is set once the peer's bucket digests were compared. Only
	// then can the end that isn't the initiator have sent all that the peer
	// lacks, so only then it may send Complete.
	bucketsCompared    atomic.Bool
	sentComplete       atomic.Bool
	sentHighestVersion atomic.Uint64
	// peerComplete is set once the peer has sent Complete.
	peerComplete atomic.Bool
	// peerTakesParts is set once the peer has sent SupportsParts.
	peerTakesParts atomic.Bool
	sentTakesParts atomic.Bool
	// receivedMessage is set once a message from the peer was received.
	receivedMessage atomic.Bool
	// deferred are the records in parts that wait for the peer's first message.
	deferred deferredKeys
	// endpointsPaused keeps changes of endpoints in the queue.
	endpointsPaused atomic.Bool
	// peer is the name of the other end, for the Listener.
	peer atomic.Pointer[string]
	// ticks counts the ticks while the node isn't complete, see repairRequestTicks.
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

		partSuspects: spread.NewExchange(n.partSuspects, initiator),

		wakeups: make(chan struct{}, 1),
	}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	return l
}

// SetPeer sets the name of the other end that the Listener gets.
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
	l.node.requestFromAnotherLink()
}

// Wakeups returns a channel that receives a value when there is something to send.
func (l *Link) Wakeups() <-chan struct{} { return l.wakeups }

func (l *Link) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// PauseEndpoints stops the sending of endpoints, or resumes it.
func (l *Link) PauseEndpoints(hold bool) {
	if l.endpointsPaused.Swap(hold) && !hold {
		l.wake()
	}
}

// wakeIfMore wakes the link if data remains that didn't fit into the message.
func (l *Link) wakeIfMore() {
	if l.records.HasMore() || l.members.HasMore() || l.suspects.HasMore() || l.partSuspects.HasMore() || l.parts.hasMore(l.node.bodies) || !l.endpointsPaused.Load() && l.endpoints.HasMore() {
		l.wake()
	}
}

// Tick compares digests; call it once per heartbeat.
func (l *Link) Tick() {
	if !l.node.Complete() && l.ticks.Add(1)%repairRequestTicks == 0 {
		l.records.RequestRepair()
	}
	l.records.Tick()
	l.endpoints.Tick()
	l.members.Tick()
	l.suspects.Tick()
	l.partSuspects.Tick()
	l.parts.tick(l.node.bodies)
}

// Next returns the next message to send; it may be empty.
func (l *Link) Next() Message {
	// Completeness is read before the records. Otherwise a list that ends in
	// between could make the message complete without the list's last records.
	complete := l.node.Complete() && (l.initiator || l.bucketsCompared.Load())
	defer l.wakeIfMore()
	m := Message{Records: l.records.Next(), Members: l.members.Next(), Suspects: l.suspects.Next(), PartSuspects: l.partSuspects.Next()}
	if !l.endpointsPaused.Load() {
		m.Endpoints = l.endpoints.Next()
	}
	m.Fallbacks = l.node.bodies.wholeRevisions(m.Records.Entries)
	m.Records.Entries = l.convertForPeer(m.Records.Entries)
	m.WantedParts, m.Parts = l.parts.next(l.node.bodies)
	m.SupportsParts = !l.sentTakesParts.Swap(true)
	if highest := l.node.HighestKnown(); highest > l.sentHighestVersion.Load() {
		m.HighestVersion = highest
		l.sentHighestVersion.Store(highest)
	}
	if complete && !l.records.HasMore() && !l.sentComplete.Swap(true) {
		m.Complete = true
	}
	return m
}

// Receive merges a message and queues its changes for the other links.
func (l *Link) Receive(m *Message) {
	storeMax(&l.node.highestKnown, m.HighestVersion)
	l.recordPeerSupport(m.SupportsParts)
	l.receiveRecords(m)
	l.receiveEndpoints(m)
	for _, v := range l.members.Receive(&m.Members) {
		l.node.queueForLinks(l, func(o *Link) { o.members.Queue(v.ID) })
	}
	for _, v := range l.suspects.Receive(&m.Suspects) {
		l.node.queueForLinks(l, func(o *Link) { o.suspects.Queue(quarantine.SuspectOrder{}.Key(v)) })
	}
	for _, v := range l.partSuspects.Receive(&m.PartSuspects) {
		l.node.queueForLinks(l, func(o *Link) { o.partSuspects.Queue(quarantine.PartOrder{}.Key(v)) })
	}
	if len(m.Records.BucketDigests) > 0 {
		l.bucketsCompared.Store(true)
		l.sentComplete.Store(false)
	}
	l.updateComplete(m)
	// Repairs and differing entries are sent without waiting for a tick.
	l.wake()
}

func (l *Link) receiveEndpoints(m *Message) {
	newest := port.StoreRevision(0)
	for _, e := range l.endpoints.Receive(&m.Endpoints) {
		l.node.queueForLinks(l, func(o *Link) { o.endpoints.Queue(e.ID) })
		newest = max(newest, e.EntryRevision)
	}
	if l.node.listener != nil && newest.Era() > 0 {
		l.node.listener.EraReceived(newest, l.peerName())
	}
}

// updateComplete makes this node complete if the peer's complete set has been
// received. At the initiator that is so with a message that has Complete set. At
// the other end it is once both have the same records: a keeper that starts while
// the platform is down becomes complete through the routers that connect to it.
func (l *Link) updateComplete(m *Message) {
	if m.Complete {
		l.peerComplete.Store(true)
	}
	if l.node.Complete() || !l.peerComplete.Load() {
		return
	}
	if l.initiator && m.Complete || l.records.InSync() {
		l.node.setRevisionsComplete()
	}
}
