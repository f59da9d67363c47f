package test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

const (
	coldPerSecond = 3.0
	coldFor       = 5 * time.Second
)

// Guards against ending a cold runner with more than it bears, and against shunning it.
func TestColdRunnerGetsWhatItBears(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Plain, l.Work = 2, 20*time.Millisecond })
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	if err := f.Configure(ctx, 2, standin.WithColdRate(coldPerSecond)); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the configuration is in force", func() bool {
		return bytes.Contains(f.Daemons[0].Log(), []byte(`"configuration_version":2`))
	})
	var background sync.WaitGroup
	loads := []*steadyLoad{f.offers(ctx, &background, testfleet.Repeatable), f.offers(ctx, &background, testfleet.Once)}
	f.Layout.ColdFor, f.Layout.ColdPerSecond = coldFor, coldPerSecond
	began := time.Now()
	cold, err := f.AddRunner(ctx, standin.PlainService)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(began.Add(coldFor)))
	if runs := len(runsAt(cold, began, time.Now())); float64(runs) < coldPerSecond*coldFor.Seconds()/3 {
		t.Errorf("%d requests in %v, it takes %v a second", runs, coldFor, coldPerSecond)
	}
	procs.Until(t, "it gets its usual share", func() bool {
		now := time.Now()
		return len(runsAt(cold, now.Add(-time.Second), now)) > 15
	})
	if !cold.Running() {
		t.Errorf("%s has ended:\n%s", cold.ID, cold.Log())
	}
	f.tells("3 requests a second from all daemons together while it is cold", "why", "endpoint", cold.ID)
	stop()
	background.Wait()
	for _, l := range loads {
		if l.lost.Load()+l.refused.Load() > 0 {
			t.Errorf("%d served, %d refused, %d neither", l.served.Load(), l.refused.Load(), l.lost.Load())
		}
	}
}
