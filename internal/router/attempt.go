package router

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// FrameWriter writes a generation's frames to its caller.
type FrameWriter interface {
	// WriteFrame writes one frame with the resume token of its run. It may buffer the
	// frame until Flush. An error means that the caller has disconnected.
	WriteFrame(token string, f *port.Frame) error
	// Flush sends the frames that WriteFrame has buffered.
	Flush() error
	// Resumable reports whether the caller receives resume tokens while it reads.
	Resumable() bool
}

// attempt drives one run: it executes the commands of the stream machine and feeds
// the results back as events.
type attempt struct {
	r           *Router
	machine     *stream.Machine
	answer      FrameWriter
	endpoint    port.Endpoint
	start       *port.GenerationStart
	resumeToken string
	// onToken is called after each delivered token with the number of tokens
	// delivered so far. It may be nil.
	onToken func(tokens int)

	pump        *pump
	lastTokenAt time.Time
	// stallTimer is created for the first wait and reused for later ones.
	stallTimer *time.Timer
	// unflushed is set while answer may hold frames that have not been flushed.
	unflushed bool
}

// attemptResult is how a run ended.
type attemptResult struct {
	outcome       stream.RunOutcome
	reason        string
	cancelPending bool
}

// run drives the machine until the run ends. The context is the caller's.
func (a *attempt) run(ctx context.Context) attemptResult {
	defer a.close()
	event := stream.Event{Kind: stream.EventBegin}
	for {
		c := a.machine.Step(event)
		switch c.Kind {
		case stream.CommandRead, stream.CommandDeliver, stream.CommandComplete:
		default:
			// The step may take seconds, so buffered frames are sent first. If the
			// caller has disconnected, the next read or the context reports it.
			a.flush()
		}
		switch c.Kind {
		case stream.CommandDispatch:
			event = a.dispatch(ctx)
		case stream.CommandRead:
			event = a.read(ctx)
		case stream.CommandDeliver:
			event = a.deliver(ctx, &c.Frame)
		case stream.CommandResume:
			event = a.resume(ctx, c)
		case stream.CommandProbe:
			event = a.probe(ctx, c)
		case stream.CommandCancel:
			event = a.cancel(c)
		case stream.CommandComplete:
			return a.complete(&c)
		default:
			return attemptResult{outcome: c.Outcome, reason: c.Reason, cancelPending: c.CancelPending}
		}
	}
}

func (a *attempt) close() {
	if a.pump != nil {
		a.pump.stop()
		a.pump = nil
	}
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	a.r.metrics.droppedFrames.Inc(int64(a.machine.Dropped()))
	a.r.metrics.resumes.Inc(int64(a.machine.Resumes()))
}

func (a *attempt) dispatch(ctx context.Context) stream.Event {
	s, err := a.r.Engine.Start(ctx, a.start)
	if err == nil {
		return a.startReading(s)
	}
	switch {
	case errors.Is(err, port.ErrRefused):
		a.r.loadPoller.pollAfterRefusal(a.endpoint)
		return stream.Event{Kind: stream.EventRefused}
	case errors.Is(err, port.ErrRejected):
		return stream.Event{Kind: stream.EventRejected}
	case ctx.Err() != nil:
		return stream.Event{Kind: stream.EventCallerGone}
	case errors.Is(err, port.ErrNotSent):
		return stream.Event{Kind: stream.EventNotSent}
	default:
		return stream.Event{Kind: stream.EventNoAnswer}
	}
}

func (a *attempt) startReading(s port.FrameStream) stream.Event {
	a.pump = startPump(s, a.r.o.BufferFrames, a.r.o.SlowReaderTimeout)
	return stream.Event{Kind: stream.EventOpened}
}

// read returns a buffered frame if there is one; otherwise it flushes and waits for
// one. Frames that arrive in one burst thus reach the caller in one write, and no
// frame stays unflushed during a wait.
func (a *attempt) read(ctx context.Context) stream.Event {
	if kind := a.interruption(ctx); kind != 0 {
		return stream.Event{Kind: kind}
	}
	select {
	case f, ok := <-a.pump.frames:
		return a.frameEvent(f, ok)
	default:
	}
	if !a.flush() {
		return stream.Event{Kind: stream.EventCallerGone}
	}
	return a.awaitFrame(ctx)
}

// interruption returns the event that ends the reading, or zero. read checks it
// before each frame, because with a frame always buffered it would never get to the
// wait that detects these events.
func (a *attempt) interruption(ctx context.Context) stream.EventKind {
	if ctx.Err() != nil {
		return stream.EventCallerGone
	}
	select {
	case <-a.r.lifecycle.handover:
		return stream.EventHandover
	default:
		return 0
	}
}

func (a *attempt) flush() bool {
	if !a.unflushed {
		return true
	}
	a.unflushed = false
	return a.answer.Flush() == nil
}

func (a *attempt) frameEvent(f port.Frame, ok bool) stream.Event {
	if !ok {
		return stream.Event{Kind: stream.EventClosed}
	}
	a.forwardLoad(&f)
	return stream.Event{Kind: stream.EventFrame, Frame: f}
}

func (a *attempt) awaitFrame(ctx context.Context) stream.Event {
	if a.stallTimer == nil {
		a.stallTimer = time.NewTimer(a.r.o.StallTimeout)
	} else {
		a.stallTimer.Reset(a.r.o.StallTimeout)
	}
	select {
	case f, ok := <-a.pump.frames:
		return a.frameEvent(f, ok)
	case <-a.stallTimer.C:
		return stream.Event{Kind: stream.EventStalled}
	case <-ctx.Done():
		return stream.Event{Kind: stream.EventCallerGone}
	case <-a.r.lifecycle.handover:
		return stream.Event{Kind: stream.EventHandover}
	}
}

// forwardLoad passes on the load report that a frame carries.
func (a *attempt) forwardLoad(f *port.Frame) {
	if f.Load == nil || f.Load.EndpointID != a.endpoint.ID {
		return
	}
	a.r.handleReport(a.endpoint, f.Load)
}

func (a *attempt) deliver(ctx context.Context, f *port.Frame) stream.Event {
	if err := a.answer.WriteFrame(a.resumeToken, f); err != nil {
		return stream.Event{Kind: stream.EventCallerGone}
	}
	a.unflushed = true
	a.observeToken()
	if a.onToken != nil {
		a.onToken(a.machine.Next())
	}
	return a.read(ctx)
}

func (a *attempt) observeToken() {
	now := a.r.Clock()
	a.r.metrics.tokens.Inc(1)
	if !a.lastTokenAt.IsZero() {
		observe(a.r.metrics.tokenGap, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

func (a *attempt) complete(c *stream.Command) attemptResult {
	err := a.answer.WriteFrame(a.resumeToken, &c.Frame)
	if err == nil {
		err = a.answer.Flush()
	}
	if err != nil {
		return attemptResult{outcome: stream.OutcomeDetached, reason: "the caller has gone before the final event"}
	}
	return attemptResult{outcome: c.Outcome, reason: c.Reason}
}

func (a *attempt) resume(ctx context.Context, c stream.Command) stream.Event {
	if a.pump != nil {
		a.pump.stop()
		a.pump = nil
	}
	if kind := a.wait(ctx, c.Delay); kind != 0 {
		return stream.Event{Kind: kind}
	}
	s, err := a.r.Engine.Resume(ctx, a.endpoint, a.start.Generation, c.From)
	switch {
	case err == nil:
		return a.startReading(s)
	case errors.Is(err, port.ErrNoGeneration):
		return stream.Event{Kind: stream.EventNoGeneration}
	case ctx.Err() != nil:
		return stream.Event{Kind: stream.EventCallerGone}
	default:
		return stream.Event{Kind: stream.EventNoAnswer}
	}
}

func (a *attempt) probe(ctx context.Context, c stream.Command) stream.Event {
	if kind := a.wait(ctx, c.Delay); kind != 0 {
		return stream.Event{Kind: kind}
	}
	status, err := a.r.Engine.Status(ctx, a.endpoint, a.start.Generation)
	switch {
	case err == nil:
		return stream.Event{Kind: stream.EventStatus, Status: status}
	case ctx.Err() != nil:
		return stream.Event{Kind: stream.EventCallerGone}
	default:
		return stream.Event{Kind: stream.EventNoAnswer}
	}
}

// cancel frees resources at the engine, so the end of the caller's context doesn't
// stop it.
func (a *attempt) cancel(c stream.Command) stream.Event {
	a.wait(context.Background(), c.Delay)
	status, err := a.r.cancelOnce(context.Background(), a.endpoint, a.start.Generation)
	if err != nil {
		return stream.Event{Kind: stream.EventNoAnswer}
	}
	if status == port.GenerationUnknown && !a.sameIncarnation() {
		return stream.Event{Kind: stream.EventEngineRestarted}
	}
	return stream.Event{Kind: stream.EventStatus, Status: status}
}

// sameIncarnation reports whether the engine is still the incarnation that received
// the dispatch. An engine that restarted at the same address knows no generation,
// so its answer alone would report a request that ran before the restart as not
// run. Incarnations only grow, so it is enough to read the incarnation after the
// answer to the cancel.
func (a *attempt) sameIncarnation() bool {
	ctx, cancel := context.WithTimeout(context.Background(), a.r.o.CancelTimeout)
	defer cancel()
	report, err := a.r.Engine.LoadNow(ctx, a.endpoint)
	return err == nil && report.EndpointID == a.endpoint.ID && report.Incarnation == a.endpoint.Incarnation
}

// wait sleeps for d. It returns the event that interrupted it, or zero.
func (a *attempt) wait(ctx context.Context, d time.Duration) stream.EventKind {
	if d <= 0 {
		return 0
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0
	case <-ctx.Done():
		return stream.EventCallerGone
	case <-a.r.lifecycle.handover:
		return stream.EventHandover
	}
}
