package node

import (
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// During a rolling upgrade some peers don't support records in parts. They send
// records with their bodies, and must be sent bodies.

// divideEntries converts entries with large bodies, as peers of earlier builds
// send them, to revisions in parts, and stores the bodies.
func (n *Node) divideEntries(entries []spread.Revision) {
	for i := range entries {
		whole := entries[i].Record
		if len(entries[i].Parts) > 0 {
			continue
		}
		revision, parts := spread.Divide(whole)
		if len(parts) > 0 {
			n.bodies.putWhole(whole, &revision, parts)
			n.handleCompleted([]port.Record{whole})
			entries[i] = revision
		}
	}
}

// deferredKeys are the keys of records to be sent once it is known whether the peer
// supports parts.
type deferredKeys struct {
	mu   sync.Mutex
	keys []string
}

func (d *deferredKeys) add(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.keys, key) {
		d.keys = append(d.keys, key)
	}
}

func (d *deferredKeys) take() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	keys := d.keys
	d.keys = nil
	return keys
}

// convertForPeer converts revisions to the form that the peer supports. Until the
// peer's first message shows whether it supports parts, revisions in parts are
// deferred: sent with their bodies, they would be megabytes on each new link, which
// delays the versions that operators write at that time.
func (l *Link) convertForPeer(entries []spread.Revision) []spread.Revision {
	if l.peerTakesParts.Load() {
		return entries
	}
	if l.receivedMessage.Load() {
		return l.node.withBodies(entries)
	}
	ready := slices.DeleteFunc(entries, func(r spread.Revision) bool {
		if len(r.Parts) > 0 {
			l.deferred.add(spread.RecordKey(r.Kind, r.Name))
		}
		return len(r.Parts) > 0
	})
	if l.receivedMessage.Load() {
		// The peer's first message arrived in between.
		l.sendDeferred()
	}
	return ready
}

// sendDeferred queues the records that were deferred until the peer's first
// message.
func (l *Link) sendDeferred() {
	for _, key := range l.deferred.take() {
		l.records.Queue(key)
	}
}

// recordPeerSupport records that a message was received and whether the peer
// supports parts.
func (l *Link) recordPeerSupport(takesParts bool) {
	if takesParts {
		l.peerTakesParts.Store(true)
	}
	l.receivedMessage.Store(true)
	l.sendDeferred()
}

// withBodies replaces revisions in parts by the newest versions with complete
// bodies, for a peer of an earlier build, which would take a revision in parts for
// one with an empty body. A record without a complete body is omitted, and sent
// once it has one.
func (n *Node) withBodies(entries []spread.Revision) []spread.Revision {
	var out []spread.Revision
	for i := range entries {
		if len(entries[i].Parts) == 0 {
			out = append(out, entries[i])
			continue
		}
		if r, held := n.CompleteRecord(entries[i].Kind, entries[i].Name); held {
			out = append(out, spread.Revision{Record: r})
		}
	}
	return out
}
