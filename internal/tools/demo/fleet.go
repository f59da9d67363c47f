package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// fleetEvents is the number of events of a generation that is still streaming
// when its runner leaves.
const fleetEvents = 400

// runFleet demonstrates entry daemons on the users' platform: a runner leaves
// during generations, the store stops answering, and a daemon stops during a
// generation.
func (s *show) runFleet(ctx context.Context, binDir, dir string) error {
	if err := os.Mkdir(dir, 0o755); err != nil {
		return err
	}
	f, err := testfleet.Launch(ctx, testfleet.SmallLayout(binDir, ".", dir))
	if err != nil {
		return err
	}
	defer f.Kill()
	s.addRow("entry daemons on the users' platform", fmt.Sprintf("%d, %d runners", len(f.Daemons), len(f.Runners())), true)
	c := f.NewCaller()
	defer c.Close()
	s.streamDuringLeave(ctx, f, c)
	s.callDuringStoreOutage(ctx, f, c)
	s.streamDuringStop(ctx, f, c)
	s.explainRemotely(ctx, f)
	return nil
}

// streamDuringLeave streams from every daemon while a runner is terminated.
func (s *show) streamDuringLeave(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	var wait sync.WaitGroup
	started := make(chan struct{})
	var once sync.Once
	const streams = 6
	complete := make([]bool, streams)
	for i := range streams {
		r := &testfleet.Request{
			ID: fmt.Sprint("report-", i), Kind: testfleet.Generation, Events: fleetEvents,
			OnEvent: func(n int) {
				if n == fleetEvents/10 {
					once.Do(func() { close(started) })
				}
			},
		}
		wait.Go(func() { complete[i] = c.Ask(ctx, f.Daemons[i%len(f.Daemons)].Callers, r).Whole(r) })
	}
	select {
	case <-started:
	case <-ctx.Done():
	}
	err := f.Runners()[0].Terminate()
	wait.Wait()
	n := 0
	for _, w := range complete {
		if w {
			n++
		}
	}
	s.addRow("generations while a runner leaves", fmt.Sprintf("%d of %d whole", n, streams), err == nil && n == streams)
}

// callDuringStoreOutage calls a daemon while the store doesn't answer.
func (s *show) callDuringStoreOutage(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	err := f.SetStoreFaults(ctx, standin.StoreFaults{Silent: true})
	r := &testfleet.Request{ID: "call-1", Kind: testfleet.Once}
	a := c.Ask(ctx, f.Daemons[1].Callers, r)
	s.addRow("call while the store is silent", fmt.Sprintf("status %d", a.Status), err == nil && a.Whole(r))
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		s.addRow("the store is back", err.Error(), false)
	}
}

// streamDuringStop terminates a daemon while it streams a generation.
func (s *show) streamDuringStop(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	d := f.Daemons[2]
	r := &testfleet.Request{ID: "report-last", Kind: testfleet.Generation, Events: fleetEvents / 2}
	var stopped error
	r.OnEvent = func(n int) {
		if n == 1 {
			stopped = d.Terminate()
		}
	}
	a := c.Ask(ctx, d.Callers, r)
	s.addRow("generation of a daemon that is stopped", fmt.Sprintf("%d bytes", len(a.Body)), stopped == nil && a.Whole(r))
}

// explainRemotely runs "dragonflyctl why" at a daemon for a request that another
// daemon served.
func (s *show) explainRemotely(ctx context.Context, f *testfleet.Fleet) {
	out, err := f.Ctl(ctx, f.Daemons[0], "why", "request", "report-1")
	seen := fmt.Sprintf("%d lines", strings.Count(string(out), "\n"))
	if err != nil {
		seen = err.Error()
	}
	s.addRow("why, for a generation there", seen, err == nil && strings.Contains(string(out), "runner-"))
}
