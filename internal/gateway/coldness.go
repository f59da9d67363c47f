package gateway

import (
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/coldstart"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// withColdness sets the request rate that an endpoint accepts while it is cold;
// zero if it is not cold. One that has restarted counts as cold until it has answered a
// check.
func (g *Gateway) withColdness(now time.Time, e port.Endpoint) port.Endpoint {
	g.coldTracker.ApplyEntry(now, &e)
	e.ColdRate = 0
	if !g.coldTracker.IsCold(now, &e) && !g.restartChecks.has(&e) {
		return e
	}
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(e.Pool); ok {
			e.ColdRate = p.ColdRate
		}
	}
	return e
}

// observeColdness applies the time for which an endpoint reports that it stays
// cold, and announces that it has become cold or stays cold for longer than known: what
// it accepts is shared among all daemons.
func (g *Gateway) observeColdness(at port.Endpoint, coldFor *time.Duration) {
	if coldFor == nil || !g.coldTracker.ApplyAnswer(g.Clock(), &at, coldFor) {
		return
	}
	if *coldFor > 0 {
		g.Notices.PublishCold(at.ID, at.Incarnation, min(*coldFor, coldstart.MaxColdTime))
	}
	g.refreshEndpoints(at.ID)
}

// restoreWarmed restores the usual share of the endpoints that are no longer
// cold.
func (g *Gateway) restoreWarmed() {
	g.refreshEndpoints(g.coldTracker.Warmed(g.Clock())...)
}

// refreshEndpoints applies endpoints of the table again, after a change of what
// this daemon observed of them.
func (g *Gateway) refreshEndpoints(ids ...string) {
	if len(ids) == 0 {
		return
	}
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	var stored []port.Endpoint
	for _, id := range ids {
		if h, found := g.endpointTable.get(id); found {
			stored = append(stored, h.Endpoint)
		}
	}
	g.applyEndpoints(stored)
}

// recordColdnessChange records that an endpoint has become cold or warm.
func (g *Gateway) recordColdnessChange(before float64, e *port.Endpoint) {
	if before == e.ColdRate {
		return
	}
	g.limitBackoffs.reset(e.ID)
	g.limitBackoffs.reset(poolKey(e.Pool))
	verdict, reason := verdictWarm, "gets its usual share again"
	if e.ColdRate > 0 {
		verdict = verdictCold
		reason = "takes " + strconv.FormatFloat(e.ColdRate, 'g', 4, 64) + " requests a second from all daemons together while it is cold"
	}
	g.recordDecision(&port.DecisionRecord{
		Subject: subjectEndpoint, SubjectID: e.ID, Verdict: verdict, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}
