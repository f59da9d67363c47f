package node

import (
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// Bounds of what a link carries of parts.
const (
	// messageParts bounds the packed parts of one message, in bytes but for
	// the last one. Heartbeats wait behind a message, and a link without one
	// for a second is cut: this is 13 ms of a link of 10 Mbit/s.
	messageParts = 16 << 10
	// maxOwed bounds the parts that a peer can ask for and that aren't sent
	// yet; the largest record has some hundred.
	maxOwed = 4096
	// askAnewTicks is how many ticks without any part pass before a link asks
	// again for what it has asked for already.
	askAnewTicks = 4
)

// partExchange is one end of a link, for the parts of records. Each daemon asks
// one neighbour for the parts that it lacks, the one that told it of the
// version first, and is sent them as that neighbour gets them: a part crosses
// to each daemon once, however many neighbours it has.
type partExchange struct {
	mu sync.Mutex
	// asked are those asked of the peer and not come yet, ask those to ask for
	// with the next message.
	asked map[spread.PartID]struct{}
	ask   []spread.PartID
	// owed are those that the peer asked for, in its order.
	owed []spread.PartID
	// progress is the node's at the last tick, idle the ticks since it moved.
	progress uint64
	idle     int
}

// want asks for parts that were not asked for yet.
func (x *partExchange) want(parts []spread.PartID) (asks bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range parts {
		if _, done := x.asked[id]; done {
			continue
		}
		if x.asked == nil {
			x.asked = map[spread.PartID]struct{}{}
		}
		x.asked[id] = struct{}{}
		x.ask = append(x.ask, id)
	}
	return len(x.ask) > 0
}

func (x *partExchange) hasAsked(id spread.PartID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, asked := x.asked[id]
	return asked
}

// owe notes what the peer asks for.
func (x *partExchange) owe(parts []spread.PartID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range parts {
		if len(x.owed) < maxOwed && !slices.Contains(x.owed, id) {
			x.owed = append(x.owed, id)
		}
	}
}

// next returns what to ask for, and the parts held that the peer asked for.
func (x *partExchange) next(b *bodies) (ask []spread.PartID, parts [][]byte) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ask, x.ask = x.ask, nil
	size := 0
	x.owed = slices.DeleteFunc(x.owed, func(id spread.PartID) bool {
		if size >= messageParts {
			return false
		}
		packed := b.get(id)
		if packed == nil {
			return false
		}
		parts = append(parts, packed)
		size += len(packed)
		return true
	})
	return ask, parts
}

// more reports whether there is something to send.
func (x *partExchange) more(b *bodies) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.ask) > 0 || slices.ContainsFunc(x.owed, func(id spread.PartID) bool { return b.get(id) != nil })
}

// tick asks this peer, too, for what is missing once no part has come from
// anyone for a whole tick: the neighbour that was asked may be gone, frozen or
// cut off, or may wait for the same parts itself.
func (x *partExchange) tick(b *bodies) {
	missing, progress := b.lacks(), b.progress()
	x.mu.Lock()
	stalled := len(missing) > 0 && progress == x.progress
	x.progress = progress
	if !stalled {
		x.idle = 0
	} else if x.idle++; x.idle%askAnewTicks == 0 {
		clear(x.asked)
	}
	idle := x.idle
	x.mu.Unlock()
	if idle > 1 {
		x.want(missing)
	}
}

// forget drops what was asked for and has come, or is wanted no more.
func (x *partExchange) forget(missing []spread.PartID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id := range x.asked {
		if _, still := slices.BinarySearch(missing, id); !still {
			delete(x.asked, id)
		}
	}
}

// receiveRecords takes the versions and the parts of a message, and asks for
// what is missing now.
func (l *Link) receiveRecords(m *Message) {
	n := l.node
	n.divide(m.Records.Entries)
	if len(m.Parts) > 0 {
		n.noteWhole(n.bodies.take(m.Parts))
		n.passOnParts()
	}
	for _, r := range l.records.Receive(&m.Records) {
		raise(&n.highestKnown, r.Version)
		completed := n.bodies.expect(&r)
		n.heardRecord(&r, l.peerName())
		n.noteWhole(completed)
		key := spread.RecordKey(r.Kind, r.Name)
		n.spread(l, func(o *Link) { o.records.Dirty(key) })
	}
	for i := range m.Fallbacks {
		n.noteWhole(n.bodies.expect(&m.Fallbacks[i]))
	}
	l.parts.owe(m.WantedParts)
	missing := n.bodies.lacks()
	l.parts.forget(missing)
	l.parts.want(n.unasked(missing))
}

// passOnParts has the links send what their peers asked for and is held now.
func (n *Node) passOnParts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.parts.more(n.bodies) {
			l.wake()
		}
	}
}

// unasked returns the missing parts that no peer was asked for.
func (n *Node) unasked(missing []spread.PartID) []spread.PartID {
	if len(missing) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(missing, func(id spread.PartID) bool {
		for l := range n.links {
			if l.parts.hasAsked(id) {
				return true
			}
		}
		return false
	})
}

// askAnotherLink has one of the links that are left ask for what was asked of
// a peer that is gone.
func (n *Node) askAnotherLink() {
	missing := n.unasked(n.bodies.lacks())
	if len(missing) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.parts.want(missing) {
			l.wake()
			return
		}
	}
}
