package main

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

// Guards against loads that are announced without a log line, at each reading, or not at all.
func TestLoadIsPublishedAndLogged(t *testing.T) {
	var out bytes.Buffer
	var published []uint32
	registry := gometrics.NewRegistry()
	r := newLoadReporter(144, func(p uint32) { published = append(published, p) }, jsonlog.New(&out, name, "e", "info"), registry)
	start := time.Unix(1_700_000_000, 0)
	used := time.Minute
	for second := range 30 {
		if second >= 1 && second <= 15 {
			used += 144 * time.Millisecond
		}
		r.observe(start.Add(time.Duration(second)*time.Second), used)
	}
	if want := []uint32{25, 50, 75, 100, 75, 50, 25, 0}; !slices.Equal(published, want) {
		t.Errorf("published %v, want %v", published, want)
	}
	lines := strings.Count(out.String(), `"event":"host_load_changed"`)
	if lines != len(published) || !strings.Contains(out.String(), `"from":75,"to":100`) || !strings.Contains(out.String(), `"processor_milli":144`) {
		t.Errorf("log of %d announcements: %s", len(published), out.String())
	}
	if got := gometrics.GetOrRegisterGauge("host_load_announced_percent", registry).Value(); got != 0 {
		t.Errorf("gauge %d without load", got)
	}
}

// Guards against readings that miss processor time of the process, or its part in the kernel.
func TestProcessorTimeGrows(t *testing.T) {
	before, err := processorTime()
	if err != nil {
		t.Fatal(err)
	}
	for {
		after, err := processorTime()
		if err != nil || after < before {
			t.Fatalf("%v after %v, error %v", after, before, err)
		}
		if after > before {
			return
		}
	}
}

func BenchmarkProcessorTime(b *testing.B) {
	for b.Loop() {
		if _, err := processorTime(); err != nil {
			b.Fatal(err)
		}
	}
}
