package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"
	"github.com/tmaxmax/go-sse"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const (
	histogramMax    = 60_000_000
	histogramDigits = 3
)

type pathCommand struct {
	BinDir   string `long:"bin" default:"bin" description:"directory of the binaries"`
	Requests int    `long:"requests" default:"400" description:"requests on each path"`
	Streams  int    `long:"streams" default:"8" description:"requests open at once, half on each path"`
	Tokens   int    `long:"tokens" default:"50" description:"tokens of each answer"`
}

// latencies collects the latencies of one path in microseconds and counts the
// failed requests.
type latencies struct {
	mu          sync.Mutex
	first, gaps *hdrhistogram.Histogram
	failed      int
}

func newLatencies() *latencies {
	return &latencies{
		first: hdrhistogram.New(1, histogramMax, histogramDigits),
		gaps:  hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (t *latencies) add(first time.Duration, gaps []time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recordClamped(t.first, first)
	for _, gap := range gaps {
		recordClamped(t.gaps, gap)
	}
}

func (t *latencies) countFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so recording can't fail.
	_ = h.RecordValue(min(histogramMax, max(1, d.Microseconds())))
}

// Execute measures the direct path and the path through the router in one run.
func (c *pathCommand) Execute([]string) error {
	return withSystem(c.BinDir, oneFastEngine("3ms"), c.measure)
}

func (c *pathCommand) measure(ctx context.Context, s *procs.System) error {
	direct, routed := newLatencies(), newLatencies()
	var wait sync.WaitGroup
	for range c.Streams / 2 {
		wait.Go(func() { c.worker(ctx, s, direct, routed) })
	}
	wait.Wait()
	return c.print(direct, routed)
}

// worker sends requests in pairs, one on each path at the same time, so that
// both paths are measured under the same load of the engine and the host.
func (c *pathCommand) worker(ctx context.Context, s *procs.System, direct, routed *latencies) {
	client := s.Caller(procs.DemoOrganisation)
	for range c.Requests / (c.Streams / 2) {
		var pair sync.WaitGroup
		pair.Go(func() { c.direct(ctx, s.Engines[0], direct) })
		pair.Go(func() { c.routed(ctx, client, s.Routers[0], routed) })
		pair.Wait()
	}
}

func (c *pathCommand) prompt() string {
	return "measure " + uuid.NewString() + " " + engine.LengthDirective(c.Tokens)
}

func (c *pathCommand) routed(ctx context.Context, client *caller.Client, router *procs.Daemon, t *latencies) {
	answer, err := client.Stream(ctx, []string{router.Address}, caller.Completion{Model: procs.DemoModel, Prompt: c.prompt()})
	if err != nil || answer.Problem != nil || answer.Tokens != c.Tokens {
		t.countFailure()
		return
	}
	t.add(answer.FirstToken, answer.Gaps)
}

// engineRequest is the body of a request on the direct path.
type engineRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

func (c *pathCommand) direct(ctx context.Context, e *procs.Daemon, t *latencies) {
	raw, err := json.Marshal(engineRequest{Model: procs.DemoModel, Prompt: c.prompt(), Stream: true})
	if err != nil {
		t.countFailure()
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/completions", bytes.NewReader(raw))
	if err != nil {
		t.countFailure()
		return
	}
	r.Header.Set(engine.HeaderGeneration, uuid.NewString())
	started := time.Now()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.countFailure()
		return
	}
	defer res.Body.Close()
	var first time.Duration
	var gaps []time.Duration
	last := started
	for e, err := range sse.Read(res.Body, nil) {
		if err != nil {
			t.countFailure()
			return
		}
		if strings.Contains(e.Data, "finish_reason") {
			break
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(started)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if len(gaps) != c.Tokens-1 {
		t.countFailure()
		return
	}
	t.add(first, gaps)
}

func (c *pathCommand) print(direct, routed *latencies) error {
	fmt.Printf("%d requests on each path, %d open at once, %d tokens each; failed: direct %d, through the router %d\n",
		direct.first.TotalCount(), c.Streams, c.Tokens, direct.failed, routed.failed)
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("time", "quantile", "direct ms", "through the router ms", "ratio", "added ms")
	for _, q := range []float64{50, 95, 99} {
		if err := appendRow(table, "first token", q, direct.first, routed.first); err != nil {
			return err
		}
	}
	for _, q := range []float64{50, 95, 99} {
		if err := appendRow(table, "gap", q, direct.gaps, routed.gaps); err != nil {
			return err
		}
	}
	return table.Render()
}

func appendRow(table *tablewriter.Table, name string, q float64, direct, routed *hdrhistogram.Histogram) error {
	d := float64(direct.ValueAtQuantile(q)) / 1000
	r := float64(routed.ValueAtQuantile(q)) / 1000
	return table.Append(name, fmt.Sprintf("p%.0f", q), fmt.Sprintf("%.2f", d), fmt.Sprintf("%.2f", r),
		fmt.Sprintf("%.3f", r/max(d, 0.001)), fmt.Sprintf("%.2f", r-d))
}
