package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// countingScheduler counts the endpoints passed to ChangeEndpoints.
type countingScheduler struct {
	Scheduler
	received int
}

func (c *countingScheduler) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	c.received += len(es)
	c.Scheduler.ChangeEndpoints(now, es)
}

// Guards against passing all endpoints to the scheduler at each change. In a
// fleet of thousands of runners some leave and join each second, and the daemon
// would have no time left for its callers.
func TestSchedulerReceivesOnlyChangedEndpoints(t *testing.T) {
	const runners, changes = 1000, 100
	b := newHarness(t)
	c := &countingScheduler{Scheduler: b.Scheduler}
	b.Scheduler = c
	b.view.mu.Lock()
	for i := range runners {
		b.view.endpoints = append(b.view.endpoints, testEndpoint(fmt.Sprint("more", i), "engines", port.KindRunner))
	}
	b.view.mu.Unlock()
	b.apply()
	for i := range changes {
		b.setLeaving(fmt.Sprint("more", i))
	}
	if c.received != runners+changes {
		t.Fatalf("the scheduler received %d endpoints, want %d initially and %d changes", c.received, runners, changes)
	}
	if !b.IsInState("more0", port.EndpointLeaving) || !b.IsInState("more100", port.EndpointLive) {
		t.Fatal("the changes were not applied")
	}
}

// orderChecker records the runners that the endpoint table already holds when
// the scheduler receives them.
type orderChecker struct {
	Scheduler
	knows      func(id string, state port.EndpointState) bool
	knownEarly []string
}

func (e *orderChecker) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	for i := range es {
		if e.knows(es[i].ID, es[i].State) {
			e.knownEarly = append(e.knownEarly, es[i].ID)
		}
	}
	e.Scheduler.ChangeEndpoints(now, es)
}

// Guards against refusing the first request to a new runner: it must not be in
// the endpoint table before the scheduler has it, or that request is refused
// although the runner is free.
func TestRunnerReachesSchedulerBeforeEndpointTable(t *testing.T) {
	b := newHarness(t)
	e := &orderChecker{Scheduler: b.Scheduler, knows: b.IsInState}
	b.Scheduler = e
	b.view.mu.Lock()
	b.view.endpoints = append(b.view.endpoints, testEndpoint("late", "engines", port.KindRunner))
	b.view.mu.Unlock()
	b.apply()
	if !b.IsInState("late", port.EndpointLive) || len(e.knownEarly) > 0 {
		t.Fatalf("in the endpoint table before the scheduler had them: %v", e.knownEarly)
	}
}
