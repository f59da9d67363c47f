package jsonlog

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// blockedWriter blocks every write until the channel free is closed.
type blockedWriter struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// Guards against a daemon that blocks or runs out of memory because nobody
// reads its standard output. Logging must not wait and the queue must stay
// bounded; once the output is read again, a line reports how many were dropped.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	registry := gometrics.NewRegistry()
	out := &blockedWriter{free: make(chan struct{})}
	b := NewBounded(out, "d", "e", "info", 1<<30, registry)
	const lines = 3 * queueLines
	for range lines {
		b.Info().Str("event", "x").Msg("")
	}
	dropped := gometrics.GetOrRegisterCounter("log_lines_dropped_total", registry).Count()
	if dropped < lines-queueLines-batchBytes/20 {
		t.Fatalf("only %d of %d lines dropped, so more lines are held than the queue and one batch", dropped, lines)
	}
	close(out.free)
	eventually.True(t, "a line reports the dropped lines", func() bool {
		b.Info().Str("event", "x").Msg("")
		return strings.Contains(out.text(), `"event":"log_lines_dropped"`)
	})
	b.Close(20 * time.Second)
	for line := range strings.Lines(out.text()) {
		if !json.Valid([]byte(line)) {
			t.Fatalf("the line is not valid JSON: %q", line)
		}
	}
}

// Guards against a flood of requests that causes a flood of log lines: lines
// over the rate are dropped, but a warning among them is not.
func TestLogRateIsLimited(t *testing.T) {
	const rate = 10_000
	var out bytes.Buffer
	b := NewBounded(&out, "d", "e", "info", rate, gometrics.NewRegistry())
	for range 10_000 {
		b.Info().Str("event", "x").Msg("")
	}
	b.Warn().Str("event", "lost_something").Msg("")
	b.Close(20 * time.Second)
	if n := out.Len(); n < rate || n > 2*burstSeconds*rate {
		t.Fatalf("%d bytes written, want about %d", n, burstSeconds*rate)
	}
	if !strings.Contains(out.String(), "lost_something") {
		t.Fatal("the warning was dropped")
	}
}

// Logging during or after Close must not panic.
func TestLoggingDuringClose(t *testing.T) {
	b := NewBounded(io.Discard, "d", "e", "info", 1<<30, gometrics.NewRegistry())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				b.Info().Str("event", "x").Msg("")
			}
		})
	}
	b.Close(20 * time.Second)
	wg.Wait()
}

func TestLogDecisionOmitsEmptyFields(t *testing.T) {
	var out bytes.Buffer
	age := int64(7)
	LogDecision(New(&out, "d", "e", "info"), &port.DecisionRecord{
		ID: "e.d.1", Subject: "request", SubjectID: "r", Verdict: "place", Reason: "best_score", Endpoint: "i",
		PlatformAgeMillis: &age,
	})
	for _, want := range []string{`"endpoint":"i"`, `"platform_age_ms":7`, `"subject_id":"r"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, out.String())
		}
	}
	for _, empty := range []string{"organisation", "candidates", "fence", "delivered", "coordinator"} {
		if strings.Contains(out.String(), empty) {
			t.Errorf("the empty field %s is in %s", empty, out.String())
		}
	}
}
