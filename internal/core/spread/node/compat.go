package node

import (
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// While daemons are replaced one after the other, some peers know no parts:
// they send records with their bodies, and have to be sent bodies.

// divide turns large bodies, as peers of an earlier build send them, into
// parts that are all held.
func (n *Node) divide(entries []spread.Revision) {
	for i := range entries {
		whole := entries[i].Record
		if len(entries[i].Parts) > 0 {
			continue
		}
		revision, parts := spread.Divide(whole)
		if len(parts) > 0 {
			n.bodies.put(whole, &revision, parts)
			n.noteWhole([]port.Record{whole})
			entries[i] = revision
		}
	}
}

// deferredKeys are records that wait until it is known how a peer takes them.
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

// asPeerTakes returns revisions as the peer understands them. Until it has said
// whether it takes parts, those that have some wait: with bodies they would be
// megabytes on each new link at the moment at which operators write.
func (l *Link) asPeerTakes(entries []spread.Revision) []spread.Revision {
	if l.peerTakesParts.Load() {
		return entries
	}
	if l.heard.Load() {
		return l.node.withBodies(entries)
	}
	now := slices.DeleteFunc(entries, func(r spread.Revision) bool {
		if len(r.Parts) > 0 {
			l.deferred.add(spread.RecordKey(r.Kind, r.Name))
		}
		return len(r.Parts) > 0
	})
	if l.heard.Load() {
		// The first word came in between.
		l.sendDeferred()
	}
	return now
}

// sendDeferred queues what waited for the peer's first word.
func (l *Link) sendDeferred() {
	for _, key := range l.deferred.take() {
		l.records.Dirty(key)
	}
}

// hearPeer takes note of what the peer understands.
func (l *Link) hearPeer(takesParts bool) {
	if takesParts {
		l.peerTakesParts.Store(true)
	}
	l.heard.Store(true)
	l.sendDeferred()
}

// withBodies replaces revisions in parts by the newest versions held whole, for
// a peer of an earlier build, which would take them for empty. One that isn't
// whole yet is left out, and sent once it is.
func (n *Node) withBodies(entries []spread.Revision) []spread.Revision {
	var out []spread.Revision
	for i := range entries {
		if len(entries[i].Parts) == 0 {
			out = append(out, entries[i])
			continue
		}
		if r, held := n.WholeRecord(entries[i].Kind, entries[i].Name); held {
			out = append(out, spread.Revision{Record: r})
		}
	}
	return out
}
