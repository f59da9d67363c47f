package httpengine

import (
	"context"
	"encoding/json"
	"io"
	"iter"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxFrameBytes limits the size of one event of an engine.
const MaxFrameBytes = 64 << 10

// frameStream reads the events of one response.
type frameStream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

// Frames yields the frames of the stream. A stream that ends without an error
// doesn't mean that the generation has ended.
func (s *frameStream) Frames(ctx context.Context) iter.Seq2[port.Frame, error] {
	return func(yield func(port.Frame, error) bool) {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
		for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: MaxFrameBytes}) {
			var f port.Frame
			if err == nil {
				err = json.Unmarshal([]byte(event.Data), &f)
			}
			if err != nil {
				yield(port.Frame{}, merry.Wrap(port.ErrEndpointLost, merry.WithCause(err)))
				return
			}
			if !yield(f, nil) {
				return
			}
		}
	}
}

// Close releases the connection. It must not be called while Frames is running;
// cancel the context of Frames first.
func (s *frameStream) Close() error {
	s.cancel()
	return s.body.Close()
}
