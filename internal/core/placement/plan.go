package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type planner struct {
	runners []Runner
	// minReady is the number of other runners that must serve each deployed model
	// while a step disrupts it on one of them.
	minReady map[string]int
	// taken are the runners that have a step or a load in progress.
	taken map[string]bool
	plan  Plan
}

// newestPerModel drops the deployments of a model that a newer record deploys too,
// and reports them as shortfalls.
func (p *planner) newestPerModel(all []record.Deployment) []record.Deployment {
	newest := map[string]record.Deployment{}
	for _, d := range all {
		older, found := newest[d.Model]
		newest[d.Model] = d
		if found {
			p.addShortfall(&older, "the newer record "+d.Name+" deploys the same model")
		}
	}
	var out []record.Deployment
	for _, d := range newest {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b record.Deployment) int { return strings.Compare(a.Model, b.Model) })
	return out
}

func (p *planner) addShortfall(d *record.Deployment, reason string) {
	p.plan.Shortfalls = append(p.plan.Shortfalls, Shortfall{d.Name, d.Model, d.Version, reason})
}

// addStep adds the step to the plan unless its runner has one or is loading a model.
func (p *planner) addStep(s Step) {
	if p.taken[s.Endpoint.ID] {
		return
	}
	p.taken[s.Endpoint.ID] = true
	p.plan.Steps = append(p.plan.Steps, s)
}

// planDeployment plans the steps of the runners chosen for a deployment and returns
// the unload steps of the others.
func (p *planner) planDeployment(d *record.Deployment) []Step {
	ranked := p.rank(d)
	target := p.targetReplicas(d, ranked)
	if len(ranked) < *d.Placement.Replicas {
		p.addShortfall(d, fmt.Sprintf("%d of %d replicas fit on the live runners of its failure domains", len(ranked), *d.Placement.Replicas))
	}
	chosen := map[string]bool{}
	for _, r := range ranked[:min(target, len(ranked))] {
		chosen[r.Endpoint.ID] = true
		p.planRunner(d, r)
	}
	return p.unloadSteps(d, chosen)
}

// targetReplicas is the number of replicas of the deployment, plus one during a
// version change that would otherwise leave fewer runners than must keep serving the
// model.
func (p *planner) targetReplicas(d *record.Deployment, ranked []*Runner) int {
	replicas := *d.Placement.Replicas
	serving, outdated := 0, 0
	for _, r := range ranked {
		m, ready := r.readyVersion(d.Model)
		if !ready {
			continue
		}
		serving++
		if r.Known && m.Version != d.Revision.Version {
			outdated++
		}
	}
	if replicas > 0 && outdated > 0 && serving <= p.minReady[d.Model] {
		return replicas + 1
	}
	return replicas
}

// planRunner plans the next step of a runner chosen for the deployment.
func (p *planner) planRunner(d *record.Deployment, r *Runner) {
	if !r.Known {
		return
	}
	if m, loading := r.loadingVersion(d.Model); loading && m.Version == d.Revision.Version {
		return
	}
	m, ready := r.readyVersion(d.Model)
	switch {
	case !ready:
		p.addStep(p.loadStep(d, r, "a replica is missing"))
	case m.Version != d.Revision.Version:
		s := p.loadStep(d, r, "version "+m.Version+" is replaced by "+d.Revision.Version)
		s.Disrupts = []Disruption{{d.Model, p.minReady[d.Model]}}
		p.addStep(s)
	default:
		p.planAdaptersAndRole(d, r, &m)
	}
}

// planAdaptersAndRole plans the next step of a runner that has the right version: a
// missing adapter, or else a change of role.
func (p *planner) planAdaptersAndRole(d *record.Deployment, r *Runner, m *port.ModelVersion) {
	for _, adapter := range d.Revision.Adapters {
		if slices.Contains(m.Adapters, adapter) {
			continue
		}
		s := p.newStep(d, r, port.OrderLoadAdapter, "adapter "+adapter+" is missing")
		s.Order.Adapter = adapter
		s.ReadsWeights = true
		p.addStep(s)
		return
	}
	role := d.Placement.Role
	if role == "" || r.State.Role == role {
		return
	}
	s := p.newStep(d, r, port.OrderSetRole, "role "+r.State.Role+" is replaced by "+role)
	s.Order.Role = role
	// A change of role may interrupt all models of the runner.
	for _, m := range r.State.Models {
		s.Disrupts = append(s.Disrupts, Disruption{m.Model, max(1, p.minReady[m.Model])})
	}
	p.addStep(s)
}

func (p *planner) loadStep(d *record.Deployment, r *Runner, reason string) Step {
	s := p.newStep(d, r, port.OrderLoadModel, reason)
	s.ReadsWeights = true
	return s
}

func (p *planner) newStep(d *record.Deployment, r *Runner, kind port.OrderKind, reason string) Step {
	return Step{
		Endpoint:   r.Endpoint,
		Order:      port.Order{Kind: kind, Model: d.Model, Version: d.Revision.Version},
		Deployment: d.Name, ConfigurationVersion: d.Version, Reason: reason,
	}
}

// unloadSteps returns the steps that unload the model from runners not chosen for
// it. There are none until all replicas have the right version: until then the
// surplus runners keep serving while the others change.
func (p *planner) unloadSteps(d *record.Deployment, chosen map[string]bool) []Step {
	if p.upToDateCount(d, chosen) < *d.Placement.Replicas {
		return nil
	}
	var out []Step
	for i := range p.runners {
		r := &p.runners[i]
		_, ready := r.readyVersion(d.Model)
		if !r.Known || !r.live() || !ready || chosen[r.Endpoint.ID] {
			continue
		}
		s := p.newStep(d, r, port.OrderUnloadModel, "more replicas than wanted, or not in its failure domains")
		s.Order.Version = ""
		s.Disrupts = []Disruption{{d.Model, *d.Placement.Replicas}}
		out = append(out, s)
	}
	return out
}

func (p *planner) upToDateCount(d *record.Deployment, chosen map[string]bool) int {
	n := 0
	for i := range p.runners {
		if r := &p.runners[i]; chosen[r.Endpoint.ID] && distance(d, r) == 0 {
			n++
		}
	}
	return n
}

// rank returns the runners allowed for the deployment, best first. Runners that have
// the right version of the model come first, then those that are loading it, then
// those that have another version, so that a change moves as few replicas as
// possible. Within a group, runners in the failure domain with the fewest replicas
// come first, then those with the fewest models.
func (p *planner) rank(d *record.Deployment) []*Runner {
	var candidates, out []*Runner
	for i := range p.runners {
		if r := &p.runners[i]; r.live() && inAllowedDomain(d, &r.Endpoint) {
			candidates = append(candidates, r)
		}
	}
	inDomain := map[string]int{}
	for len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b *Runner) int { return compareRunners(d, inDomain, a, b) })
		inDomain[best.Endpoint.FailureDomain]++
		out = append(out, best)
		candidates = slices.DeleteFunc(candidates, func(r *Runner) bool { return r == best })
	}
	return out
}

func inAllowedDomain(d *record.Deployment, e *port.Endpoint) bool {
	domains := d.Placement.FailureDomains
	return len(domains) == 0 || slices.Contains(domains, e.FailureDomain)
}

func compareRunners(d *record.Deployment, inDomain map[string]int, a, b *Runner) int {
	return cmp.Or(
		cmp.Compare(distance(d, a), distance(d, b)),
		cmp.Compare(inDomain[a.Endpoint.FailureDomain], inDomain[b.Endpoint.FailureDomain]),
		cmp.Compare(a.modelCount(), b.modelCount()),
		cmp.Compare(tieBreak(d, a), tieBreak(d, b)),
		strings.Compare(a.Endpoint.ID, b.Endpoint.ID),
	)
}

// distance is a measure of what a runner lacks for the deployment: from 0 for the
// right version to 3 for a runner without the model.
func distance(d *record.Deployment, r *Runner) int {
	m, ready := r.readyVersion(d.Model)
	l, loading := r.loadingVersion(d.Model)
	switch {
	case ready && (m.Version == d.Revision.Version || !r.Known):
		return 0
	case loading && l.Version == d.Revision.Version:
		return 1
	case ready:
		return 2
	default:
		return 3
	}
}

// tieBreak is a hash that spreads models over otherwise equal runners, in the same
// way at every daemon.
func tieBreak(d *record.Deployment, r *Runner) uint64 {
	return xxhash.Sum64String(d.Model + "/" + r.Endpoint.ID)
}
