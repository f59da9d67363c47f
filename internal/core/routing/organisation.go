package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
)

// organisation tracks one organisation's use of a pool through this router.
type organisation struct {
	name    string
	limiter admission.Limiter
	running int
	// work is the recent rate of work placed, as cost per second.
	work     rate
	flooding bool
	// demand is the recent rate of work of first attempts, placed or not.
	// surging is set while it is far above the organisation's share.
	demand  rate
	surging bool
	// placedShare is the recent work rate, in multiples of the
	// organisation's share.
	placedShare float64
	// longRunning counts the running long requests.
	longRunning int
	// peak sums the expected peaks of the running requests, as estimated
	// when placed.
	peak          float64
	rates         [2]rate
	retryBookings [2]admission.RetryBookings
	lastRequest   time.Time
	share         float64
}

// Bounds of an organisation's use: a
// burst of a few seconds must pass, a flood must not
// (docs/design/routing.md).
const (
	floodWindow = 60 * time.Second
	// maxLongShare bounds the expected cache use of an organisation's long
	// requests, in multiples of its share of the cache.
	maxLongShare = 1.5
	// floodStart and floodEnd are the work placed over a floodWindow, in
	// multiples of the organisation's share, at which a flood starts and
	// ends.
	floodStart = 2
	floodEnd   = 1
	// surgeStart and surgeEnd are the work requested over a demandWindow, in
	// multiples of the share, at which a surge starts and ends. Requested
	// work shows a flood within seconds. Placed work shows it only when the
	// long answers that slow others are already running.
	demandWindow = 30 * time.Second
	surgeStart   = 3
	surgeEnd     = 1.5
	// surgeLimit is how much of its share of the pool's throughput a surging
	// organisation may use. The throughput is computed for full caches; a
	// pool that keeps capacity free for growth achieves far less.
	surgeLimit = 0.3
	// minUsableShare is the share that every organisation may use. With
	// thousands of organisations an even share is less than one long
	// request, and each organisation would run them one after the other. So
	// small a share harms no other organisation.
	minUsableShare = 0.05
	// activeWindow is how long an organisation counts as active after its
	// last request.
	activeWindow = 60 * time.Second
)

func (s *shard) organisation(now time.Time, name string) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{name: name, share: s.scheduler.limits(name).Share, work: rate{window: floodWindow}, demand: rate{window: demandWindow}}
		o.rates[admission.LaneLong].window = longRateWindow
		o.rates[admission.LaneShort].start, o.rates[admission.LaneLong].start = now, now
		s.organisations[name] = o
		s.totalShare += o.share
	}
	o.lastRequest = now
	return o
}

// forgetOrganisation removes an organisation that has no requests, unless it
// has booked retries or still counts as active. Removing it too early would
// refill its token bucket. tick tries again later.
func (s *shard) forgetOrganisation(o *organisation) {
	if o.hasBookedRetries(s.now) || o.running > 0 || o.limiter.Open() > 0 || s.now.Sub(o.lastRequest) < activeWindow {
		return
	}
	if s.organisations[o.name] == o {
		delete(s.organisations, o.name)
		s.totalShare -= o.share
	}
}

// hasBookedRetries reports whether a caller may still return at a booked
// retry time.
func (o *organisation) hasBookedRetries(now time.Time) bool {
	until := now.Add(time.Hour)
	return o.retryBookings[admission.LaneShort].Booked(now, until)+o.retryBookings[admission.LaneLong].Booked(now, until) > 0
}

// longRateWindow is the window of the rate of long requests: a small
// organisation gets one placed about every half minute.
const longRateWindow = 60 * time.Second

// updateShares applies the shares of a new policy.
func (s *shard) updateShares() {
	s.totalShare = 0
	for _, o := range s.organisations {
		o.share = s.scheduler.limits(o.name).Share
		s.totalShare += o.share
	}
}

// fairShare returns the organisation's share among the active ones.
func (s *shard) fairShare(o *organisation) float64 { return o.share / s.totalShare }

// usableShare returns the share that overShare grants.
func (s *shard) usableShare(o *organisation) float64 { return max(minUsableShare, s.fairShare(o)) }

// overShare reports whether a long request must wait because its
// organisation recently used far more than its share and the pool is busy.
// Without this check a flood would fill the pool before any request is held,
// too late for the fair order of the queue to help.
func (s *shard) overShare(e *entry) bool {
	s.updateFlooding(e.org)
	if e.item.Lane != admission.LaneLong || s.utilisation < s.scheduler.options.BusyThreshold {
		return false
	}
	if s.overSurgeLimit(e.org) {
		return true
	}
	if e.org.longRunning == 0 {
		return false
	}
	return e.org.flooding || e.org.peak+e.print.peak() > maxLongShare*s.usableShare(e.org)*s.capacityShare
}

// overSurgeLimit reports whether a surging organisation has used up its
// limit. The limit also applies when none of its long requests runs:
// otherwise each router would always grant it one, which exceeds the share
// of a small organisation if there are many routers. It doesn't starve the
// organisation: its past use decays, and it isn't held if no other
// organisation is active.
func (s *shard) overSurgeLimit(o *organisation) bool {
	return o.surging && o.placedShare > surgeLimit && s.totalShare > o.share
}

// updateFlooding compares an organisation's recent placed and requested work
// with its share of the throughput of this router's part of the pool.
func (s *shard) updateFlooding(o *organisation) {
	if s.throughput <= 0 {
		return
	}
	fairRate := s.usableShare(o) * s.throughput
	o.placedShare = o.work.read(s.now) / fairRate
	o.flooding = hysteresis(o.flooding, o.placedShare, floodStart, floodEnd)
	o.surging = hysteresis(o.surging, o.demand.read(s.now)/fairRate, surgeStart, surgeEnd)
}

// hysteresis returns whether a state is active, with a higher bound to start
// it than to end it.
func hysteresis(active bool, value, start, end float64) bool {
	if active {
		return value > end
	}
	return value > start
}
