package settings

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// An operator replaces the settings file, with a signal or without: the daemon
// hears of either, once, and of a signal also where the file is as it was. A
// file that vanishes for a moment is no change.
func TestFollowHearsOfChangesAndSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a")
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan struct{})
	heard := make(chan string)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, path, time.Millisecond, signals, func(raw []byte, err error) {
			if err != nil {
				heard <- "error"
				return
			}
			heard <- string(raw)
		})
	}()
	signals <- struct{}{}
	if got := <-heard; got != "a" {
		t.Fatalf("after a signal: %q", got)
	}
	write("b")
	for got := range heard {
		// The file may be seen while it is written.
		if got == "b" {
			break
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signals <- struct{}{}
	if got := <-heard; got != "error" {
		t.Fatalf("after a signal without a file: %q", got)
	}
	cancel()
	<-done
}
