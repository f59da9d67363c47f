package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

type workCommand struct {
	BinDir  string `long:"bin" default:"bin" description:"directory of the binaries"`
	Total   int    `long:"total" default:"40000" description:"total tokens for each answer length, in at most 2000 requests"`
	Streams int    `long:"streams" default:"16" description:"requests open at once"`
	Tokens  []int  `long:"tokens" default:"1" default:"20" default:"100" default:"400" description:"tokens of each answer; can be repeated"`
}

const maxRequests = 2000

// point is the measurement of one answer length: x is the number of tokens and
// y the processor time per request in microseconds.
type point struct{ x, y float64 }

// Execute measures the router's processor time for answers of several lengths
// and fits the cost per request and per token.
func (c *workCommand) Execute([]string) error {
	return withSystem(c.BinDir, oneFastEngine("2ms"), c.measure)
}

// oneFastEngine returns a layout change to one daemon of each kind and an
// engine whose step time doesn't depend on its load. The engine's limits are too
// high to refuse a request, because a refused request would lower the measured
// cost.
func oneFastEngine(step string) func(*procs.Layout) {
	return func(l *procs.Layout) {
		l.Runners, l.Routers, l.Keepers = 1, 1, 1
		l.EngineArgs = []string{"--step-base", step, "--step-per-job", "1ns", "--prefill-per-token", "1ns", "--max-batch", "20000", "--max-waiting", "20000", "--blocks", "200000000"}
	}
}

func (c *workCommand) measure(ctx context.Context, s *procs.System) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("tokens of an answer", "requests", "router's time for each request, us")
	var points []point
	for _, tokens := range c.Tokens {
		p, err := c.measureSize(ctx, s, table, tokens)
		if err != nil {
			return err
		}
		points = append(points, p)
	}
	if err := table.Render(); err != nil {
		return err
	}
	base, slope := fit(points)
	fmt.Printf("fitted: %.0f us for each request and %.1f us for each token, of one core\n", base, slope)
	return nil
}

func (c *workCommand) measureSize(ctx context.Context, s *procs.System, table *tablewriter.Table, tokens int) (point, error) {
	requests := min(maxRequests, max(1, c.Total/tokens))
	path := pathCommand{Tokens: tokens}
	client := s.Caller(procs.DemoOrganisation)
	results := newLatencies()
	before, err := processorTime(s.Routers[0].PID())
	if err != nil {
		return point{}, err
	}
	var wait sync.WaitGroup
	for range c.Streams {
		wait.Go(func() {
			for range requests / c.Streams {
				path.routed(ctx, client, s.Routers[0], results)
			}
		})
	}
	wait.Wait()
	after, err := processorTime(s.Routers[0].PID())
	if err != nil {
		return point{}, err
	}
	if results.failed > 0 {
		return point{}, fmt.Errorf("%d of %d requests failed; the cost per request is only valid without failures", results.failed, requests)
	}
	done := requests / c.Streams * c.Streams
	each := float64((after - before).Microseconds()) / float64(done)
	return point{x: float64(tokens), y: each}, table.Append(
		strconv.Itoa(tokens), strconv.Itoa(done), fmt.Sprintf("%.0f", each))
}

// fit returns the least-squares line through the points.
func fit(points []point) (base, slope float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return (sy - slope*sx) / n, slope
}
