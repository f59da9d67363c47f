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
	coldDuration  = 5 * time.Second
)

// Guards against overloading a cold runner until it ends, and against sending
// it too few requests.
func TestColdRunnerReceivesLimitedRate(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Plain, l.CallDuration = 2, 20*time.Millisecond })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	if err := f.Configure(ctx, 2, standin.WithColdRate(coldPerSecond)); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the configuration is in force", func() bool {
		return bytes.Contains(f.Daemons[0].Log(), []byte(`"configuration_version":2`))
	})
	var background sync.WaitGroup
	loads := []*steadyLoad{f.startLoad(ctx, &background, testfleet.Repeatable), f.startLoad(ctx, &background, testfleet.Once)}
	f.Layout.ColdFor, f.Layout.ColdPerSecond = coldDuration, coldPerSecond
	began := time.Now()
	cold, err := f.AddRunner(ctx, standin.PlainService)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(began.Add(coldDuration)))
	if runs := len(runTimes(cold, began, time.Now())); float64(runs) < coldPerSecond*coldDuration.Seconds()/3 {
		t.Errorf("cold runner received %d requests in %v, its limit is %v per second", runs, coldDuration, coldPerSecond)
	}
	procs.Until(t, "the runner gets its usual share", func() bool {
		now := time.Now()
		return len(runTimes(cold, now.Add(-time.Second), now)) > 15
	})
	if !cold.Running() {
		t.Errorf("cold runner %s has ended:\n%s", cold.ID, cold.Log())
	}
	f.checkCtlOutput("3 requests a second from all daemons together while it is cold", "why", "endpoint", cold.ID)
	stop()
	background.Wait()
	for _, l := range loads {
		if l.failed.Load()+l.refused.Load() > 0 {
			t.Errorf("%d served, %d refused, %d neither", l.served.Load(), l.refused.Load(), l.failed.Load())
		}
	}
}
