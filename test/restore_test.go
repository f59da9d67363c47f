package test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// runnersInForce returns the ids of the runners that the daemon lists as live,
// separated by spaces.
func (f *fleetTest) runnersInForce(d *testfleet.Daemon) string {
	f.t.Helper()
	header := http.Header{"Authorization": {"Bearer " + procs.AdminToken}}
	reply, err := procs.Call(testContext(f.t), http.MethodGet, d.AdminURL()+"/admin/v1/endpoints", header, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var all struct {
		Endpoints []struct {
			ID    string `json:"id"`
			State string `json:"state"`
		} `json:"endpoints"`
	}
	if err := reply.Decode(&all); err != nil {
		f.t.Fatal(err)
	}
	var live []string
	for _, e := range all.Endpoints {
		if e.State == "live" {
			live = append(live, e.ID)
		}
	}
	return strings.Join(live, " ")
}

// Restores the store of the platform from a copy, which loses the later writes:
// the notice of a runner that leaves and a configuration version. Only one
// daemon watches the store, and another restarts while the store is
// unavailable. No daemon that kept running may send work to the leaving runner.
// All must keep the newer version in force, serve requests and report the new
// era.
func TestStoreRestoredFromCopy(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) {
		l.Settings = map[string]any{"watchers": 1}
		l.Notice = 20 * time.Second
	})
	ctx := testContext(t)
	if err := f.CopyStore(ctx); err != nil {
		t.Fatal(err)
	}
	leaving := f.Runners()[0]
	if err := leaving.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := f.Configure(ctx, 7, func(c standin.Fields) {
		routes, _ := c["routes"].([]any)
		c["routes"] = append(routes, standin.Route("/new/", "safe", standin.PlainService, 2))
	}); err != nil {
		t.Fatal(err)
	}
	newRoute := func(d *testfleet.Daemon) bool {
		r := f.request(testfleet.Repeatable, 0)
		r.Path = "/new/x"
		return f.caller.Ask(ctx, d.Callers, r).Whole(r)
	}
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" no longer lists the leaving runner as live", func() bool { return !strings.Contains(f.runnersInForce(d)+" ", leaving.ID+" ") })
		procs.Until(t, d.ID+" serves the new route", func() bool { return newRoute(d) })
	}
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{Busy: true}); err != nil {
		t.Fatal(err)
	}
	if err := f.RestoreStore(ctx); err != nil {
		t.Fatal(err)
	}
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		t.Fatal(err)
	}
	restarted := f.Daemons[2]
	restarted.Kill()
	if err := f.StartDaemon(restarted); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" reports the new era", func() bool {
			out, err := f.Ctl(ctx, d, "--output", "json", "in-force")
			return err == nil && strings.Contains(string(out), `"store_era": 1`)
		})
		f.waitServing(d)
		procs.Until(t, d.ID+" serves the new route", func() bool { return newRoute(d) })
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, d := range f.Daemons {
			if live := f.runnersInForce(d); d != restarted && strings.Contains(live+" ", leaving.ID+" ") {
				t.Fatalf("%s lists the leaving runner as live: %s", d.ID, live)
			}
			if !newRoute(d) {
				t.Fatalf("%s no longer serves the new route", d.ID)
			}
		}
	}
	began := 0
	for _, d := range f.Daemons {
		if strings.Contains(string(d.Log()), `"event":"store_era_began"`) {
			began++
		}
	}
	if began != len(f.Daemons) {
		t.Fatal(fmt.Sprint(began, " daemons logged the start of the era"))
	}
}
