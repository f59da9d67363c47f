package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type leavingCommand struct {
	Endpoints int `long:"endpoints" default:"60" description:"number of endpoints that leave one after the other"`
	Keepers   int `long:"keepers" default:"6"`
	Routers   int `long:"routers" default:"24"`
	Pause     int `long:"pause-ms" default:"170" description:"pause before the next endpoint leaves"`
}

// stubProber answers probes in place of real endpoints.
type stubProber struct {
	mu      sync.Mutex
	leaving map[string]bool
}

// Load implements keeper.EndpointProber.
func (e *stubProber) Load(_ context.Context, p port.Endpoint) (port.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := port.LoadReport{EndpointID: p.ID, Incarnation: 1, State: port.EndpointLive}
	if e.leaving[p.ID] {
		r.State = port.EndpointLeaving
	}
	return r, nil
}

func (e *stubProber) setLeaving(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving[id] = true
}

// Execute measures the time from an endpoint's change to the leaving state until
// every router has that state, with the platform up and down. The platform's
// list still shows the endpoint as live and the routers send it no requests, so
// the state spreads only through the keepers' probes, the slowest way.
func (c *leavingCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("platform", "keepers", "routers", "leaves", "median ms", "p95 ms", "worst ms")
	for _, down := range []bool{false, true} {
		times, err := c.run(down)
		if err != nil {
			return err
		}
		slices.Sort(times)
		at := func(q float64) string { return millis(times[int(q*float64(len(times)-1))]) }
		state := "up"
		if down {
			state = "down"
		}
		if err := table.Append(state, c.Keepers, c.Routers, len(times), at(0.5), at(0.95), at(1)); err != nil {
			return err
		}
	}
	return table.Render()
}

func (c *leavingCommand) run(down bool) ([]time.Duration, error) {
	prober := &stubProber{leaving: map[string]bool{}}
	f, err := startFleetWithProber(c.Keepers, c.Routers, prober)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.listEndpoints(c.Endpoints); err != nil {
		return nil, err
	}
	if down {
		if err := f.setFaults(`{"down":true}`); err != nil {
			return nil, err
		}
	}
	var times []time.Duration
	for i := range c.Endpoints {
		id := endpointID(i)
		began := time.Now()
		prober.setLeaving(id)
		if err := f.waitEndpoints(func(e *port.Endpoint) bool { return e.ID != id || e.State == port.EndpointLeaving }); err != nil {
			return nil, err
		}
		times = append(times, time.Since(began))
		time.Sleep(time.Duration(c.Pause) * time.Millisecond)
	}
	return times, nil
}

func endpointID(i int) string { return fmt.Sprintf("runner-%03d", i) }

// putEndpoints sets the platform's list to n live endpoints.
func (f *fleet) putEndpoints(n int) error {
	lines := make([]string, n)
	for i := range n {
		lines[i] = fmt.Sprintf(`{"id":%q,"kind":"runner","pool":"p","address":"127.0.0.1:1","failure_domain":%q,"incarnation":1,"state":"live"}`, endpointID(i), failureDomainName(i))
	}
	r, err := http.NewRequest(http.MethodPut, f.server.URL+"/standin/hosts", strings.NewReader(`{"endpoints":[`+strings.Join(lines, ",")+`]}`))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// listEndpoints sets the platform's list to n endpoints and waits until every
// router has them.
func (f *fleet) listEndpoints(n int) error {
	if err := f.putEndpoints(n); err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		complete := true
		for _, r := range f.routers {
			complete = complete && len(r.Endpoints()) == n
		}
		if complete {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not all routers had the listed endpoints within %v", startTimeout)
}

// waitEndpoints waits until the condition holds for every endpoint at every
// router.
func (f *fleet) waitEndpoints(holds func(e *port.Endpoint) bool) error {
	timeout := time.After(convergeTimeout)
	for _, r := range f.routers {
		for {
			changed := r.Changed()
			es := r.Endpoints()
			if !slices.ContainsFunc(es, func(e port.Endpoint) bool { return !holds(&e) }) {
				break
			}
			select {
			case <-changed:
			case <-timeout:
				return fmt.Errorf("not every router had the expected endpoint states within %v", convergeTimeout)
			}
		}
	}
	return nil
}
