package fakes

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Runner is a fake runner that carries out orders. A model load stays in progress
// until Fleet.Finish.
type Runner struct {
	Endpoint port.Endpoint
	State    port.RunnerState
	// AppliedFences contains the fencing number of each order, in the order in which they
	// were applied.
	AppliedFences []uint64
	// InPlace makes a load of another version remove the old version when the load
	// starts.
	InPlace bool
}

// Fleet is a set of fake runners. It implements port.Orderer.
type Fleet struct {
	mu      sync.Mutex
	Runners map[string]*Runner
	// Fault, if not nil, is called before an order is applied. If it returns an
	// error, the order fails with it and is not applied.
	Fault func(e port.Endpoint, o port.Order) error
	// OrderCalls counts the calls of Order, also those that failed.
	OrderCalls int
	// StateReads counts the calls of State.
	StateReads int
}

// NewFleet returns a fleet without runners.
func NewFleet() *Fleet { return &Fleet{Runners: map[string]*Runner{}} }

// Add adds a live runner on which version 1 of each model is ready. The first
// character of the id becomes its failure domain.
func (f *Fleet) Add(id string, fences bool, models ...string) {
	r := &Runner{Endpoint: port.Endpoint{
		ID: id, Kind: port.KindRunner, State: port.EndpointLive, FailureDomain: id[:1], Incarnation: 1, FencesOrders: fences,
	}}
	r.State = port.RunnerState{EndpointID: id, Incarnation: 1, State: port.EndpointLive, Role: "serve"}
	for _, m := range models {
		r.State.Models = append(r.State.Models, port.ModelVersion{Model: m, Version: "1"})
	}
	f.Runners[id] = r
}

// Endpoints returns the runners, sorted by id, as the platform's host list shows
// them.
func (f *Fleet) Endpoints() []port.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []port.Endpoint
	for _, r := range f.Runners {
		e := r.Endpoint
		for _, m := range r.State.Models {
			e.Models = append(e.Models, m.Model)
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b port.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// State returns a copy of a runner's state.
func (f *Fleet) State(_ context.Context, e port.Endpoint) (port.RunnerState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.StateReads++
	s := f.Runners[e.ID].State
	s.Models, s.Loading = slices.Clone(s.Models), slices.Clone(s.Loading)
	return s, nil
}

// Order counts the order and applies it, unless Fault returns an error.
func (f *Fleet) Order(_ context.Context, e port.Endpoint, o port.Order) error {
	f.mu.Lock()
	fault := f.Fault
	f.OrderCalls++
	f.mu.Unlock()
	if fault != nil {
		if err := fault(e, o); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyOrder(e.ID, o)
}

// Deliver applies an order directly, without counting it or calling Fault. It
// simulates an order that arrives late.
func (f *Fleet) Deliver(id string, o port.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applyOrder(id, o)
}

func (f *Fleet) applyOrder(id string, o port.Order) error {
	r := f.Runners[id]
	if r.Endpoint.FencesOrders && o.Fence < r.State.LastFence {
		return port.ErrStaleFence
	}
	r.State.LastFence = max(r.State.LastFence, o.Fence)
	r.AppliedFences = append(r.AppliedFences, o.Fence)
	switch o.Kind {
	case port.OrderLoadModel:
		if r.InPlace {
			r.removeModel(o.Model)
		}
		r.State.Loading = append(r.State.Loading, port.ModelVersion{Model: o.Model, Version: o.Version})
	case port.OrderUnloadModel:
		r.removeModel(o.Model)
	case port.OrderSetRole:
		r.State.Role = o.Role
	}
	return nil
}

func (r *Runner) removeModel(model string) {
	r.State.Models = slices.DeleteFunc(r.State.Models, func(m port.ModelVersion) bool { return m.Model == model })
}

// FinishLoads completes all model loads in progress.
func (f *Fleet) FinishLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.Runners {
		for _, m := range r.State.Loading {
			r.removeModel(m.Model)
			r.State.Models = append(r.State.Models, m)
		}
		r.State.Loading = nil
	}
}

// Loading returns the number of model loads in progress.
func (f *Fleet) Loading() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.Runners {
		n += len(r.State.Loading)
	}
	return n
}

// Serving returns the number of runners on which the model is ready in any
// version, and the number on which it is ready in the given version.
func (f *Fleet) Serving(model, version string) (total, matching int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.Runners {
		for _, m := range r.State.Models {
			if m.Model == model {
				total++
				if m.Version == version {
					matching++
				}
			}
		}
	}
	return total, matching
}
