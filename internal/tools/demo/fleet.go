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

// fleetEvents is the length of the generations that outlive their runner.
const fleetEvents = 400

// fleet shows entry daemons on the users' platform: a runner leaves with
// generations on it, a daemon stops, the store falls silent.
func (s *show) fleet(ctx context.Context, binDir, dir string) error {
	if err := os.Mkdir(dir, 0o755); err != nil {
		return err
	}
	f, err := testfleet.Launch(ctx, testfleet.SmallLayout(binDir, ".", dir))
	if err != nil {
		return err
	}
	defer f.Kill()
	s.note("entry daemons on the users' platform", fmt.Sprintf("%d, %d runners", len(f.Daemons), len(f.Runners())), true)
	c := f.NewCaller()
	defer c.Close()
	s.outlive(ctx, f, c)
	s.storeAway(ctx, f, c)
	s.stopDaemon(ctx, f, c)
	s.whyAttempt(ctx, f)
	return nil
}

// outlive streams from every daemon while a runner is told to leave.
func (s *show) outlive(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	var wait sync.WaitGroup
	begun := make(chan struct{})
	var once sync.Once
	const streams = 6
	whole := make([]bool, streams)
	for i := range streams {
		r := &testfleet.Request{
			ID: fmt.Sprint("report-", i), Kind: testfleet.Generation, Events: fleetEvents,
			OnEvent: func(n int) {
				if n == fleetEvents/10 {
					once.Do(func() { close(begun) })
				}
			},
		}
		wait.Go(func() { whole[i] = c.Ask(ctx, f.Daemons[i%len(f.Daemons)].Callers, r).Whole(r) })
	}
	select {
	case <-begun:
	case <-ctx.Done():
	}
	err := f.Runners()[0].Terminate()
	wait.Wait()
	n := 0
	for _, w := range whole {
		if w {
			n++
		}
	}
	s.note("generations while a runner leaves", fmt.Sprintf("%d of %d whole", n, streams), err == nil && n == streams)
}

// storeAway calls a daemon while the store doesn't answer.
func (s *show) storeAway(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	err := f.SetStoreFaults(ctx, standin.StoreFaults{Silent: true})
	r := &testfleet.Request{ID: "call-1", Kind: testfleet.Once}
	a := c.Ask(ctx, f.Daemons[1].Callers, r)
	s.note("call while the store is silent", fmt.Sprintf("status %d", a.Status), err == nil && a.Whole(r))
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		s.note("the store is back", err.Error(), false)
	}
}

// stopDaemon stops a daemon that streams.
func (s *show) stopDaemon(ctx context.Context, f *testfleet.Fleet, c *testfleet.Caller) {
	d := f.Daemons[2]
	r := &testfleet.Request{ID: "report-last", Kind: testfleet.Generation, Events: fleetEvents / 2}
	var stopped error
	r.OnEvent = func(n int) {
		if n == 1 {
			stopped = d.Terminate()
		}
	}
	a := c.Ask(ctx, d.Callers, r)
	s.note("generation of a daemon that is stopped", fmt.Sprintf("%d bytes", len(a.Body)), stopped == nil && a.Whole(r))
}

// whyAttempt asks why at a daemon that did not serve the request.
func (s *show) whyAttempt(ctx context.Context, f *testfleet.Fleet) {
	out, err := f.Ctl(ctx, f.Daemons[0], "why", "request", "report-1")
	seen := fmt.Sprintf("%d lines", strings.Count(string(out), "\n"))
	if err != nil {
		seen = err.Error()
	}
	s.note("why, for a generation there", seen, err == nil && strings.Contains(string(out), "runner-"))
}
