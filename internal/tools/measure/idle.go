package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

type idleCommand struct {
	BinDir  string        `long:"bin" default:"bin" description:"directory of the binaries"`
	Keepers int           `long:"keepers" default:"3" description:"keepers of the system"`
	Watch   time.Duration `long:"for" default:"20s" description:"duration of the measurement of each size"`
	Routers []int         `long:"routers" default:"2" default:"6" default:"12" default:"24" default:"48" description:"routers of the system; can be repeated"`
}

// Execute measures the processor time and memory of daemons while no caller
// sends requests.
func (c *idleCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("routers", "keepers", "router, % of a core", "keeper, % of a core", "router MiB", "keeper MiB")
	for _, routers := range c.Routers {
		err := withSystem(c.BinDir, func(l *procs.Layout) {
			l.Routers, l.Keepers = routers, c.Keepers
		}, func(_ context.Context, s *procs.System) error {
			return c.measureSize(s, table)
		})
		if err != nil {
			return err
		}
	}
	return table.Render()
}

func (c *idleCommand) measureSize(s *procs.System, table *tablewriter.Table) error {
	time.Sleep(settleTime)
	r, err := measureUse(s.Routers, c.Watch)
	if err != nil {
		return err
	}
	k, err := measureUse(s.Keepers, c.Watch)
	if err != nil {
		return err
	}
	return table.Append(strconv.Itoa(len(s.Routers)), strconv.Itoa(len(s.Keepers)), fmt.Sprintf("%.3f", r.percent),
		fmt.Sprintf("%.3f", k.percent), fmt.Sprintf("%.1f", r.mib), fmt.Sprintf("%.1f", k.mib))
}

// daemonUse is the mean use of several daemons: percent of a core and MiB of
// resident memory.
type daemonUse struct{ percent, mib float64 }

func measureUse(daemons []*procs.Daemon, watch time.Duration) (daemonUse, error) {
	before, _, err := totalUse(daemons)
	if err != nil {
		return daemonUse{}, err
	}
	time.Sleep(watch)
	after, resident, err := totalUse(daemons)
	if err != nil {
		return daemonUse{}, err
	}
	n := float64(len(daemons))
	return daemonUse{
		percent: 100 * (after - before).Seconds() / watch.Seconds() / n,
		mib:     mib(resident) / n,
	}, nil
}

func totalUse(daemons []*procs.Daemon) (spent time.Duration, resident int64, err error) {
	for _, d := range daemons {
		t, err := processorTime(d.PID())
		if err != nil {
			return 0, 0, err
		}
		bytes, err := residentBytes(d.PID())
		if err != nil {
			return 0, 0, err
		}
		spent += t
		resident += bytes
	}
	return spent, resident, nil
}
