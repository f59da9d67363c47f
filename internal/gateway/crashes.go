package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// watchCrashes returns a crash watch for this gateway's attempts.
func (g *Gateway) watchCrashes() *crashwatch.Watch {
	return crashwatch.New(crashwatch.Options{
		Quarantine: g.Quarantine, CheckPresence: g.probe, IsLeaving: g.isLeaving, IsDropped: g.isDropped, ConfirmEnd: g.confirmEnd, PresumeEnd: g.presumeEnd,
		OnCrash: g.recordCrash, Clock: g.Clock,
	})
}

// Limits on confirming the end of an endpoint.
const (
	// maxConfirmingPeers bounds the peers that are asked.
	maxConfirmingPeers = 3
	// pathSettleTime is how long this daemon takes to find out whether it is its path
	// to a pool that is lost.
	pathSettleTime = 2 * pathCheckTimeout
)

// confirmEnd reports whether an endpoint that doesn't answer this daemon has ended. A
// lost path breaks all connections at once just as a crash does, so other daemons are
// asked; if none of them has an answer, this daemon must reach other endpoints of the pool.
func (g *Gateway) confirmEnd(e port.Endpoint) bool {
	reached, known := g.askPeers(e)
	if !known {
		for began := time.Now(); g.paths.IsSuspect(e.Pool) && !g.paths.FailsAlone(e.ID) && time.Since(began) < pathSettleTime; {
			time.Sleep(tickInterval)
		}
		time.Sleep(pathSettleTime - g.Clock().Sub(g.paths.RestoredAt(e.Pool)))
		reached = !g.failsAlone(e)
	}
	if reached {
		g.recordChange(subjectEndpoint, e.ID, verdictPathLost, "its connections broke, but that is no sign of its end: others reach it or nothing else is reached from here", 0)
	}
	return !reached
}

// presumeEnd reports whether the endpoints of a pool have most likely ended together: no
// daemon has a path to the pool, although this one reaches another pool. A cut of network
// paths mostly leaves some daemons theirs. since is when this daemon lost the pool.
func (g *Gateway) presumeEnd(e port.Endpoint) (since time.Time, presumed bool) {
	peers := 0
	for _, m := range g.View.Members() {
		if m.ID == g.options().ID || m.State != port.MemberLive {
			continue
		}
		if !slices.Contains(m.LostPools, e.Pool) {
			return time.Time{}, false
		}
		peers++
	}
	since, lost := g.paths.LostSince(e.Pool)
	return since, lost && peers > 0 && g.reachesOtherPool(e.Pool)
}

// askPeers asks other daemons whether they reach an endpoint. known is false if none
// has an answer.
func (g *Gateway) askPeers(e port.Endpoint) (reached, known bool) {
	if g.Relayer == nil {
		return false, false
	}
	type reply struct{ reached, known bool }
	peers := g.relays.choose(g.Clock(), g.peersWithPath(e.Pool), maxConfirmingPeers)
	replies := make(chan reply, len(peers))
	for _, peer := range peers {
		go func() {
			reached, known := g.Relayer.CheckEndpoint(context.Background(), &peer, e)
			replies <- reply{reached, known}
		}()
	}
	for range peers {
		r := <-replies
		if r.reached {
			return true, true
		}
		known = known || r.known
	}
	return false, known
}

// probe requests an endpoint's health check, also while it is paused: probes follow
// a lost connection, and the first one that reaches the endpoint is the last. An engine
// that answers is asked for its load report, which names its start; without the report it
// isn't known which start answers.
func (g *Gateway) probe(ctx context.Context, e port.Endpoint) port.Presence {
	presence := g.Endpoints.CheckPresence(ctx, e, g.healthPath(e.Pool))
	if presence != port.PresenceServing || e.Kind != port.KindRunner || e.Incarnation == 0 {
		return presence
	}
	switch r, err := g.Endpoints.Load(ctx, e); {
	case err != nil:
		return port.PresenceUnknown
	case r.Incarnation > e.Incarnation:
		return port.PresenceReplaced
	}
	return presence
}

// healthPath returns the path of the health checks of a pool's endpoints.
func (g *Gateway) healthPath(pool string) string {
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(pool); ok && p.HealthPath != "" {
			return p.HealthPath
		}
	}
	return "/"
}

// isLeaving reports whether a start of an endpoint was known to leave, also if it has
// restarted since.
func (g *Gateway) isLeaving(e port.Endpoint) bool {
	h, found := g.endpointTable.get(e.ID)
	if found && h.Incarnation == e.Incarnation {
		return g.hasAnnouncedLeaving(&h.Endpoint)
	}
	return g.formerStarts.wasLeaving(&e)
}

// hasAnnouncedLeaving reports whether an endpoint that is as described has announced its
// leaving, to this daemon or to the registry.
func (g *Gateway) hasAnnouncedLeaving(e *port.Endpoint) bool {
	return e.State != port.EndpointLive && !e.Dropped || g.seenLeaving.Has(*e)
}

// isDropped reports whether the registry has dropped an endpoint that had not announced
// its leaving.
func (g *Gateway) isDropped(e port.Endpoint) bool {
	h, found := g.endpointTable.get(e.ID)
	return found && h.Incarnation == e.Incarnation && h.Dropped && !g.hasAnnouncedLeaving(&h.Endpoint)
}

func (g *Gateway) recordCrash(e port.Endpoint, crash quarantine.CrashID, reason string, lost int) {
	g.metrics.crashes.Inc(1)
	g.recordChange(subjectEndpoint, e.ID, verdictCrash, fmt.Sprintf("%s; %d requests were lost with it here; crash %s", reason, lost, crash), 0)
}

// quarantineRefusal returns the refusal of a request that crashes endpoints,
// nil for any other request.
func (x *exchange) quarantineRefusal() *Refusal {
	hold, quarantined := x.g.Quarantine.Quarantined(x.g.Clock(), x.identity())
	if !quarantined || x.beginTrial(&hold) {
		return nil
	}
	x.quarantined = true
	detail := "endpoints crash whenever they run this request; it is not sent to any other"
	if len(hold.Parts) > 0 {
		x.crashingPart = hold.Parts[0].Fingerprint.String()
		detail = "endpoints crash whenever they run a prompt with " + partList(hold.Parts) + "; it is not sent to any"
	}
	return &Refusal{Cause: CauseQuarantined, RetryAfter: hold.Remaining, Detail: detail}
}

// partList names the parts of a combination.
func partList(parts []quarantine.Part) string {
	if len(parts) == 1 {
		return "the part " + quarantine.PartName(parts[0].ID)
	}
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, quarantine.PartName(p.ID))
	}
	return "the parts " + strings.Join(names, " and ")
}

// identity returns what identifies the request and the parts of its prompt, computed at
// the first call.
func (x *exchange) identity() *quarantine.Request {
	if x.quarantineRequest == nil {
		r := x.req
		x.quarantineRequest = &quarantine.Request{
			Fingerprint:  quarantine.FingerprintOf(r.Admission.Organisation, r.Method, r.Host, r.Target, r.Body),
			Organisation: r.Admission.Organisation,
			Parts:        x.sharedParts(),
		}
	}
	return x.quarantineRequest
}

// sharedParts returns the parts of the prompt that other requests may have, too.
func (x *exchange) sharedParts() []quarantine.Part {
	if x.req.Generation == nil {
		return nil
	}
	scope := quarantine.Scope{Organisation: x.req.Admission.Organisation, Pool: x.pool, Model: x.req.Generation.Model}
	ids := make([]uint64, 0, len(x.req.Generation.Parts))
	for _, p := range x.req.Generation.Parts {
		ids = append(ids, p.ID)
	}
	return scope.Parts(ids)
}
