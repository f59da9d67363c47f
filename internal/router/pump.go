package router

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// pump reads frames from one engine connection ahead of its caller, into a bounded
// buffer. If the buffer stays full for the timeout, the connection is closed:
// otherwise a slow reader would occupy the engine's send buffers and this router's
// memory indefinitely. No tokens are lost, as the engine keeps them and the stream
// resumes once the buffer is drained.
type pump struct {
	// frames is closed when the connection ends.
	frames chan port.Frame
	cancel context.CancelFunc
	done   chan struct{}
}

func startPump(s port.FrameStream, buffer int, timeout time.Duration) *pump {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pump{frames: make(chan port.Frame, buffer), cancel: cancel, done: make(chan struct{})}
	go p.run(ctx, s, timeout)
	return p
}

func (p *pump) run(ctx context.Context, s port.FrameStream, timeout time.Duration) {
	defer close(p.done)
	defer close(p.frames)
	defer s.Close()
	for f, err := range s.Frames(ctx) {
		if err != nil || !p.push(ctx, f, timeout) {
			return
		}
	}
}

func (p *pump) push(ctx context.Context, f port.Frame, timeout time.Duration) bool {
	select {
	case p.frames <- f:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p.frames <- f:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// stop ends the pump and waits for it, so that no connection outlives its
// attempt.
func (p *pump) stop() {
	p.cancel()
	<-p.done
}
