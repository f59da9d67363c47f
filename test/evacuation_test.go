package test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/faultproxy"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// evacuatedWithin is the maximum time from the acknowledgement of an evacuation
// by the store to the last request that reaches a runner in the domain.
const evacuatedWithin = 3 * time.Second

// Guards against requests of any kind that reach a failure domain after its
// evacuation.
func TestEvacuatedDomainReceivesNoRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kind testfleet.Kind
	}{{"repeatable", testfleet.Repeatable}, {"once", testfleet.Once}, {"generation", testfleet.Generation}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, nil)
			ctx, stop := context.WithCancel(testContext(t))
			defer stop()
			var background sync.WaitGroup
			load := f.startLoad(ctx, &background, c.kind)
			time.Sleep(time.Second)
			f.evacuate(f.Layout.Domains[0])
			from := time.Now().Add(evacuatedWithin)
			time.Sleep(evacuatedWithin + 3*time.Second)
			f.checkNoRequests(f.Layout.Domains[0], from, time.Now())
			f.endEvacuation(f.Layout.Domains[0])
			f.waitUsed(f.Layout.Domains[0])
			stop()
			background.Wait()
			if load.failed.Load() > 0 || load.served.Load() == 0 {
				t.Errorf("%d served, %d refused, %d neither", load.served.Load(), load.refused.Load(), load.failed.Load())
			}
		})
	}
}

// Guards against daemons that lose or miss an evacuation while daemons or the
// store fail.
func TestEvacuationPersistsThroughFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons = 4 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	f.startLoad(ctx, &background, testfleet.Repeatable)
	domain := f.Layout.Domains[1]
	// One daemon has no connection to the store, so it must learn of the
	// evacuation from its peers.
	f.Daemons[0].StoreProxy.Set(faultproxy.Faults{Refuse: true})
	f.Daemons[0].StoreProxy.Reset()
	f.evacuate(domain)
	from := time.Now().Add(evacuatedWithin)
	time.Sleep(evacuatedWithin)
	// The store becomes unavailable, and daemons restart without having read
	// it.
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{Busy: true}); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons[1:3] {
		d.Kill()
		if err := f.StartDaemon(d); err != nil {
			t.Fatal(err)
		}
		f.waitServing(d)
	}
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		t.Fatal(err)
	}
	f.Daemons[0].StoreProxy.Set(faultproxy.Faults{})
	// All daemons are killed, so only the store still has the evacuation.
	f.restartDaemons()
	time.Sleep(time.Second)
	f.checkNoRequests(domain, from, time.Now())
	f.endEvacuation(domain)
	f.waitUsed(domain)
	stop()
	background.Wait()
}

// Guards against failures of the commands that start, list, explain and end an
// evacuation.
func TestOperatorEvacuatesDomain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	f.startLoad(ctx, &background, testfleet.Repeatable)
	domain := f.Layout.Domains[0]
	if _, err := f.Ctl(ctx, f.Daemons[0], "evacuate", domain, "--reason", "power work"); err != nil {
		t.Fatal(err)
	}
	from := time.Now().Add(evacuatedWithin)
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" lists the evacuation", func() bool {
			out, err := f.Ctl(ctx, d, "evacuations")
			return err == nil && strings.Contains(string(out), "power work") && strings.Contains(string(out), "testfleet")
		})
	}
	time.Sleep(evacuatedWithin + time.Second)
	f.checkNoRequests(domain, from, time.Now())
	f.checkCtlOutput("power work", "why", "failure-domain", domain)
	if _, err := f.Ctl(ctx, f.Daemons[1], "use-again", domain); err != nil {
		t.Fatal(err)
	}
	f.waitUsed(domain)
	stop()
	background.Wait()
}

// Guards against requests that wait, rather than being refused at once, while
// every failure domain is evacuated.
func TestRequestsAreRefusedWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	for _, domain := range f.Layout.Domains {
		f.evacuate(domain)
	}
	time.Sleep(evacuatedWithin)
	for _, kind := range []testfleet.Kind{testfleet.Repeatable, testfleet.Once, testfleet.Generation} {
		a := f.caller.Ask(testContext(t), f.Daemons[0].Callers, f.request(kind, 3))
		if !a.NotRun || a.RetryAfter <= 0 || a.Took > refusedWithin {
			t.Errorf("%v: status %d after %v, Retry-After %v, %v", kind, a.Status, a.Took, a.RetryAfter, a.Err)
		}
	}
	for _, domain := range f.Layout.Domains {
		f.endEvacuation(domain)
	}
	for _, d := range f.Daemons {
		f.waitServing(d)
	}
}

// evacuate writes an evacuation of the domain to the store of the platform.
func (f *fleetTest) evacuate(domain string) {
	f.t.Helper()
	client := standin.StoreClient{Address: f.StoreAddress}
	if err := client.Put(testContext(f.t), standin.KindEvacuations, domain, standin.Fields{}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleetTest) endEvacuation(domain string) {
	f.t.Helper()
	client := standin.StoreClient{Address: f.StoreAddress}
	if err := client.Delete(testContext(f.t), standin.KindEvacuations, domain); err != nil {
		f.t.Fatal(err)
	}
}

// checkNoRequests checks that no request ran in the domain between from and to,
// and that some ran in other domains.
func (f *fleetTest) checkNoRequests(domain string, from, to time.Time) {
	f.t.Helper()
	otherRuns := 0
	for _, r := range f.Runners() {
		runs := runTimes(r, from, to)
		if r.FailureDomain != domain {
			otherRuns += len(runs)
			continue
		}
		if len(runs) > 0 {
			f.t.Errorf("%s of evacuated domain %s got %d requests, the last %v after the time limit", r.ID, domain, len(runs), slices.MaxFunc(runs, time.Time.Compare).Sub(from))
		}
	}
	if otherRuns == 0 {
		f.t.Errorf("no request ran in the other domains")
	}
}

// waitUsed waits until a runner of the domain receives a request.
func (f *fleetTest) waitUsed(domain string) {
	f.t.Helper()
	from := time.Now()
	procs.Until(f.t, domain+" is used again", func() bool {
		return slices.ContainsFunc(f.Runners(), func(r *testfleet.Runner) bool {
			return r.FailureDomain == domain && len(runTimes(r, from, time.Now())) > 0
		})
	})
}
