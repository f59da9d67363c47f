package fakes

import (
	"slices"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Decisions is a port.DecisionSink that keeps every decision in memory.
type Decisions struct {
	mu  sync.Mutex
	all []port.DecisionRecord
}

// Record implements port.DecisionSink.
func (d *Decisions) Record(r *port.DecisionRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, *r)
}

// All returns the decisions in the order in which they were recorded.
func (d *Decisions) All() []port.DecisionRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.all)
}

// Verdicts returns the verdict of each decision, in the same order as All.
func (d *Decisions) Verdicts() []string {
	var out []string
	for _, r := range d.All() {
		out = append(out, r.Verdict)
	}
	return out
}
