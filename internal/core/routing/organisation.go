package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
)

// organisation is one organisation's use of a pool through this router.
type organisation struct {
	name    string
	limiter admission.Limiter
	running int
	// work is the cost of the requests placed of late.
	work     rate
	flooding bool
	// demand is the cost of its first tries of late, placed or not; surging
	// that it asks for far more than its share.
	demand  rate
	surging bool
	// had is the work placed of late, in parts of its share.
	had float64
	// long counts the long requests that run.
	long int
	// peak sums the expected peaks of what runs, as placed.
	peak     float64
	rates    [2]rate
	promises [2]admission.Promises
	last     time.Time
	share    float64
}

// Bounds of an organisation's part, settled with internal/tools/policybench: a burst of some
// seconds must pass, a flood must not (docs/design/routing.md).
const (
	floodWindow = 60 * time.Second
	// runningShare is how much of its share of the cache an organisation's
	// long requests may be expected to use at once.
	runningShare = 1.5
	// floodEnters and floodLeaves are the work placed over a floodWindow, in
	// parts of the organisation's share, that begin and end a flood.
	floodEnters = 2
	floodLeaves = 1
	// surgeEnters and surgeLeaves are the work asked for over a demandWindow,
	// in parts of the share, that begin and end a surge. What is asked for
	// shows a flood in seconds; what was placed does so only when the long
	// answers that harm others run already.
	demandWindow = 30 * time.Second
	surgeEnters  = 3
	surgeLeaves  = 1.5
	// surgePart is how much of its share of the pool's pace a surging
	// organisation may have had. The pace supposes full caches; a pool that
	// holds back for growth does far less.
	surgePart = 0.3
	// leastPart is the part that an organisation may use whatever its share.
	// Among thousands the even share is less than one long request, and each
	// would wait for its own last one to end; so little harms nobody.
	leastPart = 0.05
	// activeWindow is how long an organisation counts after its last request.
	activeWindow = 60 * time.Second
)

func (s *shard) organisation(now time.Time, name string) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{name: name, share: s.scheduler.limits(name).Share, work: rate{window: floodWindow}, demand: rate{window: demandWindow}}
		o.rates[admission.LaneLong].window = longRateWindow
		s.organisations[name] = o
		s.totalShare += o.share
	}
	o.last = now
	return o
}

// forgetOrganisation drops one without requests, unless its token bucket
// would start anew full, or it counts as active still; tick comes back to it.
func (s *shard) forgetOrganisation(o *organisation) {
	if o.promised(s.now) || o.running > 0 || o.limiter.Open() > 0 || s.now.Sub(o.last) < activeWindow {
		return
	}
	if s.organisations[o.name] == o {
		delete(s.organisations, o.name)
		s.totalShare -= o.share
	}
}

// promised reports whether a caller may still come back as promised.
func (o *organisation) promised(now time.Time) bool {
	until := now.Add(time.Hour)
	return o.promises[admission.LaneShort].Booked(now, until)+o.promises[admission.LaneLong].Booked(now, until) > 0
}

// longRateWindow is how far back the rate of long requests looks: a small
// organisation gets one placed every half minute or so.
const longRateWindow = 60 * time.Second

// updateShares takes over the shares of a new policy.
func (s *shard) updateShares() {
	s.totalShare = 0
	for _, o := range s.organisations {
		o.share = s.scheduler.limits(o.name).Share
		s.totalShare += o.share
	}
}

// fairPart is the organisation's share among the active ones.
func (s *shard) fairPart(o *organisation) float64 { return o.share / s.totalShare }

// usablePart is the share that overShare grants.
func (s *shard) usablePart(o *organisation) float64 { return max(leastPart, s.fairPart(o)) }

// overShare reports whether a long request must wait for other
// organisations: its own has had far more than its share of late, and the
// pool is busy. Without it a flood fills the pool before anyone waits, and
// the fair order of those that wait comes too late.
func (s *shard) overShare(e *entry) bool {
	s.judgeFlood(e.org)
	if e.item.Lane != admission.LaneLong || s.use < s.scheduler.options.BusyUse {
		return false
	}
	if s.surgedOver(e.org) {
		return true
	}
	if e.org.long == 0 {
		return false
	}
	return e.org.flooding || e.org.peak+e.print.peak() > runningShare*s.usablePart(e.org)*s.part
}

// surgedOver reports whether a surging organisation has had its part. One
// long request at each router, which others are always granted, is above the
// share of a small organisation where there are many routers. It can't
// starve: what it had fades, and alone in the pool it is not held.
func (s *shard) surgedOver(o *organisation) bool {
	return o.surging && o.had > surgePart && s.totalShare > o.share
}

// judgeFlood compares what an organisation was given, and what it asked for,
// of late with its share of what this router's part of the pool can do.
func (s *shard) judgeFlood(o *organisation) {
	if s.pace <= 0 {
		return
	}
	due := s.usablePart(o) * s.pace
	o.had = o.work.read(s.now) / due
	o.flooding = beyond(o.flooding, o.had, floodEnters, floodLeaves)
	o.surging = beyond(o.surging, o.demand.read(s.now)/due, surgeEnters, surgeLeaves)
}

// beyond has one bound to enter a state and a lower one to leave it.
func beyond(already bool, value, enters, leaves float64) bool {
	if already {
		return value > leaves
	}
	return value > enters
}
