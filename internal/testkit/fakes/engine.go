// Package fakes provides scripted in-memory implementations of ports, shared by
// the tests of several packages. They use no clocks, goroutines or sockets.
package fakes

import (
	"context"
	"iter"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Connection is a scripted frame stream. It yields the frames of Script and then
// ends or, if Hangs is set, blocks until the context is done.
type Connection struct {
	Script []port.Frame
	Hangs  bool
	// Closed, if not nil, is closed by Close.
	Closed chan struct{}
}

// Frames yields the frames of Script.
func (c *Connection) Frames(ctx context.Context) iter.Seq2[port.Frame, error] {
	return func(yield func(port.Frame, error) bool) {
		for _, f := range c.Script {
			if !yield(f, nil) {
				return
			}
		}
		if c.Hangs {
			<-ctx.Done()
		}
	}
}

// Close closes the channel Closed.
func (c *Connection) Close() error {
	if c.Closed != nil {
		close(c.Closed)
	}
	return nil
}

// Engine is a scripted engine that serves every address. Each call of Start or
// Resume runs the next function of OnStart or OnResume.
type Engine struct {
	mu sync.Mutex
	// OnStart and OnResume hold one function for each call, in order.
	OnStart  []func(s *port.GenerationStart) (port.FrameStream, error)
	OnResume []func(generation string, from int) (port.FrameStream, error)
	// OnCancel and OnStatus are run for every call. If nil, the call returns
	// port.ErrEndpointLost.
	OnCancel func(e port.Endpoint, generation string) (port.GenerationStatus, error)
	OnStatus func(generation string) (port.GenerationStatus, error)
	// Report is returned by Load, unless LoadFails is set.
	Report port.LoadReport
	// LateIncarnation is the incarnation in the reports of Load, if not zero.
	LateIncarnation uint64
	LoadFails       bool
	// NotListening makes CheckPresence report that nothing listens at any address.
	NotListening bool

	loadCalls int
	starts    []port.GenerationStart
	resumes   []int
	cancels   []string
}

// Start runs the next function of OnStart, or returns port.ErrNotSent if none is
// left.
func (e *Engine) Start(_ context.Context, s *port.GenerationStart) (port.FrameStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, *s)
	if len(e.OnStart) == 0 {
		return nil, port.ErrNotSent
	}
	f := e.OnStart[0]
	e.OnStart = e.OnStart[1:]
	return f(s)
}

// Resume runs the next function of OnResume, or returns port.ErrEndpointLost if
// none is left.
func (e *Engine) Resume(_ context.Context, _ port.Endpoint, generation string, from int) (port.FrameStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes = append(e.resumes, from)
	if len(e.OnResume) == 0 {
		return nil, port.ErrEndpointLost
	}
	f := e.OnResume[0]
	e.OnResume = e.OnResume[1:]
	return f(generation, from)
}

// Cancel returns the result of OnCancel.
func (e *Engine) Cancel(_ context.Context, ep port.Endpoint, generation string) (port.GenerationStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, generation)
	if e.OnCancel == nil {
		return "", port.ErrEndpointLost
	}
	return e.OnCancel(ep, generation)
}

// Status returns the result of OnStatus.
func (e *Engine) Status(_ context.Context, _ port.Endpoint, generation string) (port.GenerationStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.OnStatus == nil {
		return "", port.ErrEndpointLost
	}
	return e.OnStatus(generation)
}

// Load returns Report with the endpoint's id and, unless Report sets one, its
// incarnation. LateIncarnation replaces it if set.
func (e *Engine) Load(_ context.Context, ep port.Endpoint) (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ep)
	if e.LateIncarnation != 0 {
		r.Incarnation = e.LateIncarnation
	}
	return r, err
}

// LoadNow returns what Load does without LateIncarnation.
func (e *Engine) LoadNow(_ context.Context, ep port.Endpoint) (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(ep)
}

// report counts the call and returns its report; mu must be held.
func (e *Engine) report(ep port.Endpoint) (port.LoadReport, error) {
	e.loadCalls++
	if e.LoadFails {
		return port.LoadReport{}, port.ErrEndpointLost
	}
	r := e.Report
	r.EndpointID = ep.ID
	if r.Incarnation == 0 {
		r.Incarnation = ep.Incarnation
	}
	return r, nil
}

// CheckPresence reports that the engine serves, unless NotListening is set.
func (e *Engine) CheckPresence(context.Context, port.Endpoint) port.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.NotListening {
		return port.PresenceGone
	}
	return port.PresenceServing
}

// LoadCalls returns the number of calls of Load and LoadNow.
func (e *Engine) LoadCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadCalls
}

// Calls returns the calls so far: the arguments of Start, the indexes passed to
// Resume and the generations passed to Cancel.
func (e *Engine) Calls() (starts []port.GenerationStart, resumes []int, cancels []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(starts, e.starts...), append(resumes, e.resumes...), append(cancels, e.cancels...)
}

// Tokens returns the token frames of a generation from index first up to, but not
// including, last. If last equals total, the final frame follows.
func Tokens(generation string, first, last, total int) []port.Frame {
	var out []port.Frame
	for i := first; i < last; i++ {
		out = append(out, port.Frame{Generation: generation, Index: i, Text: "t"})
	}
	if last == total {
		out = append(out, port.Frame{Generation: generation, Index: total, FinishReason: "stop", TokenCount: total})
	}
	return out
}

// Whole returns a step for OnStart that yields a complete generation.
func Whole(total int) func(*port.GenerationStart) (port.FrameStream, error) {
	return func(s *port.GenerationStart) (port.FrameStream, error) {
		return &Connection{Script: Tokens(s.Generation, 0, total, total)}, nil
	}
}

// Lost is a step for OnStart that returns port.ErrEndpointLost.
func Lost(*port.GenerationStart) (port.FrameStream, error) { return nil, port.ErrEndpointLost }

// RemainingFrames returns a step for OnResume that yields the remaining frames of a
// generation.
func RemainingFrames(total int) func(string, int) (port.FrameStream, error) {
	return func(generation string, from int) (port.FrameStream, error) {
		return &Connection{Script: Tokens(generation, from, total, total)}, nil
	}
}
