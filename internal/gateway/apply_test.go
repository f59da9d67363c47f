package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// counting counts the endpoints that the scheduler is handed.
type counting struct {
	Scheduler
	handed int
}

func (c *counting) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	c.handed += len(es)
	c.Scheduler.ChangeEndpoints(now, es)
}

// In a fleet of thousands of runners some leave and come each second. A daemon
// that takes in all of them at each change is busy with nothing else, and its
// callers wait for it.
func TestAChangeCostsWhatChanged(t *testing.T) {
	const runners, changes = 1000, 100
	b := newBench(t)
	c := &counting{Scheduler: b.Scheduler}
	b.Scheduler = c
	b.view.mu.Lock()
	for i := range runners {
		b.view.endpoints = append(b.view.endpoints, testEndpoint(fmt.Sprint("more", i), "engines", port.KindRunner))
	}
	b.view.mu.Unlock()
	b.apply()
	for i := range changes {
		b.leave(fmt.Sprint("more", i))
	}
	if c.handed != runners+changes {
		t.Fatalf("handed %d endpoints, want %d at first and %d changes", c.handed, runners, changes)
	}
	if !b.Knows("more0", port.EndpointLeaving) || !b.Knows("more100", port.EndpointLive) {
		t.Fatal("the changes were not taken in")
	}
}

// early reports runners that are known to callers before the scheduler has them.
type early struct {
	Scheduler
	knows func(id string, state port.EndpointState) bool
	found []string
}

func (e *early) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	for i := range es {
		if e.knows(es[i].ID, es[i].State) {
			e.found = append(e.found, es[i].ID)
		}
	}
	e.Scheduler.ChangeEndpoints(now, es)
}

// A runner has just come and its first request is there at once. If the daemon
// calls it known before its scheduler has it, that request is refused although
// the runner is free.
func TestRunnerIsKnownOnceItCanBePlacedAt(t *testing.T) {
	b := newBench(t)
	e := &early{Scheduler: b.Scheduler, knows: b.Knows}
	b.Scheduler = e
	b.view.mu.Lock()
	b.view.endpoints = append(b.view.endpoints, testEndpoint("late", "engines", port.KindRunner))
	b.view.mu.Unlock()
	b.apply()
	if !b.Knows("late", port.EndpointLive) || len(e.found) > 0 {
		t.Fatalf("known before the scheduler had them: %v", e.found)
	}
}
