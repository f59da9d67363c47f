package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

type entryCommand struct {
	BinDir  string        `long:"bin" default:"bin" description:"directory of the binaries"`
	Daemons int           `long:"daemons" default:"3" description:"entry daemons"`
	Runners []int         `long:"runners" default:"30" default:"100" default:"300" default:"1000" default:"3000" description:"number of runners, a tenth of them of the plain service; can be repeated"`
	Rate    float64       `long:"rate" default:"10" description:"requests per second to each daemon, half of them streams"`
	Events  int           `long:"events" default:"25" description:"events of a stream"`
	Changes float64       `long:"changes" default:"0" description:"runners replaced per second in the whole fleet"`
	Watch   time.Duration `long:"for" default:"10s" description:"duration of the measurement of each size"`
	Restart bool          `long:"restart" description:"restart all daemons at once and measure from their start"`
	Profile string        `long:"profile" description:"file for a processor profile of the first daemon, which is a seed of the others; with --restart, of the last one"`
}

// eventInterval is the time between two events of a stream.
const eventInterval = 20 * time.Millisecond

// Execute measures the processor time, memory and written bytes of entry
// daemons for several numbers of runners.
func (c *entryCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("runners", "served", "of", "least, % of a core", "most, % of a core", "most MiB at peak", "most written, KB/s")
	for _, runners := range c.Runners {
		if err := c.measureSize(table, runners); err != nil {
			return fmt.Errorf("%d runners: %w", runners, err)
		}
	}
	return table.Render()
}

func (c *entryCommand) measureSize(table *tablewriter.Table, runners int) error {
	ctx, cancel := interruptContext()
	defer cancel()
	dir, err := os.MkdirTemp("", "dragonflyrail-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	l := testfleet.SmallLayout(c.BinDir, ".", dir)
	l.Daemons, l.Engines, l.Plain, l.EntryTTL = c.Daemons, 0, 0, time.Hour
	f, err := testfleet.Launch(ctx, l)
	if err != nil {
		return err
	}
	defer f.Kill()
	e := &entryFleet{f: f}
	defer e.close()
	for range runners {
		if err := e.add(ctx); err != nil {
			return err
		}
	}
	if c.Restart {
		return c.restartDaemons(ctx, e, table, runners)
	}
	time.Sleep(settleTime)
	return c.watch(ctx, e, table, runners)
}

// restartDaemons kills all daemons, starts them at once and adds a table row of
// what each used since its start.
func (c *entryCommand) restartDaemons(ctx context.Context, e *entryFleet, table *tablewriter.Table, runners int) error {
	for _, d := range e.f.Daemons {
		d.Kill()
	}
	for _, d := range e.f.Daemons {
		if err := e.f.StartDaemon(d); err != nil {
			return err
		}
	}
	if c.Profile != "" {
		go c.profile(ctx, e.f.Daemons[len(e.f.Daemons)-1])
	}
	began := time.Now()
	waiting, stop := context.WithTimeout(ctx, c.Watch)
	defer stop()
	for _, d := range e.f.Daemons {
		waitForMembers(waiting, d, len(e.f.Daemons))
	}
	fmt.Fprintf(os.Stderr, "waited %.2f s (limit %v) for each daemon to list all members\n", time.Since(began).Seconds(), c.Watch)
	time.Sleep(c.Watch - time.Since(began))
	after, err := useOf(e.f.Daemons)
	if err != nil {
		return err
	}
	return c.appendRow(table, e, runners, make([]entryUse, len(after)), after)
}

// pollInterval is the interval at which the state of a daemon is polled.
const pollInterval = 50 * time.Millisecond

// waitForMembers waits until the daemon's metrics report the given number of
// members, or the context ends.
func waitForMembers(ctx context.Context, d *testfleet.Daemon, members int) {
	want := fmt.Sprintf(`"members_held":{"value":%d}`, members)
	for ctx.Err() == nil {
		if strings.Contains(metricsOf(ctx, d), want) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// metricsOf returns the daemon's metrics, or an empty string if the request
// fails.
func metricsOf(ctx context.Context, d *testfleet.Daemon) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Metrics+"/metrics", nil)
	if err != nil {
		return ""
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return string(raw)
}

func (c *entryCommand) watch(ctx context.Context, e *entryFleet, table *tablewriter.Table, runners int) error {
	calling, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	for i, d := range e.f.Daemons {
		background.Go(func() { e.call(calling, d, i, c) })
	}
	background.Go(func() { e.replace(calling, c.Changes) })
	if c.Profile != "" {
		background.Go(func() { c.profile(calling, e.f.Daemons[0]) })
	}
	time.Sleep(settleTime)
	e.sent.Store(0)
	e.served.Store(0)
	before, err := useOf(e.f.Daemons)
	if err != nil {
		return err
	}
	time.Sleep(c.Watch)
	after, err := useOf(e.f.Daemons)
	if err != nil {
		return err
	}
	return c.appendRow(table, e, runners, before, after)
}

func (c *entryCommand) appendRow(table *tablewriter.Table, e *entryFleet, runners int, before, after []entryUse) error {
	least, most, memory, written := 100.0, 0.0, 0.0, 0.0
	for i := range after {
		percent := 100 * (after[i].spent - before[i].spent).Seconds() / c.Watch.Seconds()
		least, most = min(least, percent), max(most, percent)
		memory = max(memory, mib(after[i].peak))
		written = max(written, float64(after[i].written-before[i].written)/1000/c.Watch.Seconds())
	}
	return table.Append(strconv.Itoa(runners), fmt.Sprint(e.served.Load()), fmt.Sprint(e.sent.Load()),
		fmt.Sprintf("%.1f", least), fmt.Sprintf("%.1f", most), fmt.Sprintf("%.1f", memory), fmt.Sprintf("%.1f", written))
}

func (c *entryCommand) profile(ctx context.Context, d *testfleet.Daemon) {
	for !d.Ready(ctx) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	header := http.Header{"Authorization": {"Bearer " + procs.AdminToken}}
	seconds := strconv.Itoa(int(c.Watch.Seconds()))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.AdminURL()+"/admin/v1/profile?seconds="+seconds, nil)
	if err == nil {
		r.Header = header
		err = saveBody(r, c.Profile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
	}
}

func saveBody(r *http.Request, path string) error {
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	_, err = io.Copy(out, res.Body)
	return err
}

// entryUse is the resource use of one daemon since its start.
type entryUse struct {
	spent time.Duration
	// peak is the peak resident memory in bytes.
	peak int64
	// written counts all bytes written: to callers, endpoints, peers and the log.
	written int64
}

func useOf(daemons []*testfleet.Daemon) ([]entryUse, error) {
	var all []entryUse
	for _, d := range daemons {
		u := entryUse{}
		var err error
		if u.spent, err = processorTime(d.PID()); err != nil {
			return nil, err
		}
		if u.peak, err = peakBytes(d.PID()); err != nil {
			return nil, err
		}
		if u.written, err = writtenBytes(d.PID()); err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// entryFleet is a fleet of entry daemons whose runners are servers in this
// process.
type entryFleet struct {
	f            *testfleet.Fleet
	sent, served atomic.Int64

	mu      sync.Mutex
	runners []*httptest.Server
	ids     []string
	created int
}

// add starts and registers a runner. Every tenth one is of the plain service.
func (e *entryFleet) add(ctx context.Context) error {
	e.mu.Lock()
	e.created++
	n := e.created
	e.mu.Unlock()
	r := &standin.Runner{ID: fmt.Sprint("runner-", n), CacheTokens: standin.CacheTokens}
	service := standin.PlainService
	if n%10 != 0 {
		service, r.EventEvery = standin.EngineService, eventInterval
	}
	server := httptest.NewServer(r)
	e.mu.Lock()
	e.runners = append(e.runners, server)
	e.ids = append(e.ids, r.ID)
	e.mu.Unlock()
	return e.f.Register(ctx, r.ID, service, strings.TrimPrefix(server.URL, "http://"), n)
}

// replace removes the oldest runner and adds a new one, perSecond times a
// second, until the context ends.
func (e *entryFleet) replace(ctx context.Context, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		oldest := e.ids[0]
		e.ids = e.ids[1:]
		e.mu.Unlock()
		if err := e.f.Unregister(ctx, oldest); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "replace:", err)
		}
		if err := e.add(ctx); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, "replace:", err)
		}
	}
}

// call sends requests to one daemon at a constant rate that does not depend on
// their results.
func (e *entryFleet) call(ctx context.Context, d *testfleet.Daemon, daemon int, c *entryCommand) {
	caller := e.f.NewCaller()
	defer caller.Close()
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r := &testfleet.Request{ID: fmt.Sprintf("m%d-%d", daemon, n), Kind: testfleet.Once}
		if n%2 == 0 {
			r.Kind, r.Events = testfleet.Generation, c.Events
		}
		open.Go(func() {
			e.sent.Add(1)
			if caller.Ask(ctx, d.Callers, r).Whole(r) {
				e.served.Add(1)
			}
		})
	}
}

func (e *entryFleet) close() {
	for _, r := range e.runners {
		r.CloseClientConnections()
		r.Close()
	}
}
