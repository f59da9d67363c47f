package main

import (
	"fmt"
	"os"
	"time"

	"github.com/olekukonko/tablewriter"
)

// segmentOverhead is the size in bytes of the IP and TCP headers of a segment,
// with TCP timestamps. Each segment also causes an ACK of this size.
const segmentOverhead = 52

type bytesCommand struct {
	// Daemons holds the number of daemons of each run. One in Share is a keeper.
	Daemons []int     `long:"daemons" default:"12" default:"24" default:"48" default:"96" default:"192"`
	Share   int       `long:"keeper-share" default:"6" description:"one daemon in this many is a keeper"`
	Rates   []float64 `long:"rate" default:"0" default:"0.2" default:"10" description:"changes per second"`
	Seconds int       `long:"seconds" default:"20"`
}

// traffic holds the total bytes and segments of a daemon.
type traffic struct{ bytes, segments int64 }

func (m *meter) total() traffic {
	return traffic{bytes: m.sent.Load() + m.received.Load(), segments: m.segments.Load()}
}

// Execute measures the control traffic of each fleet size at each rate of
// changes.
func (c *bytesCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("daemons", "keepers", "changes/s", "router B/s", "worst router", "keeper B/s", "worst keeper", "router B/s with headers", "keeper B/s with headers")
	for _, n := range c.Daemons {
		keepers := max(2, n/c.Share)
		f, err := startFleet(keepers, n-keepers)
		if err != nil {
			return err
		}
		// The traffic of the start is not measured.
		time.Sleep(5 * time.Second)
		for _, rate := range c.Rates {
			if err := table.Append(c.measure(f, n, rate)); err != nil {
				return err
			}
		}
		f.stop()
	}
	return table.Render()
}

func (c *bytesCommand) measure(f *fleet, n int, rate float64) []string {
	var routers, keepers []*meter
	for _, r := range f.routers {
		routers = append(routers, &r.meter)
	}
	for _, k := range f.keepers {
		keepers = append(keepers, &k.meter)
	}
	beforeRouters, beforeKeepers := readAll(routers), readAll(keepers)
	changes := f.load(rate, time.Duration(c.Seconds)*time.Second)
	r := c.summarise(routers, beforeRouters)
	k := c.summarise(keepers, beforeKeepers)
	return []string{
		fmt.Sprint(n), fmt.Sprint(len(keepers)), fmt.Sprintf("%.2f", float64(changes)/float64(c.Seconds)),
		r.mean, r.worst, k.mean, k.worst, r.withHeaders, k.withHeaders,
	}
}

func readAll(ms []*meter) []traffic {
	out := make([]traffic, len(ms))
	for i, m := range ms {
		out[i] = m.total()
	}
	return out
}

type summary struct{ mean, worst, withHeaders string }

func (c *bytesCommand) summarise(ms []*meter, before []traffic) summary {
	var total, worst, headers float64
	for i, m := range ms {
		now := m.total()
		rate := float64(now.bytes-before[i].bytes) / float64(c.Seconds)
		total += rate
		worst = max(worst, rate)
		// Each sent segment has an ACK. The number of received segments, which
		// the peers sent, is about the same.
		headers += 2 * 2 * segmentOverhead * float64(now.segments-before[i].segments) / float64(c.Seconds)
	}
	n := float64(len(ms))
	return summary{
		mean: fmt.Sprintf("%.0f", total/n), worst: fmt.Sprintf("%.0f", worst),
		withHeaders: fmt.Sprintf("%.0f", (total+headers)/n),
	}
}
