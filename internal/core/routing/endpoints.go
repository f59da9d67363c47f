package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// SetEndpoints implements port.Scheduler. The list of hosts lags and may
// repeat an earlier state, so a known endpoint with a larger incarnation
// keeps it, and one that is leaving stays so within its incarnation until
// the list has a later revision.
func (s *Scheduler) SetEndpoints(now time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(es))
	for i := range es {
		listed[es[i].ID] = es[i].Kind == port.KindRunner
	}
	touched := make(changes)
	s.runners.Range(func(id, known any) bool {
		if !listed[id.(string)] {
			s.runners.Delete(id)
			touched.drop(known.(*runner))
		}
		return true
	})
	s.applyEndpoints(touched, es)
	s.relist(now, touched)
}

// ChangeEndpoints updates some endpoints and leaves the others as they are.
// Its cost depends only on the pools that change. Each state must be newer
// than the previous one of that endpoint: this allows endpoints that are
// gone to be forgotten. Otherwise thousands would accumulate where hosts are
// reclaimed every few seconds.
func (s *Scheduler) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := make(changes)
	s.applyEndpoints(touched, es)
	s.relist(now, touched)
	s.forgetGone(touched)
}

// forgetGone removes the runners that are gone and have no runs left. A
// runner with runs keeps its entry, because it may be listed again: if it
// were then taken for empty, it would be chosen until it refuses requests.
func (s *Scheduler) forgetGone(touched changes) {
	for _, runners := range touched {
		for _, r := range runners {
			s.goneRunners[r] = struct{}{}
		}
	}
	for r := range s.goneRunners {
		hasRuns, gone := r.shard.runnerStatus(r)
		if gone && hasRuns {
			continue
		}
		delete(s.goneRunners, r)
		if gone && s.runner(r.endpoint.ID) == r {
			s.runners.Delete(r.endpoint.ID)
		}
	}
}

// runnerStatus reports whether the runner has runs, and whether it is gone.
func (s *shard) runnerStatus(r *runner) (hasRuns, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.ownCount > 0, r.endpoint.State == port.EndpointGone
}

// changes holds, for each pool, the runners that may have been added,
// removed or changed.
type changes map[*shard][]*runner

func (c changes) add(r *runner) { c[r.shard] = append(c[r.shard], r) }

func (c changes) drop(r *runner) {
	r.dropped = true
	c.add(r)
}

func (s *Scheduler) applyEndpoints(touched changes, es []port.Endpoint) {
	for i := range es {
		e := &es[i]
		if e.Kind != port.KindRunner {
			continue
		}
		known := s.runner(e.ID)
		if known != nil && e.Incarnation <= known.endpoint.Incarnation && e.Pool == known.shard.pool {
			known.shard.refresh(known, e)
			touched.add(known)
			continue
		}
		if known != nil {
			touched.drop(known)
		}
		r := &runner{endpoint: *e, shard: s.shard(e.Pool), usual: 1, present: 1}
		s.runners.Store(e.ID, r)
		touched.add(r)
	}
}

// relist applies the changes of each pool.
func (s *Scheduler) relist(now time.Time, touched changes) {
	changed := false
	for sh, runners := range touched {
		changed = sh.relist(now, runners) || changed
	}
	if changed {
		s.listModels()
	}
	for sh := range touched {
		sh.tick(now)
	}
}

// listModels rebuilds the list of pools that serve each model. All routers
// list the pools in the same order.
func (s *Scheduler) listModels() {
	next := make(map[string][]*shard)
	for _, pool := range slices.Sorted(maps.Keys(s.shards)) {
		sh := s.shards[pool]
		for _, model := range sh.servedModels() {
			next[model] = append(next[model], sh)
		}
	}
	s.byModel.Store(&next)
}

// runner returns the runner with the given endpoint id, or nil.
func (s *Scheduler) runner(id string) *runner {
	r, known := s.runners.Load(id)
	if !known {
		return nil
	}
	return r.(*runner)
}

// relist adds or removes runners according to their state, and reports
// whether the models that the pool serves changed.
func (s *shard) relist(now time.Time, touched []*runner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	removed := false
	for _, r := range touched {
		eligible := !r.dropped && r.endpoint.State != port.EndpointGone
		if eligible && !r.listed {
			s.runners = append(s.runners, r)
		}
		removed = removed || r.listed && !eligible
		r.listed = eligible
	}
	if removed {
		s.runners = slices.DeleteFunc(s.runners, func(r *runner) bool { return !r.listed })
	}
	// All routers must use the same order: assignPreferred splits the
	// runners among the routers by their position.
	slices.SortFunc(s.runners, func(a, b *runner) int { return strings.Compare(a.endpoint.ID, b.endpoint.ID) })
	s.routerRank, s.routers = s.scheduler.routerRank()
	before := s.models
	s.rebuild()
	return !slices.Equal(before, s.models)
}

// rebuild lists the runners that accept new work by model. Runners that are
// leaving or evacuated keep their generations but are no candidates.
func (s *shard) rebuild() {
	byModel := make(map[string][]*runner, len(s.byModel))
	served := make(map[string]struct{}, len(s.byModel))
	live := int64(0)
	s.assignPreferred()
	for _, r := range s.runners {
		r.index = notLive
		if r.endpoint.State != port.EndpointLive {
			continue
		}
		for _, m := range r.endpoint.Models {
			served[m] = struct{}{}
		}
		if r.endpoint.Evacuated {
			continue
		}
		r.index = int(live)
		live++
		for _, m := range r.endpoint.Models {
			byModel[m] = append(byModel[m], r)
		}
	}
	s.byModel = byModel
	s.models = slices.Sorted(maps.Keys(served))
	s.liveRunners.Store(live)
}

// unservedReason returns the reason why no runner takes requests for a
// model.
func (s *shard) unservedReason(model string) string {
	if slices.Contains(s.models, model) {
		return ReasonRefusedEvacuated
	}
	return ReasonRefusedModel
}

func (s *shard) servedModels() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models
}

// refresh updates a known runner from a list entry.
func (s *shard) refresh(r *runner, e *port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Incarnation < r.endpoint.Incarnation {
		return
	}
	state := e.State
	if e.Revision <= r.endpoint.Revision {
		state = laterState(r.endpoint.State, e.State)
	}
	r.endpoint = *e
	r.endpoint.State = laterState(state, r.reportedState)
}
