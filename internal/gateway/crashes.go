package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Quarantine knows the requests that crash the endpoints that run them, from
// what all daemons saw.
type Quarantine interface {
	// Condemned reports whether a request is not to be sent, and for how long.
	Condemned(now time.Time, f quarantine.Fingerprint) (left time.Duration, condemned bool)
	// Completed takes a request that ran to its end.
	Completed(now time.Time, f quarantine.Fingerprint)
	// Crashed takes the requests that ran at an endpoint when it ended.
	Crashed(now time.Time, crash quarantine.CrashID, ran []quarantine.Fingerprint)
}

// Times of looking at an endpoint at which connections broke.
const (
	// lookSettle lets the connections of all attempts at an endpoint break before
	// it is judged by them.
	lookSettle = 50 * time.Millisecond
	// lookTimeout bounds one look.
	lookTimeout = time.Second
)

// lookPauses are the pauses before each look: an endpoint that has ended is most
// often back after some seconds.
func lookPauses() []time.Duration {
	return []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}
}

func keyOf(e port.Endpoint) quarantine.EndpointKey {
	return quarantine.EndpointKey{ID: e.ID, Incarnation: e.Incarnation}
}

// condemned is the refusal of a request that crashes endpoints, nil for any
// other.
func (x *exchange) condemned() *Refusal {
	left, condemned := x.g.Quarantine.Condemned(x.g.Clock(), x.fingerprint())
	if !condemned {
		return nil
	}
	return &Refusal{
		Cause: CauseQuarantined, RetryAfter: left,
		Detail: "endpoints crash whenever they run this request; it is not sent to any other",
	}
}

// takeOff notes that an attempt is sent.
func (x *exchange) takeOff(p *placement) {
	p.flight = x.g.flights.Begin(x.g.Clock(), keyOf(p.endpoint), x.fingerprint())
}

// land notes that an attempt is over. Where its connection broke, somebody finds
// out whether its endpoint has ended.
func (x *exchange) land(p *placement) {
	g := x.g
	if !x.lost {
		g.flights.End(p.flight)
		return
	}
	look, gone := g.flights.Lost(g.Clock(), p.flight)
	switch {
	case gone:
		g.Quarantine.Crashed(g.Clock(), quarantine.CrashOf(p.endpoint.ID, p.endpoint.Incarnation), []quarantine.Fingerprint{x.fingerprint()})
	case look:
		go g.lookAt(p.endpoint)
	}
}

// lookAt finds out whether an endpoint at which a connection broke has ended.
func (g *Gateway) lookAt(e port.Endpoint) {
	silent := 0
	for _, pause := range lookPauses() {
		time.Sleep(pause)
		switch g.look(e) {
		case port.PresenceServing:
			g.flights.Alive(keyOf(e))
			return
		case port.PresenceGone:
			time.Sleep(lookSettle)
			if g.ended(e, "nothing listens there, or another one") {
				return
			}
		case port.PresenceSilent:
			silent++
		}
	}
	if silent == len(lookPauses()) && g.ended(e, "connections end without an answer") {
		return
	}
	g.flights.Alive(keyOf(e))
}

func (g *Gateway) look(e port.Endpoint) port.Presence {
	path := "/"
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(e.Pool); ok && p.HealthPath != "" {
			path = p.HealthPath
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	return g.Endpoints.Look(ctx, e, path)
}

// ended takes the end of an endpoint, unless that is in doubt. One that was
// leaving has ended as planned.
func (g *Gateway) ended(e port.Endpoint, reason string) bool {
	now := g.Clock()
	lost, doubt := g.flights.Gone(now, keyOf(e))
	if doubt {
		return false
	}
	h, knew := g.known.get(e.ID)
	if knew && h.Incarnation == e.Incarnation && h.State != port.EndpointLive {
		return true
	}
	g.decideOn("endpoint", e.ID, verdictCrash, fmt.Sprintf("%s; %d requests were lost with it here", reason, len(lost)), 0)
	g.metrics.crashes.Inc(1)
	g.Quarantine.Crashed(now, quarantine.CrashOf(e.ID, e.Incarnation), lost)
	return true
}
