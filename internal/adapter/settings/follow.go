package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Follow calls changed when the content of the file at path changes, and at
// each signal, until the context ends. It polls the file at the given interval,
// because a file may be replaced without a signal. An error of reading the file
// is passed to changed only after a signal; polling ignores it.
func Follow[S any](ctx context.Context, path string, interval time.Duration, signals <-chan S, changed func(raw []byte, err error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// On an error last is empty, so the next successful poll reports the content.
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
