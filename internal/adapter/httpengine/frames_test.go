package httpengine

import (
	"bytes"
	"io"
	"testing"
)

// For any response of an engine, reading the events terminates and yields
// frames, at most one error, and nothing after the error.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("id: g:0\ndata: {\"generation\":\"g\",\"index\":0}\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &frameStream{body: io.NopCloser(bytes.NewReader(body)), cancel: func() {}}
		failed := false
		for frame, err := range s.Frames(t.Context()) {
			if failed {
				t.Fatalf("%+v, %v after an error", frame, err)
			}
			failed = err != nil
		}
	})
}
