package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// An answer doesn't name the start of the endpoint that gave it. Until this daemon
// receives the new incarnation of a restarted endpoint, a notice of that one is
// attributed to the former incarnation and would be lost with it; and a new one may be
// cold, which its own report doesn't say. So a new incarnation is asked itself before it
// is used.

// restartCheckTimeout bounds the time for which a restarted endpoint is not used
// because of its check.
const restartCheckTimeout = time.Second

// hasNotice reports whether a notice of the endpoint's incarnation is in force here.
func (g *Gateway) hasNotice(e port.Endpoint) bool { return g.seenLeaving.Has(e) || g.IsPaused(e) }

// isRestart reports whether a description of an endpoint names a later incarnation than
// this daemon has received.
func (g *Gateway) isRestart(described port.Endpoint) bool {
	known, found := g.endpointTable.get(described.ID)
	return found && known.Incarnation < described.Incarnation
}

// isUncheckedRestart reports whether a description of an endpoint names a later
// incarnation than this daemon has received, and the one received gave a notice.
func (g *Gateway) isUncheckedRestart(described port.Endpoint) bool {
	known, found := g.endpointTable.get(described.ID)
	return found && g.isRestart(described) && g.hasNotice(known.Endpoint)
}

// checkRestarts checks the endpoints that have been received with a new incarnation,
// before they are put into the table.
func (g *Gateway) checkRestarts(received []port.Endpoint) {
	for _, e := range received {
		if e.State == port.EndpointLive && g.isRestart(e) {
			g.checkIncarnation(e)
		}
	}
}

// checkIncarnation asks an endpoint itself for its notices, in the background. Until
// it has answered it counts as paused, and as cold for the requests that this daemon's
// scheduler places for others.
func (g *Gateway) checkIncarnation(e port.Endpoint) {
	now := g.Clock()
	until := now.Add(restartCheckTimeout)
	if !g.pauses.Start(now, &e, restartCheckTimeout) {
		return
	}
	g.recordNotice(e, verdictCheck, "it has restarted; it is not used until it answers")
	g.restartChecks.begin(&e)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), restartCheckTimeout)
		defer cancel()
		// Its notices, if any, are observed before the call returns.
		presence := g.probe(ctx, e)
		g.pauses.Cancel(&e, until)
		g.recordNotice(e, verdictCheck, "it is "+presence.String())
		g.restartChecks.end(&e)
		g.refreshEndpoints(e.ID)
	}()
}

// restartChecks holds the incarnations of endpoints that are being checked after a restart.
type restartChecks struct {
	mu sync.Mutex
	m  map[string]uint64
}

func (c *restartChecks) begin(e *port.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m == nil {
		c.m = make(map[string]uint64)
	}
	c.m[e.ID] = e.Incarnation
}

func (c *restartChecks) end(e *port.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.m[e.ID] == e.Incarnation {
		delete(c.m, e.ID)
	}
}

func (c *restartChecks) has(e *port.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation, found := c.m[e.ID]
	return found && incarnation == e.Incarnation
}

// formerStartRetention is how long the former start of a restarted endpoint is
// remembered, for requests that were lost with it.
const formerStartRetention = time.Minute

// formerStarts holds the starts of endpoints that have restarted under their ids.
type formerStarts struct {
	mu sync.Mutex
	m  map[string]formerStart
}

// formerStart is the last start of an endpoint before its present one.
type formerStart struct {
	incarnation uint64
	wasLeaving  bool
	replacedAt  time.Time
}

func (f *formerStarts) add(now time.Time, e *port.Endpoint, wasLeaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.m == nil {
		f.m = make(map[string]formerStart)
	}
	for id, s := range f.m {
		if now.Sub(s.replacedAt) > formerStartRetention {
			delete(f.m, id)
		}
	}
	f.m[e.ID] = formerStart{incarnation: e.Incarnation, wasLeaving: wasLeaving, replacedAt: now}
}

func (f *formerStarts) wasLeaving(e *port.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, found := f.m[e.ID]
	return found && s.incarnation == e.Incarnation && s.wasLeaving
}

// recordRestart records that an endpoint has a later start than the one described.
func (g *Gateway) recordRestart(former port.Endpoint) {
	g.formerStarts.add(g.Clock(), &former, g.hasAnnouncedLeaving(&former))
	g.crashWatch.Restarted(former)
}
