// Package crashwatch finds out which endpoints have ended with the requests that
// they ran, and tells the quarantine of it. Gateways and routers use it; it must
// not know how requests are placed, nor what their callers are told.
package crashwatch

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Quarantine knows the requests that crash the endpoints that run them, from
// what all daemons saw.
type Quarantine interface {
	// Quarantined reports whether a request is not to be sent, and for how long.
	Quarantined(now time.Time, f quarantine.Fingerprint) (left time.Duration, quarantined bool)
	// Completed takes a request that ran to its end.
	Completed(now time.Time, f quarantine.Fingerprint)
	// Crashed takes the requests that ran at an endpoint when it ended.
	Crashed(now time.Time, crash quarantine.CrashID, ran []quarantine.Fingerprint)
}

// Times of looking at an endpoint at which connections broke.
const (
	// settle lets the connections of all attempts at an endpoint break before it
	// is judged by them.
	settle = 50 * time.Millisecond
	// lookTimeout bounds one look.
	lookTimeout = time.Second
)

// lookPauses are the pauses before each look: an endpoint that has ended is most
// often back after some seconds.
var lookPauses = [...]time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// Options of a Watch.
type Options struct {
	Quarantine Quarantine
	// Look finds out over a new connection whether an endpoint serves.
	Look func(ctx context.Context, e port.Endpoint) port.Presence
	// Leaving reports whether an endpoint was known to leave: it ends as planned.
	Leaving func(e port.Endpoint) bool
	// Crashed is told of an endpoint that has ended with so many requests of this
	// daemon.
	Crashed func(e port.Endpoint, reason string, lost int)
	Clock   func() time.Time
}

// Watch follows the attempts of one daemon. It is safe for concurrent use.
type Watch struct {
	o       Options
	flights *quarantine.Flights
}

// New returns a watch over no attempts.
func New(o Options) *Watch { return &Watch{o: o, flights: quarantine.NewFlights()} }

// Attempt is one attempt under way.
type Attempt struct {
	endpoint    port.Endpoint
	fingerprint quarantine.Fingerprint
	flight      *quarantine.Flight
}

func keyOf(e port.Endpoint) quarantine.EndpointKey {
	return quarantine.EndpointKey{ID: e.ID, Incarnation: e.Incarnation}
}

// Begin notes that an attempt is sent.
func (w *Watch) Begin(e port.Endpoint, f quarantine.Fingerprint) *Attempt {
	return &Attempt{endpoint: e, fingerprint: f, flight: w.flights.Begin(w.o.Clock(), keyOf(e), f)}
}

// End notes that an attempt is over. Where its connection broke, somebody finds
// out whether its endpoint has ended.
func (w *Watch) End(a *Attempt, lost bool) {
	if !lost {
		w.flights.End(a.flight)
		return
	}
	look, gone := w.flights.Lost(w.o.Clock(), a.flight)
	switch {
	case gone:
		w.o.Quarantine.Crashed(w.o.Clock(), crashOf(a.endpoint), []quarantine.Fingerprint{a.fingerprint})
	case look:
		go w.lookAt(a.endpoint)
	}
}

// Tick forgets endpoints that ended some time ago.
func (w *Watch) Tick() { w.flights.Tick(w.o.Clock()) }

// Looking counts the endpoints that are being looked at.
func (w *Watch) Looking() int { return w.flights.Looking() }

func crashOf(e port.Endpoint) quarantine.CrashID { return quarantine.CrashOf(e.ID, e.Incarnation) }

// lookAt finds out whether an endpoint at which a connection broke has ended.
func (w *Watch) lookAt(e port.Endpoint) {
	silent := 0
	for _, pause := range lookPauses {
		time.Sleep(pause)
		switch w.look(e) {
		case port.PresenceServing:
			w.flights.Alive(keyOf(e))
			return
		case port.PresenceGone:
			time.Sleep(settle)
			if w.ended(e, "nothing listens there, or another one") {
				return
			}
		case port.PresenceSilent:
			silent++
		}
	}
	if silent == len(lookPauses) && w.ended(e, "connections end without an answer") {
		return
	}
	w.flights.Alive(keyOf(e))
}

func (w *Watch) look(e port.Endpoint) port.Presence {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	return w.o.Look(ctx, e)
}

// ended takes the end of an endpoint, unless that is in doubt.
func (w *Watch) ended(e port.Endpoint, reason string) bool {
	now := w.o.Clock()
	lost, doubt := w.flights.Gone(now, keyOf(e))
	if doubt {
		return false
	}
	if !w.o.Leaving(e) {
		w.o.Crashed(e, reason, len(lost))
		w.o.Quarantine.Crashed(now, crashOf(e), lost)
	}
	return true
}
