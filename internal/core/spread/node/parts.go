package node

import (
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// Limits for the transfer of parts over a link.
const (
	// maxMessagePartBytes limits the compressed parts of one message, in bytes;
	// the last part may exceed it. Heartbeats wait behind a message, and a link
	// without a heartbeat for a second is closed. This size takes 13 ms at 10
	// Mbit/s.
	maxMessagePartBytes = 16 << 10
	// maxRequestedParts limits the parts that a peer can have requested and not
	// been sent yet. The largest record has about a hundred parts.
	maxRequestedParts = 4096
	// repeatRequestTicks is the number of ticks without any new part after which
	// a link repeats its requests.
	repeatRequestTicks = 4
)

// partExchange transfers parts of records over one end of a link. A daemon requests
// missing parts from one neighbour only, the first that sent the version. That
// neighbour sends them as it gets them itself. So each part is sent to each daemon
// once, however many neighbours it has.
type partExchange struct {
	mu sync.Mutex
	// requested are the parts requested from the peer that haven't arrived, toRequest
	// those of them to request with the next message.
	requested map[spread.PartID]struct{}
	toRequest []spread.PartID
	// toSend are the parts that the peer requested, in the order of its requests.
	toSend []spread.PartID
	// receivedAtLastTick is the node's number of received parts at the last tick,
	// idleTicks the number of consecutive ticks in which parts were missing and
	// none arrived.
	receivedAtLastTick uint64
	idleTicks          int
}

// request adds parts to the next request, unless they were requested from this peer
// already. It reports whether there is something to request.
func (x *partExchange) request(parts []spread.PartID) (pending bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range parts {
		if _, found := x.requested[id]; found {
			continue
		}
		if x.requested == nil {
			x.requested = map[spread.PartID]struct{}{}
		}
		x.requested[id] = struct{}{}
		x.toRequest = append(x.toRequest, id)
	}
	return len(x.toRequest) > 0
}

func (x *partExchange) hasRequested(id spread.PartID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, found := x.requested[id]
	return found
}

// addPeerRequests records the parts that the peer requests.
func (x *partExchange) addPeerRequests(parts []spread.PartID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range parts {
		if len(x.toSend) < maxRequestedParts && !slices.Contains(x.toSend, id) {
			x.toSend = append(x.toSend, id)
		}
	}
}

// next returns the parts to request, and those of the peer's requested parts that
// this node has, up to the limit of a message.
func (x *partExchange) next(b *bodies) (requests []spread.PartID, parts [][]byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	requests, x.toRequest = x.toRequest, nil
	size := 0
	x.toSend = slices.DeleteFunc(x.toSend, func(id spread.PartID) bool {
		if size >= maxMessagePartBytes {
			return false
		}
		packed := b.packedPart(id)
		if packed == nil {
			return false
		}
		parts = append(parts, packed)
		size += len(packed)
		return true
	})
	return requests, parts
}

// hasMore reports whether there are requests or requested parts to send.
func (x *partExchange) hasMore(b *bodies) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.toRequest) > 0 || slices.ContainsFunc(x.toSend, func(id spread.PartID) bool { return b.packedPart(id) != nil })
}

// tick requests the missing parts from this peer too once no part arrived from any
// peer for two ticks. The neighbour they were requested from may have failed, be
// frozen or unreachable, or lack the same parts itself.
func (x *partExchange) tick(b *bodies) {
	missing, received := b.missingParts(), b.receivedParts()
	x.mu.Lock()
	stalled := len(missing) > 0 && received == x.receivedAtLastTick
	x.receivedAtLastTick = received
	if !stalled {
		x.idleTicks = 0
	} else if x.idleTicks++; x.idleTicks%repeatRequestTicks == 0 {
		clear(x.requested)
	}
	idle := x.idleTicks
	x.mu.Unlock()
	if idle > 1 {
		x.request(missing)
	}
}

// dropObsoleteRequests removes requested parts that have arrived or are no longer
// needed.
func (x *partExchange) dropObsoleteRequests(missing []spread.PartID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id := range x.requested {
		if _, still := slices.BinarySearch(missing, id); !still {
			delete(x.requested, id)
		}
	}
}

// receiveRecords merges the revisions and parts of a message, and requests the
// parts that are missing then.
func (l *Link) receiveRecords(m *Message) {
	n := l.node
	n.divideEntries(m.Records.Entries)
	if len(m.Parts) > 0 {
		n.handleCompleted(n.bodies.receiveParts(m.Parts))
		n.wakeLinksWithParts()
	}
	for _, r := range l.records.Receive(&m.Records) {
		storeMax(&n.highestKnown, r.Version)
		completed := n.bodies.addRevision(&r)
		n.reportRecordHeard(&r, l.peerName())
		n.handleCompleted(completed)
		key := spread.RecordKey(r.Kind, r.Name)
		n.queueForLinks(l, func(o *Link) { o.records.Queue(key) })
	}
	for i := range m.Fallbacks {
		n.handleCompleted(n.bodies.addRevision(&m.Fallbacks[i]))
	}
	l.parts.addPeerRequests(m.WantedParts)
	missing := n.bodies.missingParts()
	l.parts.dropObsoleteRequests(missing)
	l.parts.request(n.unrequested(missing))
}

// wakeLinksWithParts wakes the links that can send parts which their peers requested.
func (n *Node) wakeLinksWithParts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.parts.hasMore(n.bodies) {
			l.wake()
		}
	}
}

// unrequested returns the missing parts that weren't requested from any peer. It
// overwrites missing.
func (n *Node) unrequested(missing []spread.PartID) []spread.PartID {
	if len(missing) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(missing, func(id spread.PartID) bool {
		for l := range n.links {
			if l.parts.hasRequested(id) {
				return true
			}
		}
		return false
	})
}

// requestFromAnotherLink requests the parts that were requested over a closed
// link from the peer of one of the remaining links.
func (n *Node) requestFromAnotherLink() {
	missing := n.unrequested(n.bodies.missingParts())
	if len(missing) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.parts.request(missing) {
			l.wake()
			return
		}
	}
}
