package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
)

type callsCommand struct {
	Routers []int   `long:"routers" default:"2" default:"6" default:"12" default:"24" default:"48"`
	Keepers int     `long:"keepers" default:"0" description:"number of keepers; 0 for as many as routers"`
	Seconds int     `long:"seconds" default:"20" description:"length of each measurement"`
	Rate    float64 `long:"rate" default:"10" description:"changes per second in the second measurement of each size"`
}

// Execute measures the platform calls of each fleet size, first without changes
// and then with changes at the given rate.
func (c *callsCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("routers", "keepers", "changes/s", "reads/s", "writes/s", "watches/s (in reads)", "waiting watches", "throttled")
	for _, routers := range c.Routers {
		keepers := c.Keepers
		if keepers == 0 {
			keepers = routers
		}
		f, err := startFleet(keepers, routers)
		if err != nil {
			return err
		}
		for _, rate := range []float64{0, c.Rate} {
			before := f.platform.Stats()
			changes := f.load(rate, time.Duration(c.Seconds)*time.Second)
			after := f.platform.Stats()
			if err := table.Append(c.row(routers, keepers, changes, &before, &after)); err != nil {
				return err
			}
		}
		f.stop()
	}
	return table.Render()
}

func (c *callsCommand) row(routers, keepers, changes int, before, after *platform.Stats) []string {
	rate := func(n int64) string { return fmt.Sprintf("%.1f", float64(n)/float64(c.Seconds)) }
	return []string{
		fmt.Sprint(routers), fmt.Sprint(keepers), rate(int64(changes)),
		rate(after.Reads - before.Reads), rate(after.Writes - before.Writes),
		rate(after.Watches - before.Watches), fmt.Sprint(after.WaitingWatches),
		fmt.Sprint(after.Throttled - before.Throttled),
	}
}

// load changes records at the rate for the duration d and returns the number of
// accepted changes.
func (f *fleet) load(rate float64, d time.Duration) int {
	if rate <= 0 {
		time.Sleep(d)
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	if f.writer == nil {
		f.writer = newWriter(64)
	}
	changes := 0
	for {
		select {
		case <-ctx.Done():
			return changes
		case <-ticker.C:
			if _, err := f.writer.change(f.keepers[changes%len(f.keepers)].Keeper); err != nil {
				fmt.Fprintln(os.Stderr, "change:", err)
				continue
			}
			changes++
		}
	}
}
