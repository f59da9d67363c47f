package node

import (
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// loads holds the newest load of each daemon. Unlike the tables it has no
// digests: a load that is lost on the way is followed by a newer one soon.
type loads struct {
	mu    sync.Mutex
	byID  map[string]port.DaemonLoad
	heard func(*port.DaemonLoad)
}

// take keeps a load that is newer than the one held.
func (l *loads) take(v *port.DaemonLoad) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, held := l.byID[v.Daemon]; held && !v.Newer(&old) {
		return false
	}
	if l.byID == nil {
		l.byID = make(map[string]port.DaemonLoad)
	}
	l.byID[v.Daemon] = *v
	return true
}

func (l *loads) get(daemon string) (port.DaemonLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.byID[daemon]
	return v, ok
}

// dirtyLoads are the daemons whose loads a link has yet to send.
type dirtyLoads struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func (d *dirtyLoads) add(daemon string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ids == nil {
		d.ids = make(map[string]struct{})
	}
	d.ids[daemon] = struct{}{}
}

func (d *dirtyLoads) drain(from *loads) []port.DaemonLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []port.DaemonLoad
	for id := range d.ids {
		if v, ok := from.get(id); ok {
			out = append(out, v)
		}
	}
	clear(d.ids)
	return out
}

// OnLoad sets who is told of the loads of other daemons. Call it before the
// first link is opened.
func (n *Node) OnLoad(heard func(*port.DaemonLoad)) { n.loads.heard = heard }

// PutLoad passes on this daemon's own load.
func (n *Node) PutLoad(v *port.DaemonLoad) {
	if n.loads.take(v) {
		n.spreadLoad(nil, v.Daemon)
	}
}

func (n *Node) spreadLoad(from *Link, daemon string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l != from {
			l.loads.add(daemon)
			l.wake()
		}
	}
}

// receiveLoads keeps and passes on what is newer than what is held.
func (l *Link) receiveLoads(vs []port.DaemonLoad) {
	for i := range vs {
		if !l.node.loads.take(&vs[i]) {
			continue
		}
		l.node.spreadLoad(l, vs[i].Daemon)
		if heard := l.node.loads.heard; heard != nil {
			heard(&vs[i])
		}
	}
}
