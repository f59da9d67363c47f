// Package fakes holds scripted stand-ins of ports for the tests of several
// packages. They are plain memory: no clock, no goroutine, no socket.
package fakes

import (
	"context"
	"iter"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Connection is a scripted connection: it yields the frames, then ends, or
// hangs until it is closed.
type Connection struct {
	Script []port.Frame
	Hangs  bool
	// Closed is closed by Close, where set.
	Closed chan struct{}
}

// Frames yields the script.
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

// Close notes that the connection is released.
func (c *Connection) Close() error {
	if c.Closed != nil {
		close(c.Closed)
	}
	return nil
}

// Engine is a scripted engine behind every address. Start and Resume take the
// next step of their script; a test scripts what each call meets.
type Engine struct {
	mu sync.Mutex
	// OnStart and OnResume hold one step for each call.
	OnStart  []func(s *port.GenerationStart) (port.FrameStream, error)
	OnResume []func(generation string, from int) (port.FrameStream, error)
	// OnCancel and OnStatus answer every call; nil loses it.
	OnCancel func(e port.Endpoint, generation string) (port.GenerationStatus, error)
	OnStatus func(generation string) (port.GenerationStatus, error)
	// Report answers Load, unless LoadFails.
	Report    port.LoadReport
	LoadFails bool
	// Gone: nothing listens at any address.
	Gone bool

	asked   int
	starts  []port.GenerationStart
	resumes []int
	cancels []string
}

// Start takes the next step of OnStart.
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

// Resume takes the next step of OnResume.
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

// Cancel answers as OnCancel does.
func (e *Engine) Cancel(_ context.Context, ep port.Endpoint, generation string) (port.GenerationStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels = append(e.cancels, generation)
	if e.OnCancel == nil {
		return "", port.ErrEndpointLost
	}
	return e.OnCancel(ep, generation)
}

// Status answers as OnStatus does.
func (e *Engine) Status(_ context.Context, _ port.Endpoint, generation string) (port.GenerationStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.OnStatus == nil {
		return "", port.ErrEndpointLost
	}
	return e.OnStatus(generation)
}

// Load answers with Report.
func (e *Engine) Load(_ context.Context, ep port.Endpoint) (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
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

// Look shows an engine that serves, unless Gone.
func (e *Engine) Look(context.Context, port.Endpoint) port.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Gone {
		return port.PresenceGone
	}
	return port.PresenceServing
}

// LoadsAsked counts the calls of Load.
func (e *Engine) LoadsAsked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

// Seen returns what was asked of the engine so far.
func (e *Engine) Seen() (starts []port.GenerationStart, resumes []int, cancels []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(starts, e.starts...), append(resumes, e.resumes...), append(cancels, e.cancels...)
}

// Tokens are frames first to last of a generation, and its end where last is
// the total.
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

// Whole starts a generation that goes through.
func Whole(total int) func(*port.GenerationStart) (port.FrameStream, error) {
	return func(s *port.GenerationStart) (port.FrameStream, error) {
		return &Connection{Script: Tokens(s.Generation, 0, total, total)}, nil
	}
}

// Lost loses a dispatch.
func Lost(*port.GenerationStart) (port.FrameStream, error) { return nil, port.ErrEndpointLost }

// Rest resumes a generation to its end.
func Rest(total int) func(string, int) (port.FrameStream, error) {
	return func(generation string, from int) (port.FrameStream, error) {
		return &Connection{Script: Tokens(generation, from, total, total)}, nil
	}
}
