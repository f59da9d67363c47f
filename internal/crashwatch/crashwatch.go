// Package crashwatch detects endpoints that ended while they ran requests, and
// reports these requests to the quarantine. Gateways and routers use it; it
// must not depend on how requests are placed, nor on the responses that their
// callers get.
package crashwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Quarantine tracks the requests that crash the endpoints that run them, as
// observed by all daemons.
type Quarantine interface {
	// Quarantined reports whether and why a request must not be sent.
	Quarantined(now time.Time, r *quarantine.Request) (quarantine.Hold, bool)
	// Revision returns a number that increases whenever what is quarantined changes.
	Revision() uint64
	// Completed records a request that ran to its end.
	Completed(now time.Time, r *quarantine.Request)
	// Crashed records the requests that ran at an endpoint when it ended.
	Crashed(now time.Time, crash quarantine.CrashID, lost []quarantine.Loss)
}

// Durations of the checks of an endpoint at which connections broke.
const (
	// lossDelay is the time between a probe that finds an endpoint gone and
	// the decision that it has ended. It gives the connections of all attempts
	// at the endpoint time to break.
	lossDelay = 50 * time.Millisecond
	// probeTimeout is the time after which a probe counts as unanswered.
	probeTimeout = time.Second
	// maxProbeTime bounds a probe whose result callers await longer, as it may wait for a slot.
	maxProbeTime = 10 * time.Second
	// lateProbeInterval is the time between the probes of an endpoint whose end could
	// not be established, maxLateProbes their number.
	lateProbeInterval = 250 * time.Millisecond
	maxLateProbes     = 40
	// probesPerConfirmation is the number of late probes between two attempts to confirm
	// the end.
	probesPerConfirmation = 2
)

// probeDelays are the delays before each probe. An endpoint that has ended is
// most often back after some seconds, so the probes come earlier.
var probeDelays = [...]time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

// Options configures a Watch.
type Options struct {
	Quarantine Quarantine
	// CheckPresence probes over a new connection whether an endpoint serves, until ctx ends.
	// The response of an engine states its start, which must be the endpoint's.
	CheckPresence func(ctx context.Context, e port.Endpoint) port.Presence
	// IsLeaving reports whether an endpoint was known to be leaving, so that its
	// end is no crash.
	IsLeaving func(e port.Endpoint) bool
	// IsDropped reports whether the registry has dropped an endpoint that had not
	// announced its leaving; nil means never.
	IsDropped func(e port.Endpoint) bool
	// ConfirmEnd reports whether an endpoint that doesn't answer this daemon has really
	// ended, rather than the network path to it being lost; nil means that it has.
	ConfirmEnd func(e port.Endpoint) bool
	// PresumeEnd reports whether an endpoint whose end isn't confirmed has most likely
	// ended, and since when it has been out of reach; nil means never. The requests lost
	// there then count as lost with it, and the endpoint is used again once it answers.
	PresumeEnd func(e port.Endpoint) (since time.Time, presumed bool)
	// OnCrash is called for an endpoint that has crashed; lost is the number
	// of requests of this daemon that ran there.
	OnCrash func(e port.Endpoint, crash quarantine.CrashID, reason string, lost int)
	Clock   func() time.Time
}

// Watch tracks the attempts of one daemon. It is safe for concurrent use.
type Watch struct {
	o        Options
	attempts *quarantine.Attempts
	waiting  waiting
	// pendingChecks is the number of checks that run or have not reported their result yet.
	pendingChecks atomic.Int64
}

// New returns a Watch that tracks no attempts yet.
func New(o Options) *Watch { return &Watch{o: o, attempts: quarantine.NewAttempts()} }

// Attempt is one tracked attempt.
type Attempt struct {
	endpoint port.Endpoint
	request  *quarantine.Request
	attempt  *quarantine.Attempt
	withdraw func()
	// began is when it was sent.
	began time.Time
}

func keyOf(e port.Endpoint) quarantine.EndpointKey {
	return quarantine.EndpointKey{ID: e.ID, Incarnation: e.Incarnation}
}

// Begin starts tracking an attempt when it is sent. withdraw is called if the request is
// quarantined before Answering or End is called; nil if the attempt can't be withdrawn.
func (w *Watch) Begin(e port.Endpoint, r *quarantine.Request, withdraw func()) *Attempt {
	now := w.o.Clock()
	a := &Attempt{endpoint: e, request: r, attempt: w.attempts.Begin(now, keyOf(e), r), withdraw: withdraw, began: now}
	if withdraw != nil {
		w.waiting.add(a)
	}
	return a
}

// Answering records that the endpoint has begun the answer of an attempt, which is not
// withdrawn any more.
func (w *Watch) Answering(a *Attempt) {
	w.waiting.remove(a)
	w.Responded(a)
}

// Responded records a response to an attempt, of any status. It is evidence for answers that
// had ended before the attempt was sent.
func (w *Watch) Responded(a *Attempt) { w.answered(a.endpoint, a.began, false) }

// answered records that an endpoint responded to a request that was sent at a time.
func (w *Watch) answered(e port.Endpoint, sentAt time.Time, sameStart bool) {
	if w.o.IsDropped == nil || !w.o.IsDropped(e) {
		w.attempts.Answered(sentAt, keyOf(e), sameStart)
	}
}

// End stops tracking an attempt; lost means that its connection broke. The
// endpoint of a lost attempt is then checked in the background, unless a check
// is running or it is known to have ended.
func (w *Watch) End(a *Attempt, lost bool) {
	w.waiting.remove(a)
	if !lost {
		w.attempts.End(a.attempt)
		return
	}
	w.endLost(a, nil)
}

// Leave stops tracking an attempt that was abandoned, by its caller or because its time ran
// out. If its endpoint is found to have ended a moment later, it ran there.
func (w *Watch) Leave(a *Attempt) {
	w.waiting.remove(a)
	w.attempts.Left(w.o.Clock(), a.attempt)
}

// Progress records that a part of an attempt's answer has arrived.
func (w *Watch) Progress(a *Attempt) { a.attempt.Progress(w.o.Clock()) }

// Unreached records that no connection to an endpoint could be established. The endpoint is
// checked if attempts there were abandoned a moment ago.
func (w *Watch) Unreached(e port.Endpoint) {
	if w.attempts.Unreached(w.o.Clock(), keyOf(e)) {
		w.startCheck(e)
	}
}

// endLost ends a lost attempt and reports whether its endpoint is known to have ended. If
// it isn't, the verdict on a pending answer follows.
func (w *Watch) endLost(a *Attempt, pending *quarantine.Pending) (hasEnded bool) {
	probe, ended := w.attempts.Lost(w.o.Clock(), a.attempt, pending)
	switch {
	case ended != nil && w.o.IsLeaving(a.endpoint):
	case ended != nil:
		w.o.Quarantine.Crashed(w.o.Clock(), crashOf(a.endpoint), []quarantine.Loss{*ended})
	case probe:
		w.startCheck(a.endpoint)
	}
	return ended != nil
}

// maxEngineVerdictWait bounds the wait for evidence at engines, whose load reports need no
// slot, so that a run which has ended there can go on elsewhere.
const maxEngineVerdictWait = 1200 * time.Millisecond

// EndWithConnection ends an attempt whose answer had no other end than that of its
// connection. The end of the endpoint closes its connections just as the end of an answer
// does, so the answer is whole only if the endpoint responds to a check, or to another
// attempt, that was sent after it. Without such a response until ctx ends it isn't. ranOn
// reports whether the endpoint is known to have run on.
func (w *Watch) EndWithConnection(ctx context.Context, a *Attempt) (isWhole, ranOn bool) {
	w.waiting.remove(a)
	wait := maxProbeTime
	if a.endpoint.Kind == port.KindRunner {
		wait = maxEngineVerdictWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if w.o.IsLeaving(a.endpoint) {
		// Its end is planned, but may come before that of the answer.
		w.attempts.End(a.attempt)
		return w.isServing(ctx, a.endpoint), false
	}
	verdict := make(chan bool, 1)
	pending := &quarantine.Pending{OnVerdict: func(mayHaveEnded bool) { verdict <- mayHaveEnded }}
	pending.Until, _ = ctx.Deadline()
	if w.endLost(a, pending) {
		return false, false
	}
	defer w.attempts.Abandon(keyOf(a.endpoint), pending)
	select {
	case mayHaveEnded := <-verdict:
		return !mayHaveEnded, !mayHaveEnded
	case <-ctx.Done():
		return false, false
	}
}

// isServing checks an endpoint until ctx ends or a check has a result. Endpoints reset
// connections when they have too many.
func (w *Watch) isServing(ctx context.Context, e port.Endpoint) bool {
	for {
		switch w.o.CheckPresence(ctx, e) {
		case port.PresenceServing:
			return true
		case port.PresenceGone, port.PresenceReplaced:
			return false
		}
		pause := time.NewTimer(lateProbeInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return false
		}
	}
}

// Tick drops endpoints that ended some time ago, and withdraws attempts whose requests
// have been quarantined since.
func (w *Watch) Tick() {
	now := w.o.Clock()
	w.attempts.Tick(now)
	w.waiting.withdrawQuarantined(now, w.o.Quarantine)
}

// IsDown reports whether nobody has answered the checks of an endpoint since a
// connection to it broke. It stays down for some seconds after its end.
func (w *Watch) IsDown(e port.Endpoint) bool {
	down, _ := w.attempts.Down(keyOf(e))
	return down
}

// IsUnanswered reports whether an endpoint is down and still being checked, so that
// its return becomes known without a request.
func (w *Watch) IsUnanswered(e port.Endpoint) bool {
	down, checking := w.attempts.Down(keyOf(e))
	return down && checking
}

// PendingChecks returns the number of endpoints that are being checked, or whose crash has
// been found but not yet reported.
func (w *Watch) PendingChecks() int { return int(w.pendingChecks.Load()) }

func crashOf(e port.Endpoint) quarantine.CrashID { return quarantine.NewCrashID(e.ID, e.Incarnation) }

// startCheck checks an endpoint in the background.
func (w *Watch) startCheck(e port.Endpoint) {
	w.pendingChecks.Add(1)
	go func() {
		defer w.pendingChecks.Add(-1)
		w.checkEndpoint(e)
	}()
}

// checkEndpoint determines whether an endpoint at which a connection broke has
// ended.
func (w *Watch) checkEndpoint(e port.Endpoint) {
	for !w.settle(e) {
		// Connections broke since the last probe.
	}
}

// settle probes an endpoint until it answers or its end is known. It returns false if
// connections to it broke since then.
func (w *Watch) settle(e port.Endpoint) bool {
	silent, unanswered, confirmed := 0, false, false
	var probedAt time.Time
	for _, delay := range probeDelays {
		time.Sleep(delay)
		probedAt = w.o.Clock()
		switch w.probe(e) {
		case port.PresenceServing:
			return w.attempts.Alive(probedAt, keyOf(e), statesStart(e))
		case port.PresenceGone:
			unanswered = true
			w.attempts.Unanswered(keyOf(e))
			time.Sleep(lossDelay)
			if confirmed = w.confirmEnd(e); confirmed && w.reportEnd(e, reasonNotListening) {
				return true
			}
		case port.PresenceReplaced:
			w.reportReplaced(e)
			return true
		case port.PresenceSilent:
			unanswered = true
			w.attempts.Unanswered(keyOf(e))
			silent++
		}
	}
	if silent == len(probeDelays) {
		if confirmed = w.confirmEnd(e); confirmed && w.reportEnd(e, reasonSilent) {
			return true
		}
	}
	if unanswered {
		if w.awaitAnswer(e, confirmed) {
			return true
		}
		probedAt = w.o.Clock()
	}
	return w.attempts.Unsettled(probedAt, keyOf(e))
}

// awaitAnswer probes an endpoint whose end could not be established until it answers, for
// a limited time. Until then it stays down: a process that has restarted at its address
// states in that answer what it accepts. It reports whether the end was reported; confirmed
// is set if only an older attempt that is still open leaves it in doubt. Otherwise the end
// may be confirmed meanwhile, once other endpoints are reached.
func (w *Watch) awaitAnswer(e port.Endpoint, confirmed bool) (reported bool) {
	for n := range maxLateProbes {
		time.Sleep(lateProbeInterval)
		if w.o.IsLeaving(e) {
			return false
		}
		switch presence := w.probe(e); presence {
		case port.PresenceServing:
			return false
		case port.PresenceReplaced:
			w.reportReplaced(e)
			return true
		case port.PresenceGone, port.PresenceSilent:
			if confirmed || n%probesPerConfirmation != probesPerConfirmation-1 {
				break
			}
			if confirmed = w.confirmEnd(e); confirmed && w.reportEnd(e, reasonFor(presence)) {
				return true
			}
		}
		if confirmed && w.reportEnd(e, reasonStalled) {
			return true
		}
		if w.o.IsDropped != nil && w.o.IsDropped(e) && w.reportEnd(e, reasonDropped) {
			return true
		}
		w.reportPresumedEnd(e)
	}
	return false
}

// Reasons for which an endpoint counts as ended.
const (
	reasonNotListening = "nothing listens there"
	reasonSilent       = "connections end without an answer"
	reasonStalled      = "it doesn't answer, and its last answers have stalled"
	reasonDropped      = "it doesn't answer, and the registry has dropped it"
	reasonReplaced     = "another endpoint or a later start answers there"
	reasonRestarted    = "it has restarted"
	reasonPresumed     = "no daemon reaches its pool, but other pools are reached"
)

// reasonFor returns the reason for the end of an endpoint that didn't answer a probe.
func reasonFor(presence port.Presence) string {
	if presence == port.PresenceGone {
		return reasonNotListening
	}
	return reasonSilent
}

// reportReplaced reports the end of an endpoint in whose place another one answers. Unlike
// a failed connection that can't be due to the network, so it needs no confirmation.
func (w *Watch) reportReplaced(e port.Endpoint) {
	w.attempts.Unanswered(keyOf(e))
	time.Sleep(lossDelay)
	now := w.o.Clock()
	w.report(now, e, reasonReplaced, w.attempts.Replaced(now, keyOf(e)))
}

// probe checks an endpoint. After probeTimeout the result is unknown, but the check goes on
// for the callers who wait for evidence.
func (w *Watch) probe(e port.Endpoint) port.Presence {
	sentAt := w.o.Clock()
	awaited := min(w.attempts.PendingUntil(keyOf(e)).Sub(sentAt), maxProbeTime)
	ctx, cancel := context.WithTimeout(context.Background(), max(probeTimeout, awaited))
	result := make(chan port.Presence, 1)
	go func() {
		defer cancel()
		presence := w.o.CheckPresence(ctx, e)
		if presence == port.PresenceServing {
			w.answered(e, sentAt, statesStart(e))
		}
		result <- presence
	}()
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	select {
	case presence := <-result:
		return presence
	case <-timeout.C:
		return port.PresenceUnknown
	}
}

// statesStart reports whether the responses of an endpoint to checks state its start.
func statesStart(e port.Endpoint) bool { return e.Kind == port.KindRunner && e.Incarnation != 0 }

// confirmEnd reports whether the end of an endpoint is confirmed. If it isn't, it may be
// presumed.
func (w *Watch) confirmEnd(e port.Endpoint) bool {
	if w.o.ConfirmEnd == nil || w.o.ConfirmEnd(e) {
		return true
	}
	w.reportPresumedEnd(e)
	return false
}

// reportEnd reports the end of an endpoint, as a crash unless it was leaving. It returns
// false, without reporting, if an older attempt at the endpoint is still open, as the
// endpoint may then still run.
func (w *Watch) reportEnd(e port.Endpoint, reason string) bool {
	now := w.o.Clock()
	lost, uncertain := w.attempts.Ended(now, keyOf(e))
	if uncertain {
		return false
	}
	w.report(now, e, reason, lost)
	return true
}

// reportPresumedEnd reports the requests lost at an endpoint that is presumed to have
// ended.
func (w *Watch) reportPresumedEnd(e port.Endpoint) {
	if w.o.PresumeEnd == nil {
		return
	}
	since, presumed := w.o.PresumeEnd(e)
	if !presumed {
		return
	}
	now := w.o.Clock()
	lost := w.attempts.TakeLost(now, keyOf(e))
	for i := range lost {
		lost[i] = lost[i].Presumed(since)
	}
	w.report(now, e, reasonPresumed, lost)
}

// report reports the losses at an endpoint that has ended, as a crash unless it was
// leaving.
func (w *Watch) report(now time.Time, e port.Endpoint, reason string, lost []quarantine.Loss) {
	if len(lost) == 0 || w.o.IsLeaving(e) {
		return
	}
	w.o.OnCrash(e, crashOf(e), reason, len(lost))
	w.o.Quarantine.Crashed(now, crashOf(e), lost)
}

// Restarted records that the registry lists a later start of an endpoint under the same
// id. The former one has ended, even if checks were answered: by the later one.
func (w *Watch) Restarted(former port.Endpoint) {
	now := w.o.Clock()
	w.report(now, former, reasonRestarted, w.attempts.Replaced(now, keyOf(former)))
}
