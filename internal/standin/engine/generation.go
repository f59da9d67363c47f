package engine

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// generation is one model run. Its tokens are a function of its id, so only
// their number is stored.
type generation struct {
	id string
	// total is the output length in tokens; finishReason is the reason that
	// the final frame gives.
	total        int
	finishReason string

	mu      sync.Mutex
	status  port.GenerationStatus
	tokens  int
	changed chan struct{}
	ended   time.Time
}

// progress is a snapshot of a generation's progress.
type progress struct {
	status port.GenerationStatus
	tokens int
	// changed is closed at the next change of the generation.
	changed <-chan struct{}
}

func (g *generation) progress() progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return progress{status: g.status, tokens: g.tokens, changed: g.changed}
}

// statusAndEnd returns the status and the end time, which is zero until the
// generation has ended.
func (g *generation) statusAndEnd() (port.GenerationStatus, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status, g.ended
}

// addToken records the token with this index. After a cancel it has no effect.
func (g *generation) addToken(now time.Time, index int, final bool) {
	g.update(func() {
		if g.status == port.GenerationCancelled {
			return
		}
		g.tokens = index + 1
		g.status = port.GenerationRunning
		if final {
			g.status = port.GenerationFinished
			g.ended = now
		}
	})
}

// cancel cancels the generation unless it has finished, and returns the
// previous status.
func (g *generation) cancel(now time.Time) port.GenerationStatus {
	var before port.GenerationStatus
	g.update(func() {
		before = g.status
		if before != port.GenerationFinished {
			g.status = port.GenerationCancelled
			g.ended = now
		}
	})
	return before
}

func (g *generation) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// frame returns the frame of the token with this index, or the final frame if
// the index is past the last token.
func (g *generation) frame(index int) port.Frame {
	if index < g.total {
		return port.Frame{Generation: g.id, Index: index, Text: TokenText(g.id, index)}
	}
	return port.Frame{Generation: g.id, Index: g.total, FinishReason: g.finishReason, TokenCount: g.total}
}
