package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/speed"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Bounds of what is handed over.
const (
	// MaxHandOverBytes bounds the encoded size of a port.HandOver.
	MaxHandOverBytes = 256 << 10
	// headBytes, speedBytes, organisationBytes and bookingBytes are upper bounds of the
	// encoded sizes without the ids and names.
	headBytes         = 64
	speedBytes        = 32
	organisationBytes = 48
	bookingBytes      = 24
	// staleSpeed is how much older than a handed over figure the last own sample of an
	// endpoint must be for that figure to replace the own samples. A coordinator that
	// changes back within seconds keeps its own samples, because they are more precise
	// than one figure.
	staleSpeed = 10 * time.Second
	// maxHandedRate bounds the rates that are accepted from another daemon.
	maxHandedRate = 1e15
)

// Pools returns the names of the pools, in order.
func (s *Scheduler) Pools() []string {
	shards := s.allShards()
	pools := make([]string, len(shards))
	for i := range shards {
		pools[i] = shards[i].pool
	}
	return pools
}

// HandOver returns what this scheduler has learned about a pool: speeds of endpoints,
// use of organisations that are active, and unused bookings. If it exceeds
// MaxHandOverBytes, bookings with the latest due times are left out first, then the
// organisations with the least work, then speeds. The fields that identify the message
// are left to the caller.
func (s *Scheduler) HandOver(now time.Time, pool string) port.HandOver {
	h := port.HandOver{Pool: pool, At: now}
	if sh := s.existingShard(pool); sh != nil {
		sh.exportLearned(now, &h)
	}
	return h
}

// ApplyHandOver applies what another scheduler has learned about a pool, where this one
// knows nothing newer. Its own samples of an endpoint take precedence unless they are
// much older. Rates are only raised, so applying a value again changes nothing. Endpoints
// that are unknown, or known in another incarnation, are ignored.
func (s *Scheduler) ApplyHandOver(now time.Time, h *port.HandOver) port.HandOverCounts {
	sh := s.existingShard(h.Pool)
	if sh == nil {
		return port.HandOverCounts{}
	}
	return sh.applyLearned(now, h)
}

func (s *Scheduler) existingShard(pool string) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[pool]
}

func (s *shard) exportLearned(now time.Time, h *port.HandOver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := MaxHandOverBytes - headBytes - len(h.Pool)
	for _, r := range s.runners {
		learned := r.speed.Snapshot()
		size := speedBytes + len(r.endpoint.ID)
		if learned == (speed.Snapshot{}) || size > left {
			continue
		}
		left -= size
		h.Speeds = append(h.Speeds, port.EndpointSpeed{
			Endpoint: r.endpoint.ID, Incarnation: r.endpoint.Incarnation,
			Stated: learned.Stated, Step: time.Duration(learned.Step * float64(time.Millisecond)),
		})
	}
	for _, o := range s.activeOrganisations(now) {
		size := organisationBytes + len(o.name)
		if size > left {
			break
		}
		left -= size
		h.Organisations = append(h.Organisations, port.OrganisationUse{
			Organisation: o.name, Work: o.work.read(now), Demand: o.demand.read(now),
			ShortPerSecond: o.rates[admission.LaneShort].read(now), LongPerSecond: o.rates[admission.LaneLong].read(now),
		})
	}
	bookings := s.pendingBookings(now)
	for i := range bookings {
		size := bookingBytes + len(bookings[i].Organisation)
		if size > left {
			break
		}
		left -= size
		h.Bookings = append(h.Bookings, bookings[i])
	}
}

// activeOrganisations returns the organisations with a recent request, the one with the
// most work first. Inactive ones don't count for the shares of the others.
func (s *shard) activeOrganisations(now time.Time) []*organisation {
	var active []*organisation
	for _, o := range s.organisations {
		if now.Sub(o.lastRequest) < activeWindow || o.running > 0 {
			active = append(active, o)
		}
	}
	slices.SortFunc(active, func(a, b *organisation) int {
		return cmp.Or(cmp.Compare(b.work.read(now), a.work.read(now)), cmp.Compare(a.name, b.name))
	})
	return active
}

// pendingBookings returns the unused bookings of all organisations, earliest first.
func (s *shard) pendingBookings(now time.Time) []port.RetryBooking {
	var bookings []port.RetryBooking
	for _, o := range s.organisations {
		for _, lane := range []admission.Lane{admission.LaneShort, admission.LaneLong} {
			for _, due := range o.retryBookings[lane].Pending(now) {
				bookings = append(bookings, port.RetryBooking{Organisation: o.name, Long: lane == admission.LaneLong, Due: due})
			}
		}
	}
	slices.SortFunc(bookings, func(a, b port.RetryBooking) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Organisation, b.Organisation))
	})
	return bookings
}

func (s *shard) applyLearned(now time.Time, h *port.HandOver) port.HandOverCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	var counts port.HandOverCounts
	byID := make(map[string]*runner, len(s.runners))
	for _, r := range s.runners {
		byID[r.endpoint.ID] = r
	}
	for i := range h.Speeds {
		e := &h.Speeds[i]
		if r := byID[e.Endpoint]; r != nil && r.endpoint.Incarnation == e.Incarnation && r.restoreSpeed(h.At, e) {
			counts.Speeds++
		}
	}
	if counts.Speeds > 0 {
		// The next decision may come before the next tick.
		s.recompute()
		s.updateSpeeds(now)
	}
	for i := range h.Organisations {
		if s.raiseUse(now, h.At, &h.Organisations[i]) {
			counts.Organisations++
		}
	}
	counts.Bookings = s.addBookings(now, h.Bookings)
	return counts
}

// restoreSpeed applies a handed over speed and reports whether it changed the estimate.
func (r *runner) restoreSpeed(at time.Time, e *port.EndpointSpeed) bool {
	learned := speed.Snapshot{Step: milliseconds(max(0, e.Step))}
	if isFiniteRate(e.Stated) {
		learned.Stated = e.Stated
	}
	before := r.speed.Snapshot()
	if !r.speedAt.IsZero() && at.Sub(r.speedAt) > staleSpeed {
		if learned.Stated == 0 {
			learned.Stated = before.Stated
		}
		if learned.Step == 0 {
			learned.Step = before.Step
		}
		r.speed, r.speedAt = speed.Endpoint{}, at
	}
	r.speed.Restore(learned)
	if r.speedAt.IsZero() {
		r.speedAt = at
	}
	return r.speed.Snapshot() != before
}

// raiseUse applies the handed over use of one organisation, as of the given time.
func (s *shard) raiseUse(now, at time.Time, u *port.OrganisationUse) bool {
	before := len(s.organisations)
	o := s.activeOrganisation(now, u.Organisation)
	changed := len(s.organisations) > before
	for _, figure := range []struct {
		rate   *rate
		handed float64
	}{
		{&o.work, u.Work},
		{&o.demand, u.Demand},
		{&o.rates[admission.LaneShort], u.ShortPerSecond},
		{&o.rates[admission.LaneLong], u.LongPerSecond},
	} {
		changed = figure.rate.raise(now, at, figure.handed) || changed
	}
	return changed
}

// activeOrganisation returns the organisation without renewing the time of its last
// request, unless it is new.
func (s *shard) activeOrganisation(now time.Time, name string) *organisation {
	if o := s.organisations[name]; o != nil {
		return o
	}
	return s.organisation(now, name)
}

func (s *shard) addBookings(now time.Time, bookings []port.RetryBooking) int {
	type flow struct {
		organisation string
		lane         admission.Lane
	}
	due := make(map[flow][]time.Time)
	for i := range bookings {
		b := &bookings[i]
		f := flow{b.Organisation, admission.LaneShort}
		if b.Long {
			f.lane = admission.LaneLong
		}
		due[f] = append(due[f], b.Due)
	}
	added := 0
	for f, times := range due {
		added += s.activeOrganisation(now, f.organisation).retryBookings[f.lane].Add(now, times)
	}
	return added
}

// raise sets the rate to the given value as of the time at, if the rate is lower. The
// two rates count the same requests if one coordinator got them from the other, so they
// are not added.
func (r *rate) raise(now, at time.Time, value float64) bool {
	if !isFiniteRate(value) {
		return false
	}
	if r.window == 0 {
		r.window = rateWindow
	}
	value *= math.Exp(-max(0, now.Sub(at).Seconds()) / r.window.Seconds())
	// The tolerance covers rounding, so that a value that is applied again doesn't count
	// as a change.
	if value <= r.read(now)*(1+1e-9) {
		return false
	}
	r.value, r.at = value, now
	// The value is one over the whole window, whose beginning lies with the former
	// coordinator.
	if began := now.Add(-settledWindows * r.window); r.start.IsZero() || r.start.After(began) {
		r.start = began
	}
	return true
}

func isFiniteRate(v float64) bool { return v > 0 && v <= maxHandedRate }
