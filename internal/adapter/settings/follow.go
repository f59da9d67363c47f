package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Follow calls changed whenever the file at path has other content than
// before, and at each signal. It looks at the file every interval, as a file
// may be replaced without a signal, and ends with the context. A file that
// can't be read is reported as an error.
func Follow[S any](ctx context.Context, path string, every time.Duration, signals <-chan S, changed func(raw []byte, err error)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	// What can't be read now is read at the next look.
	last, _ := os.ReadFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(path)
		if !signalled && (err != nil || bytes.Equal(raw, last)) {
			continue
		}
		last = raw
		changed(raw, err)
	}
}
