package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// EndpointKey identifies one incarnation of an endpoint.
type EndpointKey struct {
	ID          string
	Incarnation uint64
}

// endedRetention is how long the end of an endpoint is remembered, for attempts
// whose connections have not broken yet.
const endedRetention = 5 * time.Second

// survivedRetention is how long a loss at an endpoint that answers is remembered. A
// restarted endpoint may answer before its registry entry names the later start.
const survivedRetention = 15 * time.Second

// leftRetention is how long an abandoned attempt is remembered. Callers may leave a
// stream just before its endpoint is found to have ended.
const leftRetention = 2 * time.Second

// stalledAfter is the time without any sign of an endpoint after which its open attempts
// don't show any more that it runs.
const stalledAfter = 2 * time.Second

// Attempts tracks the attempts of one daemon that are in flight, by endpoint. It
// tells apart an endpoint that ended, with all requests running there, and a single
// broken connection. It is safe for concurrent use.
type Attempts struct {
	// downCount is the number of endpoints that are down.
	downCount atomic.Int64

	mu        sync.Mutex
	endpoints map[EndpointKey]*endpointAttempts
}

// endpointAttempts are the attempts at one endpoint.
type endpointAttempts struct {
	open map[*Attempt]struct{}
	// lost are the attempts whose connection broke for an unknown reason so far.
	lost []lostAttempt
	// undecided are the answers that wait for evidence after the probes have ended without
	// a result.
	undecided []lostAttempt
	// survived are those after which the endpoint answered, and left are attempts that were
	// abandoned.
	survived, left []Loss
	// probing is set while a caller finds out whether the endpoint has ended.
	probing bool
	// down is set from the first probe that nobody answered until a probe is answered
	// or the end of the endpoint is forgotten.
	down bool
	// endedAt is when the endpoint was found to have ended; zero if it has not.
	endedAt time.Time
}

// lostAttempt is an attempt whose connection broke.
type lostAttempt struct {
	Loss
	// pending is nil if the answer has broken off in any case.
	pending *Pending
}

// Pending is an answer that ended with its connection, until it is known whether it is whole.
type Pending struct {
	// OnVerdict is called once it is known whether the endpoint may have ended before the
	// answer did. It must not block, nor call the Attempts.
	OnVerdict func(mayHaveEnded bool)
	// Until is when the caller's time is over.
	Until time.Time
}

// maxUnobserved is the longest time between the end of an answer and a later request whose
// response shows that the endpoint has not restarted in between. A process that restarts
// faster has its address closed when the first probes arrive.
const maxUnobserved = 1500 * time.Millisecond

// isShownWhole reports whether the response to a request that was sent at a time shows that
// the endpoint outlived the answer. sameStart means that the response states the start.
func (l *lostAttempt) isShownWhole(sentAt time.Time, sameStart bool) bool {
	return !l.At.After(sentAt) && (sameStart || sentAt.Sub(l.At) <= maxUnobserved)
}

func (l *lostAttempt) decide(mayHaveEnded bool) {
	if l.pending != nil {
		l.pending.OnVerdict(mayHaveEnded)
	}
}

// Attempt is one attempt in flight.
type Attempt struct {
	request  *Request
	endpoint EndpointKey
	started  time.Time
	// progressed is the time from started to the last sign of the endpoint, in
	// nanoseconds.
	progressed atomic.Int64
}

// Progress records a sign of the endpoint, such as a part of the answer.
func (flight *Attempt) Progress(now time.Time) {
	flight.progressed.Store(int64(now.Sub(flight.started)))
}

// progressedAfter reports whether there was a sign of the endpoint after a time.
func (flight *Attempt) progressedAfter(at time.Time) bool {
	return flight.started.Add(time.Duration(flight.progressed.Load())).After(at)
}

// NewAttempts returns an empty Attempts.
func NewAttempts() *Attempts { return &Attempts{endpoints: make(map[EndpointKey]*endpointAttempts)} }

// Begin records an attempt that is sent to an endpoint.
func (f *Attempts) Begin(now time.Time, e EndpointKey, r *Request) *Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil {
		attempts = &endpointAttempts{open: make(map[*Attempt]struct{})}
		f.endpoints[e] = attempts
	}
	flight := &Attempt{request: r, endpoint: e, started: now}
	attempts.open[flight] = struct{}{}
	return flight
}

// End records that an attempt is over for a reason unrelated to the health of its
// endpoint. A second call for the same attempt has no effect.
func (f *Attempts) End(flight *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(flight)
}

func (f *Attempts) end(flight *Attempt) *endpointAttempts {
	attempts := f.endpoints[flight.endpoint]
	if attempts == nil {
		return nil
	}
	if _, open := attempts.open[flight]; !open {
		return nil
	}
	delete(attempts.open, flight)
	f.dropIfEmpty(flight.endpoint, attempts)
	return attempts
}

// dropIfEmpty removes the state of an endpoint without any information left; f.mu
// is held.
func (f *Attempts) dropIfEmpty(e EndpointKey, attempts *endpointAttempts) {
	if len(attempts.open) == 0 && len(attempts.lost) == 0 && len(attempts.undecided) == 0 && len(attempts.survived) == 0 && len(attempts.left) == 0 && !attempts.probing && attempts.endedAt.IsZero() {
		delete(f.endpoints, e)
	}
}

// Left records that an attempt was abandoned, by its caller or because its time ran out.
func (f *Attempts) Left(now time.Time, flight *Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.end(flight)
	if attempts == nil {
		return
	}
	// end removes the endpoint when this was its last open attempt.
	f.endpoints[flight.endpoint] = attempts
	attempts.left = append(attempts.left, flight.lostAt(now))
}

// Unreached records that no connection to an endpoint could be established. It reports
// whether the caller must find out whether it has ended, as after Lost: attempts there were
// abandoned a moment ago.
func (f *Attempts) Unreached(now time.Time, e EndpointKey) (probe bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil || attempts.probing || len(attempts.left) == 0 || !attempts.endedAt.IsZero() {
		return false
	}
	for _, l := range attempts.left {
		if now.Sub(l.At) < leftRetention {
			attempts.lost = append(attempts.lost, lostAttempt{Loss: l})
		}
	}
	attempts.left = nil
	attempts.probing = len(attempts.lost) > 0
	return attempts.probing
}

// Lost records that the connection of an attempt broke. If probe is set, the caller
// must find out whether the endpoint has ended, and call Ended, Alive or Unsettled. If ended
// is not nil, the endpoint is already known to have ended. Otherwise the verdict on a pending
// answer follows, unless Abandon is called before; pending is nil for other answers.
func (f *Attempts) Lost(now time.Time, flight *Attempt, pending *Pending) (probe bool, ended *Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := lostAttempt{Loss: flight.lostAt(now), pending: pending}
	at := f.end(flight)
	if at == nil {
		// The attempt has ended before, so nothing will be found out about this answer.
		lost.decide(true)
		return false, nil
	}
	if !at.endedAt.IsZero() && now.Sub(at.endedAt) < endedRetention {
		return false, &lost.Loss
	}
	// end removes the endpoint when this was its last open attempt.
	f.endpoints[flight.endpoint] = at
	at.lost = append(at.lost, lost)
	probe = !at.probing
	at.probing = true
	return probe, nil
}

// Abandon ends the wait for the verdict on an answer.
func (f *Attempts) Abandon(e EndpointKey, pending *Pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil {
		return
	}
	for i := range attempts.lost {
		if attempts.lost[i].pending == pending {
			attempts.lost[i].pending = nil
		}
	}
	attempts.undecided = slices.DeleteFunc(attempts.undecided, func(l lostAttempt) bool {
		if l.pending != pending {
			return false
		}
		attempts.survived = append(attempts.survived, l.Loss)
		return true
	})
}

// PendingUntil returns the time until which verdicts on answers of an endpoint are awaited;
// zero for none.
func (f *Attempts) PendingUntil(e EndpointKey) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var latest time.Time
	if attempts := f.endpoints[e]; attempts != nil {
		for _, l := range slices.Concat(attempts.lost, attempts.undecided) {
			if l.pending != nil && l.pending.Until.After(latest) {
				latest = l.pending.Until
			}
		}
	}
	return latest
}

// Answered records that an endpoint responded to a request that was sent at a time. Pending
// answers that had ended before are whole, unless the endpoint is down. sameStart means that
// the response states the endpoint's start.
func (f *Attempts) Answered(sentAt time.Time, e EndpointKey, sameStart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil || attempts.down || !attempts.endedAt.IsZero() {
		return
	}
	settle := func(l lostAttempt) bool {
		if l.pending == nil || !l.isShownWhole(sentAt, sameStart) {
			return false
		}
		l.decide(false)
		return true
	}
	attempts.lost = slices.DeleteFunc(attempts.lost, settle)
	attempts.undecided = slices.DeleteFunc(attempts.undecided, settle)
	f.dropIfEmpty(e, attempts)
}

// lostAt returns the loss of an attempt whose connection broke.
func (flight *Attempt) lostAt(now time.Time) Loss {
	return Loss{Request: flight.request, At: now, Ran: now.Sub(flight.started)}
}

// Unanswered records that nobody answered a probe of an endpoint.
func (f *Attempts) Unanswered(e EndpointKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if attempts := f.endpoints[e]; attempts != nil && attempts.probing {
		f.setDown(attempts, true)
	}
}

// Down reports whether nobody has answered the probes of an endpoint since a
// connection to it broke, and whether it is still being probed.
func (f *Attempts) Down(e EndpointKey) (down, probing bool) {
	if f.downCount.Load() == 0 {
		return false, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil || !attempts.down {
		return false, false
	}
	return true, attempts.probing
}

// setDown requires f.mu to be held.
func (f *Attempts) setDown(attempts *endpointAttempts, down bool) {
	switch {
	case down && !attempts.down:
		f.downCount.Add(1)
	case !down && attempts.down:
		f.downCount.Add(-1)
	}
	attempts.down = down
}

// Alive records that an endpoint responded to a probe that was sent at a time, after the
// losses up to then. sameStart means that the response states the endpoint's start. It reports
// whether there are no later losses; otherwise the caller must probe again.
func (f *Attempts) Alive(at time.Time, e EndpointKey, sameStart bool) (settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil {
		return true
	}
	// The process that answers now may be another one.
	inDoubt := attempts.down
	f.setDown(attempts, false)
	attempts.lost = slices.Concat(attempts.undecided, attempts.lost)
	attempts.undecided = nil
	return f.dropLost(at, e, attempts, func(l *lostAttempt) {
		whole := !inDoubt && l.isShownWhole(at, sameStart)
		l.decide(!whole)
		if l.pending == nil || !whole {
			attempts.survived = append(attempts.survived, l.Loss)
		}
	})
}

// Unsettled records that the probes of an endpoint up to a time had no result, so that
// nothing is known of the losses up to then. Pending answers go on waiting. It reports whether
// there are no later losses; otherwise the caller must probe again.
func (f *Attempts) Unsettled(at time.Time, e EndpointKey) (settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil {
		return true
	}
	inDoubt := attempts.down
	f.setDown(attempts, false)
	return f.dropLost(at, e, attempts, func(l *lostAttempt) {
		if l.pending != nil && !inDoubt {
			attempts.undecided = append(attempts.undecided, *l)
			return
		}
		l.decide(true)
		attempts.survived = append(attempts.survived, l.Loss)
	})
}

// dropLost removes the losses up to a time, ends the probing if there are no others, and
// reports whether it has. f.mu is held.
func (f *Attempts) dropLost(at time.Time, e EndpointKey, attempts *endpointAttempts, drop func(*lostAttempt)) (settled bool) {
	var later []lostAttempt
	for i := range attempts.lost {
		if attempts.lost[i].At.After(at) {
			later = append(later, attempts.lost[i])
			continue
		}
		drop(&attempts.lost[i])
	}
	attempts.lost, attempts.probing = later, len(later) > 0
	f.dropIfEmpty(e, attempts)
	return len(later) == 0
}

// Ended records that an endpoint that is probed was found to have ended, and returns the
// requests that were lost with it and that TakeLost has not returned. If an attempt older
// than the losses is still open, although its connection should have broken too, the
// result is uncertain, see mayRun: nothing is recorded, and the caller must probe again.
func (f *Attempts) Ended(now time.Time, e EndpointKey) (lost []Loss, uncertain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil || !attempts.probing {
		return nil, false
	}
	if attempts.mayRun(now) {
		return nil, true
	}
	lost = attempts.takeLost()
	attempts.probing, attempts.endedAt = false, now
	return lost, false
}

// TakeLost returns the requests that were lost at an endpoint so far, as if it had ended,
// while it is probed on.
func (f *Attempts) TakeLost(now time.Time, e EndpointKey) []Loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil || attempts.mayRun(now) {
		return nil
	}
	return attempts.takeLost()
}

// takeLost removes and returns the losses, whose endpoint counts as ended, and the attempts
// that were abandoned shortly before.
func (at *endpointAttempts) takeLost() []Loss {
	var lost []Loss
	if len(at.lost) > 0 {
		first := at.lost[0].At
		lost = slices.DeleteFunc(at.left, func(l Loss) bool { return first.Sub(l.At) >= leftRetention })
		at.left = nil
	}
	for i := range at.lost {
		lost = append(lost, at.lost[i].Loss)
		at.lost[i].decide(true)
	}
	for i := range at.undecided {
		at.survived = append(at.survived, at.undecided[i].Loss)
		at.undecided[i].decide(true)
	}
	at.lost, at.undecided = nil, nil
	return lost
}

// Replaced records that another endpoint, or a later start of this one, is known to have
// taken its place, and returns the requests that were lost when it ended. The connections
// of other attempts will break, too.
func (f *Attempts) Replaced(now time.Time, e EndpointKey) []Loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	attempts := f.endpoints[e]
	if attempts == nil {
		return nil
	}
	taken := attempts.takeLost()
	lost := append(attempts.survived, taken...)
	attempts.survived, attempts.probing, attempts.endedAt = nil, false, now
	return lost
}

// mayRun reports whether an attempt that started before the losses is still open, which
// shows for a while that the endpoint runs, and as long as there are further signs of it.
func (at *endpointAttempts) mayRun(now time.Time) bool {
	if len(at.lost) == 0 {
		return false
	}
	first := at.lost[0].At
	for flight := range at.open {
		if flight.started.Before(first) && (now.Sub(first) < stalledAfter || flight.progressedAfter(first)) {
			return true
		}
	}
	return false
}

// Tick forgets ended endpoints after endedRetention, and losses at others after
// survivedRetention; call it at least once a second.
func (f *Attempts) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for e, attempts := range f.endpoints {
		if len(attempts.survived)+len(attempts.left) > 0 {
			attempts.survived = slices.DeleteFunc(attempts.survived, func(l Loss) bool { return now.Sub(l.At) >= survivedRetention })
			attempts.left = slices.DeleteFunc(attempts.left, func(l Loss) bool { return now.Sub(l.At) >= leftRetention })
			f.dropIfEmpty(e, attempts)
		}
		if !attempts.endedAt.IsZero() && now.Sub(attempts.endedAt) >= endedRetention {
			attempts.endedAt = time.Time{}
			f.setDown(attempts, false)
			f.dropIfEmpty(e, attempts)
		}
	}
}
