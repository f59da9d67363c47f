package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/reachability"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// pathCheckTimeout bounds one check of a path. It is much longer than a round trip
	// to an endpoint in another failure domain.
	pathCheckTimeout = 300 * time.Millisecond
	// silenceUntilCheck is how long an attempt may go without a sign of the endpoint
	// until the path to it is checked.
	silenceUntilCheck = 200 * time.Millisecond
)

// ObservePath evaluates what a call to an endpoint shows of the path to it.
func (g *Gateway) ObservePath(e port.Endpoint, evidence port.PathEvidence, err error) {
	known, found := g.endpointTable.get(e.ID)
	if !found || known.State == port.EndpointGone {
		return
	}
	g.applyPathChanges(g.paths.Observe(g.Clock(), e.ID, e.Pool, evidence), err)
}

func (g *Gateway) applyPathChanges(changes []reachability.Change, err error) {
	for _, c := range changes {
		g.recordPathChange(c, err)
		switch {
		case c.Endpoint == "":
		case c.Lost:
			g.checkAbandoned(c.Endpoint)
		default:
			// Its failures were those of the path.
			g.breakers.Success(c.Endpoint)
		}
	}
	if len(changes) > 0 {
		g.metrics.pathsLost.Update(int64(g.paths.LostPaths()))
		g.publishLostPools()
	}
}

// checkAbandoned has an endpoint that this daemon doesn't reach checked if attempts there
// were abandoned a moment ago: it may have ended under them.
func (g *Gateway) checkAbandoned(id string) {
	if e, found := g.endpointTable.get(id); found {
		g.crashWatch.Unreached(e.Endpoint)
	}
}

// lostPools holds the lost pools as published last.
type lostPools struct {
	mu        sync.Mutex
	published []string
}

// publishLostPools announces the lost pools to the other daemons if they have changed.
func (g *Gateway) publishLostPools() {
	p := &g.publishedLostPools
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := g.paths.LostPools()
	if slices.Equal(lost, p.published) {
		return
	}
	p.published = lost
	g.metrics.poolsLost.Update(int64(len(lost)))
	g.Announcer.PublishLostPools(lost)
}

// recordPathChange records that this daemon has lost or regained its path to an
// endpoint or to all endpoints of a pool.
func (g *Gateway) recordPathChange(c reachability.Change, err error) {
	verdict, reason := verdictPathRestored, c.Evidence.String()+"; lost for "+c.For.Round(time.Millisecond).String()
	if c.Lost {
		verdict, reason = verdictPathLost, c.Evidence.String()
		if err != nil {
			reason += ": " + err.Error()
		}
	}
	subject, id := subjectEndpoint, c.Endpoint
	if id == "" {
		subject, id = subjectPool, c.Pool
	}
	g.recordDecision(&port.DecisionRecord{Subject: subject, SubjectID: id, Verdict: verdict, Reason: reason, Endpoint: c.Endpoint})
}

// checkPaths starts the checks of paths that are due.
func (g *Gateway) checkPaths() {
	// Endpoints that join or leave a pool change whether it is lost.
	g.publishLostPools()
	for _, id := range g.paths.DueChecks(g.Clock(), g.endpointTable.isLive) {
		if e, found := g.endpointTable.get(id); found && !g.IsPaused(e.Endpoint) {
			g.metrics.pathChecks.Inc(1)
			go g.checkPath(e.Endpoint)
		}
	}
}

// checkPath checks the path to an endpoint; the client reports the result to
// ObservePath.
func (g *Gateway) checkPath(e port.Endpoint) port.Presence {
	ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
	defer cancel()
	return g.Endpoints.CheckPath(ctx, e, g.healthPath(e.Pool))
}

// checkPathIfSilent checks the path to an attempt's endpoint if there is no sign of it
// for a while. The caller calls stop once the endpoint has answered.
func (x *exchange) checkPathIfSilent(p *placement) (stop func() bool) {
	began := x.g.Clock()
	timer := time.AfterFunc(silenceUntilCheck, func() {
		// An engine may take seconds until it answers.
		if !p.generation || !x.g.paths.ConnectedSince(p.endpoint.ID, began) {
			x.g.paths.RequestCheck(x.g.Clock(), p.endpoint.ID, p.endpoint.Pool, false)
		}
	})
	return timer.Stop
}

const (
	// recentReach is the age up to which an answer shows that a path works now.
	recentReach = 50 * time.Millisecond
	// otherChecks is the number of other endpoints that are asked.
	otherChecks = 2
)

// reachesOthers reports whether this daemon has a path to other endpoints of the pool of
// one that failed, so that the failure is that endpoint's. For the only endpoint of a pool
// another pool counts.
func (g *Gateway) reachesOthers(failed port.Endpoint) bool {
	return !g.paths.IsSuspect(failed.Pool) && g.reachesAnother(failed)
}

// reachesAnother reports whether another endpoint of the pool of one that failed answers
// now; if there is none that can be asked, whether one of another pool does.
func (g *Gateway) reachesAnother(failed port.Endpoint) bool {
	if g.paths.OtherReachedSince(failed.Pool, failed.ID, g.Clock().Add(-recentReach)) {
		return true
	}
	others := slices.DeleteFunc(g.askableIDs(failed.Pool), func(id string) bool { return id == failed.ID })
	if len(others) == 0 {
		return g.reachesOtherPool(failed.Pool)
	}
	return g.reachesAnyOf(others)
}

// reachesOtherPool reports whether an endpoint of another pool answers this daemon now.
func (g *Gateway) reachesOtherPool(pool string) bool {
	index := g.index.Load()
	if index == nil {
		return false
	}
	var others []string
	for _, other := range index.Pools() {
		if other.Name != pool {
			others = append(others, g.askableIDs(other.Name)...)
		}
	}
	return g.reachesAnyOf(slices.DeleteFunc(others, g.paths.IsLost))
}

// askableIDs returns the endpoints of a pool that may be checked.
func (g *Gateway) askableIDs(pool string) []string {
	return slices.DeleteFunc(g.endpointTable.usableIDs(pool), func(id string) bool {
		e, found := g.endpointTable.get(id)
		return !found || g.IsPaused(e.Endpoint)
	})
}

// reachesAnyOf checks the paths to some of the given endpoints, at first to those that
// haven't failed, and reports whether one of them answers.
func (g *Gateway) reachesAnyOf(ids []string) bool {
	shuffle(ids)
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(g.failedChecks(a), g.failedChecks(b)) })
	ids = ids[:min(otherChecks, len(ids))]
	serving := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { serving <- g.checkOther(id) }()
	}
	for range ids {
		if <-serving {
			return true
		}
	}
	return false
}

// failedChecks returns 1 if checks of an endpoint have failed and none has succeeded since,
// or if it ended a moment ago, and 0 otherwise.
func (g *Gateway) failedChecks(id string) int {
	if e, found := g.endpointTable.get(id); !found || g.paths.IsLost(id) || g.crashWatch.IsDown(e.Endpoint) {
		return 1
	}
	return 0
}

// failsAlone reports whether an endpoint that has just been found out of reach stays so
// while another of its pool answers, both before and after a further check of it, or has
// done so. Paths that are cut or found together change within recentReach.
func (g *Gateway) failsAlone(e port.Endpoint) bool {
	if g.paths.FailsAlone(e.ID) {
		return true
	}
	if !g.reachesAnother(e) {
		return false
	}
	time.Sleep(recentReach)
	switch g.checkPath(e) {
	case port.PresenceReplaced:
		return true
	case port.PresenceGone, port.PresenceSilent:
		return g.reachesAnother(e)
	}
	return false
}

// checkOther checks the path to an endpoint. Concurrent calls for one share a check.
func (g *Gateway) checkOther(id string) bool {
	result, _, _ := g.otherCheckCalls.Do(id, func() (any, error) {
		e, found := g.endpointTable.get(id)
		if !found || g.IsPaused(e.Endpoint) {
			return false, nil
		}
		g.metrics.pathChecks.Inc(1)
		return g.checkPath(e.Endpoint) == port.PresenceServing, nil
	})
	return result.(bool)
}

// CheckEndpoint checks for another daemon whether this one reaches an endpoint. known is
// false if it doesn't know that incarnation yet, if the endpoint has asked this host for a
// pause or doesn't answer in time, or if it doesn't answer while others aren't reached either.
func (g *Gateway) CheckEndpoint(id string, incarnation uint64) (reached, known bool) {
	e, found := g.endpointTable.get(id)
	if found && e.Incarnation > incarnation {
		return false, true
	}
	if !found || e.Incarnation != incarnation || g.IsPaused(e.Endpoint) {
		return false, false
	}
	switch g.checkPath(e.Endpoint) {
	case port.PresenceServing:
		return true, true
	case port.PresenceReplaced:
		return false, true
	case port.PresenceUnknown, port.PresenceUnreached:
		return false, false
	}
	settled := g.Clock().Sub(g.paths.RestoredAt(e.Pool)) >= pathSettleTime
	return false, settled && g.failsAlone(e.Endpoint)
}
