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

// relayEvents passes on a stream of events, each whole and as it comes.
func (x *exchange) relayEvents(ctx context.Context, p *placement, a *port.Answer) stream.Fate {
	reader := eventstream.NewReader(a.Body)
	var last time.Time
	for {
		event, err := reader.Next()
		if err != nil {
			return x.eventsEnded(ctx, p, a, err)
		}
		if !x.begun {
			x.begun = true
			observe(x.g.metrics.firstEvent, x.g.Clock().Sub(x.req.Arrived))
			if err := x.out.Begin(a.Status, a.Header, a.Length); err != nil {
				return x.callerLeft(p, err)
			}
		}
		if err := x.pass(event.Raw); err != nil {
			return x.callerLeft(p, err)
		}
		last = x.tookEvent(p, last)
	}
}

func (x *exchange) pass(raw []byte) error {
	if err := x.out.Write(raw); err != nil {
		return err
	}
	return x.out.Flush()
}

// tookEvent counts an event and returns when it came.
func (x *exchange) tookEvent(p *placement, last time.Time) time.Time {
	now := x.g.Clock()
	x.g.metrics.events.Inc(1)
	if !last.IsZero() {
		observe(x.g.metrics.eventGap, now.Sub(last))
	}
	if p.generation {
		p.tokens += max(1, x.engine.EventTokens)
		x.g.Scheduler.Progress(now, x.req.ID, p.tokens)
	}
	return now
}

// eventsEnded judges the end of a stream.
func (x *exchange) eventsEnded(ctx context.Context, p *placement, a *port.Answer, err error) stream.Fate {
	if !errors.Is(err, io.EOF) || ctx.Err() != nil {
		x.reason = "the stream broke off: " + err.Error()
		x.g.metrics.lost("cut")
		x.endAttempt(p, finishOf(ctx, port.FinishFailed))
		if x.begun {
			return stream.FateRan
		}
		return stream.FateUnknown
	}
	if !x.begun {
		x.begun = true
		if err := x.out.Begin(a.Status, a.Header, a.Length); err != nil {
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
