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
	Runners []int         `long:"runners" default:"30" default:"100" default:"300" default:"1000" default:"3000" description:"runners, a tenth of a plain service; can be repeated"`
	Rate    float64       `long:"rate" default:"10" description:"requests a second for each daemon, half of them streams"`
	Events  int           `long:"events" default:"25" description:"events of a stream"`
	Changes float64       `long:"changes" default:"0" description:"runners replaced a second, in the whole fleet"`
	Watch   time.Duration `long:"for" default:"10s" description:"how long each size is watched"`
	Restart bool          `long:"restart" description:"start all daemons again at once first, and count from there"`
	Profile string        `long:"profile" description:"file for a processor profile of the first daemon, which is a seed of the others"`
}

// entryEvery is the time of one event of a stream.
const entryEvery = 20 * time.Millisecond

// Execute measures what entry daemons spend, over the number of runners.
func (c *entryCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("runners", "served", "of", "least, % of a core", "most, % of a core", "most MiB at peak", "most written, KB/s")
	for _, runners := range c.Runners {
		if err := c.size(table, runners); err != nil {
			return fmt.Errorf("%d runners: %w", runners, err)
		}
	}
	return table.Render()
}

func (c *entryCommand) size(table *tablewriter.Table, runners int) error {
	ctx, cancel := interruptible()
	defer cancel()
	dir, err := os.MkdirTemp("", "dragonflyrail-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	l := testfleet.SmallLayout(c.BinDir, ".", dir)
	l.Daemons, l.Engines, l.Plain, l.Lapse = c.Daemons, 0, 0, time.Hour
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
		return c.startAgain(ctx, e, table, runners)
	}
	time.Sleep(settle)
	return c.watch(ctx, e, table, runners)
}

// startAgain kills all daemons and shows what their common start costs each.
func (c *entryCommand) startAgain(ctx context.Context, e *entryFleet, table *tablewriter.Table, runners int) error {
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
	fmt.Fprintf(os.Stderr, "all daemons know all after %.2f s, if less than %v\n", time.Since(began).Seconds(), c.Watch)
	time.Sleep(c.Watch - time.Since(began))
	after, err := useOf(e.f.Daemons)
	if err != nil {
		return err
	}
	return c.row(table, e, runners, make([]entryUse, len(after)), after)
}

// membersPoll is the pause between two looks at a daemon's members.
const membersPoll = 50 * time.Millisecond

// waitForMembers waits until the daemon holds so many members, or the context
// ends.
func waitForMembers(ctx context.Context, d *testfleet.Daemon, members int) {
	want := fmt.Sprintf(`"members_held":{"value":%d}`, members)
	for ctx.Err() == nil {
		if strings.Contains(metricsOf(ctx, d), want) {
			return
		}
		time.Sleep(membersPoll)
	}
}

// metricsOf is empty while the daemon doesn't answer.
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
	time.Sleep(settle)
	e.asked.Store(0)
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
	return c.row(table, e, runners, before, after)
}

func (c *entryCommand) row(table *tablewriter.Table, e *entryFleet, runners int, before, after []entryUse) error {
	least, most, memory, written := 100.0, 0.0, 0.0, 0.0
	for i := range after {
		percent := 100 * (after[i].spent - before[i].spent).Seconds() / c.Watch.Seconds()
		least, most = min(least, percent), max(most, percent)
		memory = max(memory, mib(after[i].peak))
		written = max(written, float64(after[i].written-before[i].written)/1000/c.Watch.Seconds())
	}
	return table.Append(strconv.Itoa(runners), fmt.Sprint(e.served.Load()), fmt.Sprint(e.asked.Load()),
		fmt.Sprintf("%.1f", least), fmt.Sprintf("%.1f", most), fmt.Sprintf("%.1f", memory), fmt.Sprintf("%.1f", written))
}

func (c *entryCommand) profile(ctx context.Context, d *testfleet.Daemon) {
	for !d.Ready(ctx) && ctx.Err() == nil {
		time.Sleep(membersPoll)
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

// entryUse is what one daemon has spent so far.
type entryUse struct {
	spent time.Duration
	// peak is its largest resident memory so far.
	peak int64
	// written counts all that it wrote: to callers, endpoints, peers, its log.
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

// entryFleet is a fleet with runners in this process.
type entryFleet struct {
	f             *testfleet.Fleet
	asked, served atomic.Int64

	mu      sync.Mutex
	runners []*httptest.Server
	ids     []string
	made    int
}

// add starts and registers a runner; each tenth is of the plain service.
func (e *entryFleet) add(ctx context.Context) error {
	e.mu.Lock()
	e.made++
	n := e.made
	e.mu.Unlock()
	r := &standin.Runner{ID: fmt.Sprint("runner-", n), CacheTokens: standin.CacheTokens}
	service := standin.PlainService
	if n%10 != 0 {
		service, r.EventEvery = standin.EngineService, entryEvery
	}
	server := httptest.NewServer(r)
	e.mu.Lock()
	e.runners = append(e.runners, server)
	e.ids = append(e.ids, r.ID)
	e.mu.Unlock()
	return e.f.Register(ctx, r.ID, service, strings.TrimPrefix(server.URL, "http://"), n)
}

// replace removes the oldest runner and adds one, so many times a second.
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

// call asks one daemon at a steady rate, whatever becomes of the requests.
func (e *entryFleet) call(ctx context.Context, d *testfleet.Daemon, of int, c *entryCommand) {
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
		r := &testfleet.Request{ID: fmt.Sprintf("m%d-%d", of, n), Kind: testfleet.Once}
		if n%2 == 0 {
			r.Kind, r.Events = testfleet.Generation, c.Events
		}
		open.Go(func() {
			e.asked.Add(1)
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
