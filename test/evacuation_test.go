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

// evacuatedWithin bounds the time from the store's acknowledgement of an
// evacuation to the last request that reaches a runner there.
const evacuatedWithin = 3 * time.Second

// Guards against requests that reach a failure domain after its evacuation, by any way of sending.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kind testfleet.Kind
	}{{"repeatable", testfleet.Repeatable}, {"once", testfleet.Once}, {"generation", testfleet.Generation}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, nil)
			ctx, stop := context.WithCancel(bounded(t))
			defer stop()
			var background sync.WaitGroup
			load := f.offers(ctx, &background, c.kind)
			time.Sleep(time.Second)
			f.evacuate(f.Layout.Domains[0])
			from := time.Now().Add(evacuatedWithin)
			time.Sleep(evacuatedWithin + 3*time.Second)
			f.gotNothing(f.Layout.Domains[0], from, time.Now())
			f.useAgain(f.Layout.Domains[0])
			f.isUsed(f.Layout.Domains[0])
			stop()
			background.Wait()
			if load.lost.Load() > 0 || load.served.Load() == 0 {
				t.Errorf("%d served, %d refused, %d neither", load.served.Load(), load.refused.Load(), load.lost.Load())
			}
		})
	}
}

// Guards against daemons that forget an evacuation, or never hear of it, through their own and the store's faults.
func TestEvacuationIsKeptThroughFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons = 4 })
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	var background sync.WaitGroup
	f.offers(ctx, &background, testfleet.Repeatable)
	domain := f.Layout.Domains[1]
	// One daemon is cut off from the store: it hears from its peers.
	f.Daemons[0].Store.Set(faultproxy.Harm{Refuse: true})
	f.Daemons[0].Store.Reset()
	f.evacuate(domain)
	from := time.Now().Add(evacuatedWithin)
	time.Sleep(evacuatedWithin)
	// The store goes away, and daemons start that have never read it.
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{Busy: true}); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons[1:3] {
		d.Kill()
		if err := f.StartDaemon(d); err != nil {
			t.Fatal(err)
		}
		f.serves(d)
	}
	if err := f.SetStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		t.Fatal(err)
	}
	f.Daemons[0].Store.Set(faultproxy.Harm{})
	// All daemons are lost: only the store knows.
	for _, d := range f.Daemons {
		d.Kill()
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range f.Daemons {
		f.serves(d)
	}
	time.Sleep(time.Second)
	f.gotNothing(domain, from, time.Now())
	f.useAgain(domain)
	f.isUsed(domain)
	stop()
	background.Wait()
}

// Guards against an evacuation that operators can't give, see, explain or take back.
func TestOperatorsEvacuateADomain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	var background sync.WaitGroup
	f.offers(ctx, &background, testfleet.Repeatable)
	domain := f.Layout.Domains[0]
	if _, err := f.Ctl(ctx, f.Daemons[0], "evacuate", domain, "--reason", "power work"); err != nil {
		t.Fatal(err)
	}
	from := time.Now().Add(evacuatedWithin)
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" lists it", func() bool {
			out, err := f.Ctl(ctx, d, "evacuations")
			return err == nil && strings.Contains(string(out), "power work") && strings.Contains(string(out), "testfleet")
		})
	}
	time.Sleep(evacuatedWithin + time.Second)
	f.gotNothing(domain, from, time.Now())
	f.tells("power work", "why", "failure-domain", domain)
	if _, err := f.Ctl(ctx, f.Daemons[1], "use-again", domain); err != nil {
		t.Fatal(err)
	}
	f.isUsed(domain)
	stop()
	background.Wait()
}

// Guards against callers that wait where every failure domain is evacuated.
func TestCallersAreRefusedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	for _, domain := range f.Layout.Domains {
		f.evacuate(domain)
	}
	time.Sleep(evacuatedWithin)
	for _, kind := range []testfleet.Kind{testfleet.Repeatable, testfleet.Once, testfleet.Generation} {
		a := f.caller.Ask(bounded(t), f.Daemons[0].Callers, f.request(kind, 3))
		if !a.NotRun || a.RetryAfter <= 0 || a.Took > refusedWithin {
			t.Errorf("%v: %d after %v, Retry-After %v, %v", kind, a.Status, a.Took, a.RetryAfter, a.Err)
		}
	}
	for _, domain := range f.Layout.Domains {
		f.useAgain(domain)
	}
	for _, d := range f.Daemons {
		f.serves(d)
	}
}

// evacuate writes the platform's order.
func (f *fleetTest) evacuate(domain string) {
	f.t.Helper()
	client := standin.StoreClient{Address: f.Address}
	if err := client.Put(bounded(f.t), standin.KindEvacuations, domain, standin.Fields{}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleetTest) useAgain(domain string) {
	f.t.Helper()
	client := standin.StoreClient{Address: f.Address}
	if err := client.Delete(bounded(f.t), standin.KindEvacuations, domain); err != nil {
		f.t.Fatal(err)
	}
}

// gotNothing checks that no request reached the domain's runners in a time, and
// that others ran meanwhile.
func (f *fleetTest) gotNothing(domain string, from, to time.Time) {
	f.t.Helper()
	elsewhere := 0
	for _, r := range f.Runners() {
		runs := runsAt(r, from, to)
		if r.FailureDomain != domain {
			elsewhere += len(runs)
			continue
		}
		if len(runs) > 0 {
			f.t.Errorf("%s of %s got %d requests, the last %v after the bound", r.ID, domain, len(runs), slices.MaxFunc(runs, time.Time.Compare).Sub(from))
		}
	}
	if elsewhere == 0 {
		f.t.Errorf("nothing ran elsewhere")
	}
}

// isUsed waits until a runner of the domain gets requests.
func (f *fleetTest) isUsed(domain string) {
	f.t.Helper()
	from := time.Now()
	procs.Until(f.t, domain+" is used again", func() bool {
		return slices.ContainsFunc(f.Runners(), func(r *testfleet.Runner) bool {
			return r.FailureDomain == domain && len(runsAt(r, from, time.Now())) > 0
		})
	})
}
