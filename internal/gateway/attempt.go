package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/eventstream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxBuffered is read whole before the caller gets a byte, so that an answer
// cut short can still be tried again; what is over it streams through.
const maxBuffered = 1 << 20

// buffered is an endpoint's answer, or its beginning where rest is not nil.
type buffered struct {
	status int
	header http.Header
	body   []byte
	length int64
	rest   io.Reader
}

// attempt sends the request to one endpoint and passes its answer on.
func (x *exchange) attempt(ctx context.Context, p *placement) stream.Fate {
	x.beginAttempt(p)
	began := x.g.Clock()
	answer, err := x.send(ctx, x.outbound(p))
	if err != nil {
		return x.failed(ctx, p, err)
	}
	defer answer.Body.Close()
	x.arrived = true
	x.ran++
	x.heard(p, answer)
	observe(x.g.metrics.calls, x.g.Clock().Sub(began))
	if answer.Status == http.StatusOK && eventstream.Is(answer.Header.Get("Content-Type")) {
		return x.relayEvents(ctx, p, answer)
	}
	return x.relayBody(ctx, p, answer)
}

// send sends a request once and takes what the endpoint says of what it takes.
func (x *exchange) send(ctx context.Context, out *port.Exchange) (*port.Answer, error) {
	answer, err := x.g.Endpoints.Send(ctx, out)
	if answer != nil {
		x.g.heardLimit(out.Endpoint, answer.RateLimit)
		x.g.heardColdness(out.Endpoint, answer.ColdFor)
	}
	return answer, err
}

// engineRank is the urgency that engines are told of every generation. Who goes
// first is decided where all that wait is known, in the pool's queue. An engine
// that is told of ranks makes room for a more urgent prompt by preempting a run
// under way: its caller stalls, and a prompt of thousands of tokens is read
// twice. With one rank a prompt waits for room: 179,000 prompt tokens were read
// in vain in 34 s at 45 full engines in place of 316,000.
const engineRank = 0

// outbound is the request as the endpoint gets it.
func (x *exchange) outbound(p *placement) *port.Exchange {
	out := &port.Exchange{
		RequestID: x.req.ID, Endpoint: p.endpoint, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host,
		Header: x.req.Header, Body: x.req.Body, Organisation: x.req.Pass.Organisation,
		Remaining: x.deadline.Sub(x.g.Clock()),
	}
	if p.generation {
		out.Generation = &port.GenerationTerms{Rank: engineRank}
	}
	return out
}

// heard takes what the endpoint says of itself beside the answer.
func (x *exchange) heard(p *placement, a *port.Answer) {
	if a.Load == nil || p.generation {
		return
	}
	x.g.balancer.Report(x.g.Clock(), &port.LoadReport{
		EndpointID: p.endpoint.ID, Incarnation: p.endpoint.Incarnation,
		Running: a.Load.Running, Waiting: a.Load.Waiting,
	})
}

// failed judges an attempt without an answer.
func (x *exchange) failed(ctx context.Context, p *placement, err error) stream.Fate {
	fate, kind, name := stream.FateUnknown, port.FinishFailed, "lost"
	switch {
	case errors.Is(err, port.ErrMisdirected):
		fate, kind, name = stream.FateRefused, port.FinishNotStarted, "misdirected"
		x.arrived = true
		x.g.sawLeaving(p.endpoint, "another endpoint answers at its address")
	case errors.Is(err, port.ErrRefused):
		fate, kind, name = stream.FateRefused, port.FinishCancelled, "refused"
		x.arrived = true
	case errors.Is(err, port.ErrNotSent):
		fate, kind, name = stream.FateNotSent, port.FinishNotStarted, "not_sent"
	case errors.Is(err, port.ErrForeignAnswer):
		name = "foreign_answer"
	}
	if fate == stream.FateUnknown {
		x.arrived = true
		x.ran++
	}
	if ctx.Err() != nil {
		kind = port.FinishCancelled
	}
	x.lost = kind == port.FinishFailed
	x.reason = withCause(err)
	x.g.metrics.lost(name)
	x.endAttempt(p, kind)
	return fate
}

// withCause is an error's text with what lies behind it: whether an address
// refuses connections or doesn't answer is not in the text itself.
func withCause(err error) string {
	if cause := merry.Cause(err); cause != nil {
		return err.Error() + ": " + cause.Error()
	}
	return err.Error()
}

// relayBody passes on an answer that isn't a stream of events.
func (x *exchange) relayBody(ctx context.Context, p *placement, a *port.Answer) stream.Fate {
	b, err := readAnswer(a)
	if err != nil {
		x.reason = "the answer broke off: " + err.Error()
		x.lost = ctx.Err() == nil
		x.g.metrics.lost("cut")
		x.endAttempt(p, finishOf(ctx, port.FinishFailed))
		return stream.FateUnknown
	}
	if b.status >= http.StatusInternalServerError && x.ledger.Idempotent {
		x.kept = b
		x.reason = "the endpoint answers " + http.StatusText(b.status)
		x.endAttempt(p, port.FinishFailed)
		return stream.FateRan
	}
	err = x.deliver(b)
	x.endAttempt(p, port.FinishDone)
	if err != nil {
		x.reason = "the answer could not be passed on whole: " + err.Error()
		return stream.FateRan
	}
	x.reason = http.StatusText(b.status)
	return stream.FateDone
}

func finishOf(ctx context.Context, kind port.FinishKind) port.FinishKind {
	if ctx.Err() != nil {
		return port.FinishCancelled
	}
	return kind
}

// readAnswer reads an answer up to maxBuffered.
func readAnswer(a *port.Answer) (*buffered, error) {
	var buffer bytes.Buffer
	b := &buffered{status: a.Status, header: a.Header, length: a.Length}
	_, err := io.CopyN(&buffer, a.Body, maxBuffered)
	b.body = buffer.Bytes()
	switch {
	case err == nil:
		b.rest = a.Body
	case errors.Is(err, io.EOF):
		b.length = int64(len(b.body))
	default:
		return nil, err
	}
	return b, nil
}

// deliver gives the caller an answer. Once it has begun, an error leaves the
// caller with a part that must not look whole.
func (x *exchange) deliver(b *buffered) error {
	x.begun, x.status = true, b.status
	if err := x.out.Begin(b.status, b.header, b.length); err != nil {
		return err
	}
	if err := x.out.Write(b.body); err != nil {
		return err
	}
	if b.rest == nil {
		return nil
	}
	_, err := io.Copy(responderWriter{x.out}, b.rest)
	return err
}

// responderWriter is a Responder as an io.Writer.
type responderWriter struct{ out Responder }

func (w responderWriter) Write(p []byte) (int, error) {
	if err := w.out.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}
