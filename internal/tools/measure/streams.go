package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const (
	openTimeout = 2 * time.Minute
	// settleTime is the pause before a measurement, in which buffers from the
	// preparation are freed.
	settleTime = 5 * time.Second
	// maxOpening bounds the streams that wait for their first token at once.
	maxOpening = 64
	// streamTokens is the answer length of a stream, long enough to keep it open
	// until the end of the measurement.
	streamTokens = 100_000
)

type streamsCommand struct {
	BinDir string `long:"bin" default:"bin" description:"directory of the binaries"`
	Counts []int  `long:"open" default:"100" default:"1000" default:"5000" description:"streams to hold open; can be repeated"`
}

// Execute opens an increasing number of streams and measures the router's
// resident memory at each count.
func (c *streamsCommand) Execute([]string) error {
	return withSystem(c.BinDir, func(l *procs.Layout) {
		l.Runners, l.Routers, l.Keepers = 1, 1, 1
		// One engine serves all streams, with two tokens per second on each.
		l.EngineArgs = []string{
			"--step-base", "500ms", "--step-per-job", "1ns", "--prefill-per-token", "1ns",
			"--max-batch", "20000", "--max-waiting", "20000", "--blocks", "200000000",
		}
	}, c.measure)
}

func (c *streamsCommand) measure(ctx context.Context, s *procs.System) error {
	router := s.Routers[0]
	idle, err := residentBytes(router.PID())
	if err != nil {
		return err
	}
	fmt.Printf("idle router: %.1f MiB resident\n", mib(idle))
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("open streams", "resident MiB", "KiB for each stream", "refused")
	streaming, stop := context.WithCancel(ctx)
	defer stop()
	o := &opener{system: s, client: s.Caller(procs.DemoOrganisation), slots: make(chan struct{}, maxOpening)}
	for _, count := range c.Counts {
		if err := o.open(streaming, count); err != nil {
			return err
		}
		time.Sleep(settleTime)
		now, err := residentBytes(router.PID())
		if err != nil {
			return err
		}
		each := float64(now-idle) / 1024 / float64(count)
		err = table.Append(strconv.Itoa(count), fmt.Sprintf("%.1f", mib(now)), fmt.Sprintf("%.1f", each), fmt.Sprint(o.refused.Load()))
		if err != nil {
			return err
		}
	}
	stop()
	o.wait.Wait()
	return table.Render()
}

// opener opens streams and keeps them open until its context is cancelled.
type opener struct {
	system    *procs.System
	client    *caller.Client
	slots     chan struct{}
	requested int
	opened    atomic.Int64
	refused   atomic.Int64
	wait      sync.WaitGroup
}

// open requests streams until count were requested in total, and waits until
// each has received its first token or was refused.
func (o *opener) open(ctx context.Context, count int) error {
	for ; o.requested < count; o.requested++ {
		n := o.requested
		o.slots <- struct{}{}
		o.wait.Go(func() { o.openOne(ctx, n) })
	}
	deadline := time.Now().Add(openTimeout)
	for o.opened.Load()+o.refused.Load() < int64(count) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d streams opened, %d refused", o.opened.Load(), count, o.refused.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (o *opener) openOne(ctx context.Context, n int) {
	var once sync.Once
	release := func() { once.Do(func() { <-o.slots }) }
	defer release()
	answer, err := o.client.Stream(ctx, []string{o.system.Routers[0].Address}, caller.Completion{
		Model: procs.DemoModel, Prompt: fmt.Sprintf("stream %d %s", n, engine.LengthDirective(streamTokens)),
		OnToken: func(index int, _ string) {
			if index == 0 {
				o.opened.Add(1)
				release()
			}
		},
	})
	if answer != nil && answer.Tokens == 0 {
		o.refused.Add(1)
		if o.refused.Load() <= 3 {
			fmt.Fprintln(os.Stderr, "refused:", err, answer.Problem)
		}
	}
}
