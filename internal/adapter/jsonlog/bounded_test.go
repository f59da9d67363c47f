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

// stuck is an output that nobody reads until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// Nobody reads the daemon's standard output any more. Every request logs two
// lines; none waits for them, the memory they take stays bounded, and once the
// output is read again a line says how many are missing.
func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	registry := gometrics.NewRegistry()
	out := &stuck{free: make(chan struct{})}
	b := NewBounded(out, "d", "e", "info", 1<<30, registry)
	const lines = 3 * queueLines
	for range lines {
		b.Info().Str("event", "x").Msg("")
	}
	dropped := gometrics.GetOrRegisterCounter("log_lines_dropped_total", registry).Count()
	if dropped < lines-queueLines-batchBytes/20 {
		t.Fatalf("%d of %d lines dropped, so more than the queue is held", dropped, lines)
	}
	close(out.free)
	eventually.True(t, "a line says that lines are missing", func() bool {
		b.Info().Str("event", "x").Msg("")
		return strings.Contains(out.text(), `"event":"log_lines_dropped"`)
	})
	b.Close(20 * time.Second)
	for line := range strings.Lines(out.text()) {
		if !json.Valid([]byte(line)) {
			t.Fatalf("a torn line: %q", line)
		}
	}
}

// A flood of requests must not become a flood of lines: what is over the rate
// is dropped, but a warning among it is not.
func TestVolumeIsBounded(t *testing.T) {
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
		t.Fatal("the warning was dropped with the rest")
	}
}

// Lines that are logged while the daemon ends, or after it, do no harm.
func TestLogsWhileClosing(t *testing.T) {
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

func TestDecisionLeavesOutWhatItDoesntSay(t *testing.T) {
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
			t.Errorf("%s says nothing and is in %s", empty, out.String())
		}
	}
}
