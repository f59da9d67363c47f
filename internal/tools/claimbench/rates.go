package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type ratesCommand struct {
	Rates    []float64     `long:"rate" default:"1" default:"10" default:"100" default:"1000" description:"claims per second over all routers"`
	For      time.Duration `long:"for" default:"15s" description:"duration of the measurement at each rate"`
	Warm     time.Duration `long:"warm" default:"1s" description:"warm-up time before the measurement"`
	Keepers  int           `long:"keepers" default:"2"`
	Routers  int           `long:"routers" default:"6"`
	Shards   int           `long:"shards" default:"16"`
	SlowMs   int           `long:"platform-ms" default:"3" description:"reply time of the platform in milliseconds"`
	Writes   float64       `long:"writes-per-second" default:"100" description:"rate limit of the writes of all keepers together"`
	Platform float64       `long:"platform-writes" default:"400" description:"the platform's rate limit of writes"`
}

// Execute measures each rate on a new system.
func (c *ratesCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("claims/s", "claims", "refused", "writes", "writes/claim", "conflicts", "reads",
		"unclaimed call p50 ms", "claimed call p50 ms", "ratio p50", "added p50 ms", "added p95 ms", "added p99 ms")
	for _, r := range c.Rates {
		row, err := c.measure(r)
		if err != nil {
			return err
		}
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}

// sample holds the measurements of one rate. Times are in microseconds.
type sample struct {
	mu        sync.Mutex
	unclaimed *hdrhistogram.Histogram
	claimed   *hdrhistogram.Histogram
	added     *hdrhistogram.Histogram
	granted   atomic.Int64
	refused   atomic.Int64
	measuring atomic.Bool
}

const maxMicros = 60_000_000

func newSample() *sample {
	return &sample{
		unclaimed: hdrhistogram.New(1, maxMicros, 3), claimed: hdrhistogram.New(1, maxMicros, 3),
		added: hdrhistogram.New(1, maxMicros, 3),
	}
}

func (s *sample) record(h *hdrhistogram.Histogram, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Longer times are recorded as maxMicros.
	_ = h.RecordValue(min(d.Microseconds(), maxMicros))
}

func (c *ratesCommand) measure(rate float64) ([]any, error) {
	sys, err := newSystem(c)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	s := newSample()
	c.drive(sys, s, rate, c.Warm)
	before, err := sys.stats()
	if err != nil {
		return nil, err
	}
	s.measuring.Store(true)
	c.drive(sys, s, rate, c.For)
	after, err := sys.stats()
	if err != nil {
		return nil, err
	}
	claims := s.granted.Load()
	writes := after.Writes - before.Writes
	unclaimed, claimed := s.unclaimed.ValueAtQuantile(50), s.claimed.ValueAtQuantile(50)
	return []any{
		rate, claims, s.refused.Load(), writes, fmt.Sprintf("%.3f", float64(writes)/float64(max(claims, 1))),
		after.Conflicts - before.Conflicts, after.Reads - before.Reads,
		millis(unclaimed), millis(claimed), fmt.Sprintf("%.1f", float64(claimed)/float64(max(unclaimed, 1))),
		millis(s.added.ValueAtQuantile(50)), millis(s.added.ValueAtQuantile(95)), millis(s.added.ValueAtQuantile(99)),
	}, nil
}

func millis(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

// drive starts pairs of an unclaimed and a claimed call at a constant rate and
// waits for all of them.
func (c *ratesCommand) drive(sys *system, s *sample, rate float64, d time.Duration) {
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	end := time.After(d)
	for n := 0; ; n++ {
		select {
		case <-end:
			wait.Wait()
			// Outcomes are written with a delay, and these writes count too.
			time.Sleep(3 * time.Second)
			return
		case <-ticker.C:
			wait.Go(func() { sys.callPair(s, n) })
		}
	}
}

// callPair makes an unclaimed and then a claimed call to the service and records
// their times.
func (sys *system) callPair(s *sample, n int) {
	client := sys.clients[n%len(sys.clients)]
	start := time.Now()
	sys.callService()
	unclaimed := time.Since(start)
	e := port.ClaimEntry{
		KeyHash: claim.KeyHash(uuid.New()), AttemptID: uuid.NewString(),
		RequestID: fmt.Sprintf("router-%d.%s", n%len(sys.clients), uuid.NewString()),
	}
	start = time.Now()
	verdict, _, _ := client.Claim(context.Background(), e)
	added := time.Since(start)
	if verdict != port.ClaimGranted {
		if s.measuring.Load() {
			s.refused.Add(1)
		}
		return
	}
	sys.callService()
	claimed := time.Since(start)
	client.Settle(port.ClaimState{
		KeyHash: e.KeyHash, RequestID: e.RequestID, AttemptID: e.AttemptID, Outcome: port.ClaimDone, StatusCode: http.StatusOK,
	})
	if !s.measuring.Load() {
		return
	}
	s.granted.Add(1)
	s.record(s.unclaimed, unclaimed)
	s.record(s.claimed, claimed)
	s.record(s.added, added)
}
