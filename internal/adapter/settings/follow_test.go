package settings

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Follow must report a replaced settings file with or without a signal, and a
// signal even if the file is unchanged. A file that is briefly missing is
// reported only after a signal.
func TestFollowReportsChangesAndSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan struct{})
	reported := make(chan string)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, path, time.Millisecond, signals, func(raw []byte, err error) {
			if err != nil {
				reported <- "error"
				return
			}
			reported <- string(raw)
		})
	}()
	signals <- struct{}{}
	if got := <-reported; got != "a" {
		t.Fatalf("after a signal: %q", got)
	}
	write("b")
	for got := range reported {
		// The file may be read while it is being written.
		if got == "b" {
			break
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signals <- struct{}{}
	if got := <-reported; got != "error" {
		t.Fatalf("after a signal without a file: %q", got)
	}
	cancel()
	<-done
}
