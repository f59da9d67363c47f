package quarantine

import (
	"sync"
	"time"
)

// EndpointKey is one incarnation of an endpoint.
type EndpointKey struct {
	ID          string
	Incarnation uint64
}

// goneFor is how long the end of an endpoint is remembered for attempts whose
// connections are yet to break.
const goneFor = 5 * time.Second

// Flights follows the attempts of one daemon that are under way, by endpoint. It
// tells an endpoint that has ended, with all that ran there, from one
// connection that broke. It is safe for concurrent use.
type Flights struct {
	mu sync.Mutex
	m  map[EndpointKey]*endpointFlights
}

// endpointFlights are the attempts at one endpoint.
type endpointFlights struct {
	open map[*Flight]struct{}
	// lost are those whose connection broke, until it is known why.
	lost []lostFlight
	// looking: somebody is about to find out.
	looking bool
	// goneAt is when the endpoint was found to have ended, zero for not.
	goneAt time.Time
}

type lostFlight struct {
	fingerprint Fingerprint
	at          time.Time
}

// Flight is one attempt under way.
type Flight struct {
	fingerprint Fingerprint
	endpoint    EndpointKey
	began       time.Time
}

// NewFlights returns an empty Flights.
func NewFlights() *Flights { return &Flights{m: make(map[EndpointKey]*endpointFlights)} }

// Begin notes that an attempt is sent to an endpoint.
func (f *Flights) Begin(now time.Time, e EndpointKey, p Fingerprint) *Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.m[e]
	if at == nil {
		at = &endpointFlights{open: make(map[*Flight]struct{})}
		f.m[e] = at
	}
	flight := &Flight{fingerprint: p, endpoint: e, began: now}
	at.open[flight] = struct{}{}
	return flight
}

// End notes that an attempt is over for a reason that says nothing of its
// endpoint. A second end is of no effect.
func (f *Flights) End(flight *Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(flight)
}

func (f *Flights) end(flight *Flight) *endpointFlights {
	at := f.m[flight.endpoint]
	if at == nil {
		return nil
	}
	if _, open := at.open[flight]; !open {
		return nil
	}
	delete(at.open, flight)
	f.tidy(flight.endpoint, at)
	return at
}

// tidy drops what says nothing any more; f.mu is held.
func (f *Flights) tidy(e EndpointKey, at *endpointFlights) {
	if len(at.open) == 0 && len(at.lost) == 0 && !at.looking && at.goneAt.IsZero() {
		delete(f.m, e)
	}
}

// Lost notes that an attempt's connection broke. With look, the caller is to
// find out whether the endpoint has ended, and to call Gone or Alive. With gone
// it is known to have ended.
func (f *Flights) Lost(now time.Time, flight *Flight) (look, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.end(flight)
	if at == nil {
		return false, false
	}
	if !at.goneAt.IsZero() && now.Sub(at.goneAt) < goneFor {
		return false, true
	}
	// It may have been dropped with the last open attempt.
	f.m[flight.endpoint] = at
	at.lost = append(at.lost, lostFlight{fingerprint: flight.fingerprint, at: now})
	look = !at.looking
	at.looking = true
	return look, false
}

// Alive notes that an endpoint outlived the losses so far.
func (f *Flights) Alive(e EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.m[e]
	if at == nil {
		return
	}
	at.lost, at.looking = nil, false
	f.tidy(e, at)
}

// Gone notes that an endpoint was found to have ended, and returns what was lost
// with it. Where an attempt that is older than the losses is still open, whose
// connection should have broken too, that is in doubt: nothing is decided, and
// the caller is to look again.
func (f *Flights) Gone(now time.Time, e EndpointKey) (lost []Fingerprint, doubt bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.m[e]
	if at == nil || len(at.lost) == 0 {
		return nil, false
	}
	if at.outlived(at.lost[0].at) {
		return nil, true
	}
	for _, l := range at.lost {
		lost = append(lost, l.fingerprint)
	}
	at.lost, at.looking, at.goneAt = nil, false, now
	return lost, false
}

// outlived reports whether an attempt from before a moment is still open.
func (at *endpointFlights) outlived(moment time.Time) bool {
	for flight := range at.open {
		if flight.began.Before(moment) {
			return true
		}
	}
	return false
}

// Looking counts the endpoints that somebody is about to find out about.
func (f *Flights) Looking() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.m {
		if at.looking {
			n++
		}
	}
	return n
}

// Tick forgets ends that no attempt is left for; call it about once a second.
func (f *Flights) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for e, at := range f.m {
		if !at.goneAt.IsZero() && now.Sub(at.goneAt) >= goneFor {
			at.goneAt = time.Time{}
			f.tidy(e, at)
		}
	}
}
