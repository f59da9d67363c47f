package httpservice

import (
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxEndpoints limits the number of endpoints whose naming of replies is remembered.
const maxEndpoints = 4096

// naming remembers which endpoints name the call in their replies, so that its connections can
// be kept for other calls. It is safe for concurrent use.
type naming struct {
	mu        sync.Mutex
	endpoints map[string]namedReplies
}

// namedReplies is what one start of an endpoint at one address has shown.
type namedReplies struct {
	address     string
	incarnation uint64
	state       namingState
}

type namingState int

const (
	// namingAsked: the first call has no reply yet.
	namingAsked namingState = iota
	// namingShown: all replies so far named their calls.
	namingShown
	// namingAbsent: a reply named no call. It isn't revised, because replies of some paths may be
	// named and others not.
	namingAbsent
)

// mayKeep reports whether a call to an endpoint may use a connection that other calls use: the
// first one, which no other precedes, and the later ones if replies are named.
func (n *naming) mayKeep(e port.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.endpoints[e.ID]
	if found && known.address == e.Address && known.incarnation == e.Incarnation {
		return known.state == namingShown
	}
	if n.endpoints == nil {
		n.endpoints = make(map[string]namedReplies)
	}
	if !found && len(n.endpoints) >= maxEndpoints {
		for id := range n.endpoints {
			delete(n.endpoints, id)
			break
		}
	}
	n.endpoints[e.ID] = namedReplies{address: e.Address, incarnation: e.Incarnation}
	return true
}

// record records what a reply to a call that mayKeep allowed shows. It reports whether
// connections are no longer kept because of it.
func (n *naming) record(e port.Endpoint, identity port.Identity) (ended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, found := n.endpoints[e.ID]
	if !found || known.address != e.Address || known.incarnation != e.Incarnation {
		return false
	}
	switch {
	case identity == port.IdentityNone:
		ended = known.state != namingAbsent
		known.state = namingAbsent
	case known.state == namingAsked:
		known.state = namingShown
	}
	n.endpoints[e.ID] = known
	return ended
}

// forget records that a call got no reply, so that the next one is the first.
func (n *naming) forget(e port.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known, found := n.endpoints[e.ID]; found && known.state == namingAsked {
		delete(n.endpoints, e.ID)
	}
}
