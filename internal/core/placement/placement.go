// Package placement decides which runners load which models. From the model
// deployments in force and the actual state of the runners it derives the next step
// of each runner. It is level-triggered: it depends on the current state and not on
// earlier orders, so that another daemon can take over at any time.
package placement

import (
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Runner is the known state of one runner.
type Runner struct {
	Endpoint port.Endpoint
	// State is the state reported by the runner; valid if Known. Otherwise only
	// the models of the endpoint are known, without their versions.
	State port.RunnerState
	Known bool
}

// readyVersion returns the version of a model that is ready on the runner, without
// a version number if the state of the runner is not known.
func (r *Runner) readyVersion(model string) (port.ModelVersion, bool) {
	if !r.Known {
		return port.ModelVersion{Model: model}, slices.Contains(r.Endpoint.Models, model)
	}
	return findModel(r.State.Models, model)
}

// Serves reports whether the model is ready on the runner and the runner accepts
// requests.
func (r *Runner) Serves(model string) bool {
	_, ready := r.readyVersion(model)
	return ready && r.live()
}

func (r *Runner) loadingVersion(model string) (port.ModelVersion, bool) {
	if !r.Known {
		return port.ModelVersion{}, false
	}
	return findModel(r.State.Loading, model)
}

func (r *Runner) live() bool {
	if r.Known && r.State.State != "" && r.State.State != port.EndpointLive {
		return false
	}
	return r.Endpoint.State == port.EndpointLive
}

func (r *Runner) modelCount() int {
	if !r.Known {
		return len(r.Endpoint.Models)
	}
	return len(r.State.Models) + len(r.State.Loading)
}

func findModel(models []port.ModelVersion, model string) (port.ModelVersion, bool) {
	i := slices.IndexFunc(models, func(m port.ModelVersion) bool { return m.Model == model })
	if i < 0 {
		return port.ModelVersion{}, false
	}
	return models[i], true
}

// Disruption is a model that a step makes unavailable on its runner, temporarily or
// permanently.
type Disruption struct {
	Model string
	// MinReady is the number of other runners that must have the model ready.
	MinReady int
}

// Step is the next order for one runner, without its id and fencing number.
type Step struct {
	Endpoint port.Endpoint
	Order    port.Order
	// ReadsWeights: the step reads from the weight store.
	ReadsWeights bool
	Disrupts     []Disruption
	// Deployment and ConfigurationVersion are the name and the version of the
	// deployment record.
	Deployment           string
	ConfigurationVersion uint64
	Reason               string
}

// Shortfall is a deployment that can't be fulfilled as configured.
type Shortfall struct {
	Deployment           string
	Model                string
	ConfigurationVersion uint64
	Reason               string
}

// Plan contains the next steps of the runners, and the deployments that can't be
// fulfilled.
type Plan struct {
	Steps      []Step
	Shortfalls []Shortfall
}

// Make plans at most one step per runner. Models without a deployment stay loaded,
// so that a daemon with an incomplete set of records never unloads them. To remove
// a model, set its replicas to zero before deleting the record.
func Make(deployments []record.Deployment, runners []Runner) Plan {
	p := &planner{runners: runners, minReady: map[string]int{}, taken: map[string]bool{}}
	for i := range runners {
		// A runner with a load in progress gets no step, as a second load would
		// run under the same permit.
		if r := &runners[i]; r.Known && len(r.State.Loading) > 0 {
			p.taken[r.Endpoint.ID] = true
		}
	}
	current := p.newestPerModel(deployments)
	for i := range current {
		p.minReady[current[i].Model] = minReadyOthers(&current[i])
	}
	var unloads []Step
	for i := range current {
		unloads = append(unloads, p.planDeployment(&current[i])...)
	}
	// Unloads are added last: a runner with something to load does that first.
	for _, s := range unloads {
		p.addStep(s)
	}
	return p.plan
}

// minReadyOthers is the number of other runners that must serve a model while a step
// disrupts it on one of its runners. It is at least one, unless the deployment has
// zero replicas.
func minReadyOthers(d *record.Deployment) int {
	replicas := *d.Placement.Replicas
	if replicas == 0 {
		return 0
	}
	return max(1, replicas-*d.Rollout.MaxUnavailable)
}
