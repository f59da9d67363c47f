package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/eventstream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// relay relays one stream of events, which may come from several runners one
// after the other.
type relay struct {
	x   *exchange
	p   *placement
	run *run
	// attempt is the context of the present attempt.
	attempt     attemptContext
	lastEventAt time.Time
	// place is where the caller is in the stream.
	place continuity.Sequence
	// callersPlace is the place that a returning caller names, nil once the first event with
	// an id was checked against it. Later events of the endpoint may have any ids.
	callersPlace *continuity.Sequence
	// checked: events are relayed only if they follow the caller's last one, because a new
	// run continues the stream.
	checked bool
	// joined: an event of the new run that continues the stream was relayed.
	joined bool
	// begun: an event of the present endpoint was relayed.
	begun bool
	// ended: the last attempt has been ended.
	ended bool
	// ranAt is the endpoint whose run is abandoned. unconfirmed: the calls to stop it didn't
	// show that it is over.
	ranAt       port.Endpoint
	unconfirmed bool
}

// attemptContext is the context of one attempt, which ends before that of its request if the
// attempt is withdrawn or abandoned.
type attemptContext struct {
	context.Context
	end context.CancelFunc
}

// relayEvents relays a stream of events. Each event is sent as soon as it is
// complete. ctx is the context of the request.
func (x *exchange) relayEvents(ctx context.Context, attempt attemptContext, p *placement, a *port.Answer) stream.RunOutcome {
	r := &relay{x: x, p: p, run: &run{x: x}, attempt: attempt}
	r.expectCallersPlace()
	x.delivered = &port.Delivery{HeldMillis: x.heldFor.Milliseconds(), Runners: 1}
	r.run.setSource(p.endpoint, a.Body)
	defer func() { x.release(r.run.end()) }()
	if p.generation {
		x.g.runs.add(r.run)
		defer x.g.runs.remove(r.run)
	}
	for {
		err := r.relayFrom(a)
		if errors.Is(err, errCallerGone) {
			return x.endCallerGone(r.p, err)
		}
		if errors.Is(err, io.EOF) {
			err = r.checkEnd(a)
		}
		next := r.resumeFromCopy(err)
		if next == nil {
			if next = r.continueElsewhere(ctx, a, err); next != nil {
				defer r.attempt.end()
			}
		}
		if next == nil {
			return r.finishStream(a, err)
		}
		defer next.Body.Close()
		a = next
	}
}

// errRunStopped means that a stream which ends with its connection ended because its run
// was stopped to be moved, and wasn't resumed.
var errRunStopped = errors.New("its run was stopped for a move and not resumed")

// errEndUnknown means that a stream which ends with its connection is whole or was stopped.
var errEndUnknown = errors.New("whether its run was stopped before its end isn't known")

// checkEnd returns io.EOF if a stream that was read to its end is whole, otherwise the
// reason why it isn't.
func (r *relay) checkEnd(a *port.Answer) error {
	if !a.Delimited {
		if err := r.run.endByMove(r.attempt.Done()); err != nil {
			return err
		}
	}
	switch {
	case !r.x.endedOrderly(r.attempt, r.p, a):
		return errEndedWithEndpoint
	case r.checked && !r.joined:
		// Whether the caller's last event is the last one of the stream isn't known.
		return errNoContinuation
	}
	return io.EOF
}

// errCallerGone means that writing to the caller failed.
var errCallerGone = errors.New("the caller has gone")

// newEventReader returns a reader of the events of an answer.
func (x *exchange) newEventReader(body io.Reader) *eventstream.Reader {
	if x.bounded {
		return eventstream.NewReaderSize(body, hostmemory.MaxAnswer)
	}
	return eventstream.NewReader(body)
}

// relayFrom relays the events of one runner until its stream ends, and returns
// the error that ended it, io.EOF included.
func (r *relay) relayFrom(a *port.Answer) error {
	reader := r.x.newEventReader(a.Body)
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		if !r.mayRelay(&event) {
			return errNotNextEvent
		}
		if err := r.relayEvent(a, &event); err != nil {
			return errors.Join(errCallerGone, err)
		}
	}
}

// mayRelay reports whether an event may be sent to the caller. Blocks that hold no event,
// such as comments, always may.
func (r *relay) mayRelay(event *eventstream.Event) bool {
	switch {
	case event.Empty:
		return true
	case r.checked:
		return r.place.IsNext(event.ID)
	case r.callersPlace != nil && event.ID != "":
		place := r.callersPlace
		r.callersPlace = nil
		return place.IsNext(event.ID)
	}
	return true
}

func (r *relay) relayEvent(a *port.Answer, event *eventstream.Event) error {
	x := r.x
	first := !r.begun
	r.begun = true
	if first {
		x.g.crashWatch.Answering(r.p.watched)
	}
	if !x.responseStarted {
		observe(x.g.metrics.firstEvent, x.g.Clock().Sub(x.req.Arrived))
		if err := x.beginAnswer(a); err != nil {
			return err
		}
	}
	began := x.g.Clock()
	if err := x.responder.Write(event.Raw); err != nil {
		return err
	}
	if err := x.responder.Flush(); err != nil {
		return err
	}
	x.g.crashWatch.Progress(r.p.watched)
	r.countEvent(event, x.g.Clock().Sub(began) >= slowWrite)
	if first && r.p.generation {
		x.g.moveIfLeaving(r.run)
	}
	return nil
}

func (x *exchange) beginAnswer(a *port.Answer) error {
	x.responseStarted, x.status = true, a.Status
	return x.responder.Begin(a.Status, a.Header, a.Length)
}

// slowWrite is the time of a write from which on the caller holds the stream up. The time
// between two events is at least twice as long.
const slowWrite = 20 * time.Millisecond

// countEvent updates the metrics and the scheduler after an event was sent to
// the caller. delayed is set if the caller held the stream up.
func (r *relay) countEvent(event *eventstream.Event, delayed bool) {
	x := r.x
	now := x.g.Clock()
	x.g.metrics.events.Inc(1)
	r.recordTiming(now)
	r.run.setLastID(event.ID)
	if !event.Empty {
		r.place.Add(event.ID)
		r.joined = true
	}
	if r.p.generation {
		r.p.tokens += max(1, x.engine.EventTokens)
		if delayed {
			// The times before and after this event include the caller's.
			x.g.Placer.Delayed(x.req.ID)
			defer x.g.Placer.Delayed(x.req.ID)
		}
		x.g.Placer.Progress(x.req.ID, r.p.tokens)
	}
}

// recordTiming records the time to the first event or the gap since the
// previous one.
func (r *relay) recordTiming(now time.Time) {
	d := r.x.delivered
	d.Events++
	if r.lastEventAt.IsZero() {
		d.FirstEventMillis = now.Sub(r.x.req.Arrived).Milliseconds()
	} else {
		gap := now.Sub(r.lastEventAt)
		observe(r.x.g.metrics.eventGap, gap)
		if gap.Milliseconds() > d.LongestGapMillis {
			d.LongestGapMillis, d.LongestGapEvent = gap.Milliseconds(), d.Events
		}
	}
	r.lastEventAt = now
}

// resumeFromCopy resumes the run from its copy, at the destination or else at
// the source, if there is a copy and the stream broke off before its end. It
// returns the stream that continues, or nil.
func (r *relay) resumeFromCopy(streamErr error) *port.Answer {
	if errors.Is(streamErr, io.EOF) || errors.Is(streamErr, errEndUnknown) || !r.x.responseStarted || r.attempt.Err() != nil {
		return nil
	}
	c, lastID := r.run.awaitCopy(r.attempt.Done())
	if c == nil || r.x.quarantineRefusal() != nil {
		return nil
	}
	if c = r.ensureStopped(c, streamErr); c == nil {
		return nil
	}
	r.x.ledger.Stopped()
	for _, at := range r.x.g.byPauseEnd(c.to, c.from) {
		// A leaving endpoint is not skipped: it holds the copy, and the request was
		// sent before it announced its leaving.
		if r.x.g.isEvacuated(at) {
			r.x.recordConcurrent(verdictResume, "not taken up: the endpoint's failure domain is evacuated", at.ID, nil)
			continue
		}
		if !r.x.awaitPauseEnd(r.attempt, verdictResume, at) {
			continue
		}
		next, err := r.x.resume(r.attempt, r.p, at, c, lastID)
		if err != nil {
			r.x.recordConcurrent(verdictResume, "not taken up: "+err.Error(), at.ID, nil)
			continue
		}
		r.x.recordConcurrent(verdictResume, "taken up from the copy after event "+lastID, at.ID, nil)
		r.x.g.metrics.moves.Inc(1)
		r.x.g.Placer.Relocated(r.x.req.ID, at.ID == c.to.ID, at.ID)
		r.x.reportSlowness(next)
		r.x.endpoint = at.ID
		r.x.g.crashWatch.End(r.p.watched, false)
		r.p.endpoint = at
		r.p.watched = r.x.g.crashWatch.Begin(at, r.x.identity(), nil)
		r.x.delivered.Runners++
		r.unconfirmed = false
		r.x.release(r.run.setSource(at, next.Body))
		return next
	}
	return nil
}

// resume sends the request again with the instruction to continue from a copy
// of its run. The ledger forbids it while another run may be in progress.
func (x *exchange) resume(ctx context.Context, p *placement, at port.Endpoint, c *runCopy, lastID string) (*port.Answer, error) {
	out := x.outbound(p)
	out.Endpoint = at
	out.Generation.Continue = &port.Continuation{Address: c.from.Address, Handle: c.handle, LastEventID: lastID}
	a, err := x.send(ctx, outcome.FromCopy, out)
	if err != nil {
		return nil, err
	}
	if a.Status != x.status || !eventstream.IsEventStream(a.Header.Get("Content-Type")) {
		_ = a.Body.Close()
		x.ledger.End(stream.OutcomeRan, x.responseStarted)
		return nil, errNoContinuation
	}
	return a, nil
}

// errNoContinuation means that the answer is not the continuation of the
// stream.
var errNoContinuation = errors.New("the answer is not a stream that goes on")

// finishStream classifies the end of a stream and ends the attempt. err is io.EOF if the
// stream is whole.
func (r *relay) finishStream(a *port.Answer, err error) stream.RunOutcome {
	x := r.x
	if !errors.Is(err, io.EOF) || r.attempt.Err() != nil {
		if !r.ended {
			r.endBroken(err)
		}
		if x.responseStarted {
			return stream.OutcomeRan
		}
		return stream.OutcomeUnknown
	}
	if !x.responseStarted {
		if err := x.beginAnswer(a); err != nil {
			return x.endCallerGone(r.p, err)
		}
	}
	x.endAttempt(r.p, port.FinishDone)
	x.reason = "the stream is whole"
	return stream.OutcomeDone
}

// endBroken ends an attempt whose stream broke off.
func (r *relay) endBroken(err error) {
	x := r.x
	r.ended = true
	brokeOff := x.readFailed || errors.Is(err, eventstream.ErrIncompleteEvent)
	if brokeOff && r.attempt.Err() == nil && x.abandonUnread(r.p, err) {
		return
	}
	x.reason = "the stream broke off: " + err.Error()
	x.left = r.attempt.Err() != nil
	// The endpoint is fine if it only doesn't continue this stream.
	unusable := errors.Is(err, errNotNextEvent) || errors.Is(err, errNoContinuation) ||
		x.bounded && errors.Is(err, eventstream.ErrTooLong)
	x.connectionLost = !x.left && !unusable
	x.recordIfWithdrawn(r.attempt)
	x.g.metrics.attemptFailed("cut")
	kind := finishKind(r.attempt, port.FinishFailed)
	if unusable {
		kind = port.FinishCancelled
	}
	x.endAttempt(r.p, kind)
}

func (x *exchange) endCallerGone(p *placement, err error) stream.RunOutcome {
	x.reason = "the caller has gone: " + err.Error()
	x.cause = CauseCallerGone
	x.left = true
	x.endAttempt(p, port.FinishCancelled)
	return stream.OutcomeRan
}
