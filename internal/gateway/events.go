package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/eventstream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// relay passes on one stream of events, which may come from several runners
// one after the other.
type relay struct {
	x    *exchange
	p    *placement
	run  *run
	last time.Time
}

// relayEvents passes on a stream of events, each whole and as it comes.
func (x *exchange) relayEvents(ctx context.Context, p *placement, a *port.Answer) stream.Fate {
	r := &relay{x: x, p: p, run: &run{x: x}}
	x.delivered = &port.Delivery{HeldMillis: x.held.Milliseconds(), Runners: 1}
	r.run.reads(p.endpoint, a.Body)
	defer func() { x.release(r.run.end()) }()
	if p.generation {
		x.g.runs.add(r.run)
		defer x.g.runs.remove(r.run)
	}
	for {
		err := r.read(a)
		if errors.Is(err, errCallerLeft) {
			return x.callerLeft(p, err)
		}
		next := r.handOver(ctx, a, err)
		if next == nil {
			return x.eventsEnded(ctx, p, a, err)
		}
		defer next.Body.Close()
		a = next
	}
}

// errCallerLeft: the caller takes no more.
var errCallerLeft = errors.New("the caller has gone")

// read passes on one runner's events until their end, which it returns.
func (r *relay) read(a *port.Answer) error {
	reader := eventstream.NewReader(a.Body)
	for {
		event, err := reader.Next()
		if err != nil {
			return err
		}
		if err := r.pass(a, &event); err != nil {
			return errors.Join(errCallerLeft, err)
		}
	}
}

func (r *relay) pass(a *port.Answer, event *eventstream.Event) error {
	x := r.x
	first := !x.begun
	if first {
		observe(x.g.metrics.firstEvent, x.g.Clock().Sub(x.req.Arrived))
		if err := x.beginAnswer(a); err != nil {
			return err
		}
	}
	if err := x.out.Write(event.Raw); err != nil {
		return err
	}
	if err := x.out.Flush(); err != nil {
		return err
	}
	r.took(event.ID)
	if first && r.p.generation {
		x.g.moveIfLeaving(r.run)
	}
	return nil
}

func (x *exchange) beginAnswer(a *port.Answer) error {
	x.begun, x.status = true, a.Status
	return x.out.Begin(a.Status, a.Header, a.Length)
}

// took counts an event that the caller has.
func (r *relay) took(id string) {
	x := r.x
	now := x.g.Clock()
	x.g.metrics.events.Inc(1)
	r.measure(now)
	r.run.took(id)
	if r.p.generation {
		r.p.tokens += max(1, x.engine.EventTokens)
		x.g.Placer.Progress(x.req.ID, r.p.tokens)
	}
}

// measure notes when an event came.
func (r *relay) measure(now time.Time) {
	d := r.x.delivered
	d.Events++
	if r.last.IsZero() {
		d.FirstMillis = now.Sub(r.x.req.Arrived).Milliseconds()
	} else {
		gap := now.Sub(r.last)
		observe(r.x.g.metrics.eventGap, gap)
		if gap.Milliseconds() > d.GapMillis {
			d.GapMillis, d.GapEvent = gap.Milliseconds(), d.Events
		}
	}
	r.last = now
}

// handOver takes the run up from its copy, where there is one and its stream
// has not come to its own end. It returns the stream that goes on, or nil.
func (r *relay) handOver(ctx context.Context, a *port.Answer, ended error) *port.Answer {
	if errors.Is(ended, io.EOF) && a.Delimited || !r.x.begun {
		return nil
	}
	c, lastID := r.run.handover(ctx.Done())
	if c == nil || r.x.quarantineRefusal() != nil {
		return nil
	}
	for _, at := range []port.Endpoint{c.to, c.from} {
		if r.x.g.isEvacuated(at) {
			r.x.note(verdictResume, "not taken up: the endpoint's failure domain is evacuated", at.ID, nil)
			continue
		}
		next, err := r.x.resume(ctx, r.p, at, c, lastID)
		if err != nil {
			r.x.note(verdictResume, "not taken up: "+err.Error(), at.ID, nil)
			continue
		}
		r.x.note(verdictResume, "taken up from the copy after event "+lastID, at.ID, nil)
		r.x.g.metrics.moves.Inc(1)
		r.x.g.Placer.Relocated(r.x.req.ID, at.ID == c.to.ID, at.ID)
		r.x.endpoint = at.ID
		r.x.g.crashes.End(r.p.watched, false)
		r.p.endpoint = at
		r.p.watched = r.x.g.crashes.Begin(at, r.x.fingerprint())
		r.x.delivered.Runners++
		r.x.release(r.run.reads(at, next.Body))
		return next
	}
	return nil
}

// resume sends the request again, to go on from a copy of its run.
func (x *exchange) resume(ctx context.Context, p *placement, at port.Endpoint, c *copyAt, lastID string) (*port.Answer, error) {
	out := x.outbound(p)
	out.Endpoint = at
	out.Generation.Continue = &port.Continuation{Address: c.from.Address, Handle: c.handle, LastEventID: lastID}
	a, err := x.send(ctx, out)
	if err != nil {
		return nil, err
	}
	if a.Status != x.status || !eventstream.Is(a.Header.Get("Content-Type")) {
		_ = a.Body.Close()
		return nil, errNoContinuation
	}
	return a, nil
}

// errNoContinuation: the answer is not the rest of the stream.
var errNoContinuation = errors.New("the answer is not a stream that goes on")

// eventsEnded judges the end of a stream.
func (x *exchange) eventsEnded(ctx context.Context, p *placement, a *port.Answer, err error) stream.Fate {
	if !errors.Is(err, io.EOF) || ctx.Err() != nil {
		x.reason = "the stream broke off: " + err.Error()
		x.lost = ctx.Err() == nil
		x.g.metrics.lost("cut")
		x.endAttempt(p, finishOf(ctx, port.FinishFailed))
		if x.begun {
			return stream.FateRan
		}
		return stream.FateUnknown
	}
	if !x.begun {
		if err := x.beginAnswer(a); err != nil {
			return x.callerLeft(p, err)
		}
	}
	x.endAttempt(p, port.FinishDone)
	x.reason = "the stream is whole"
	return stream.FateDone
}

func (x *exchange) callerLeft(p *placement, err error) stream.Fate {
	x.reason = "the caller has gone: " + err.Error()
	x.cause = CauseCallerGone
	x.endAttempt(p, port.FinishCancelled)
	return stream.FateRan
}
