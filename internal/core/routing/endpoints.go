package routing

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// SetEndpoints implements port.Scheduler. An endpoint that is known under a
// larger incarnation, or as leaving under the same one, stays so: the list of
// hosts lags and may name an earlier state again.
func (s *Scheduler) SetEndpoints(now time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(es))
	for i := range es {
		named[es[i].ID] = es[i].Kind == port.KindRunner
	}
	touched := make(changes)
	s.runners.Range(func(id, known any) bool {
		if !named[id.(string)] {
			s.runners.Delete(id)
			touched.drop(known.(*runner))
		}
		return true
	})
	s.takeEndpoints(touched, es)
	s.relist(now, touched)
}

// ChangeEndpoints takes what is new of some endpoints; the others stay as they
// are. Its cost is that of the pools that change. Each state must be newer than
// the one before: then endpoints that are gone can be forgotten, which would
// otherwise be kept by the thousand where hosts are reclaimed every few seconds.
func (s *Scheduler) ChangeEndpoints(now time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := make(changes)
	s.takeEndpoints(touched, es)
	s.relist(now, touched)
	s.forgetGone(touched)
}

// forgetGone forgets the runners that are gone once nothing is counted there.
// One that is entered again with runs under way still counts them: taken for
// empty it would be chosen until it refuses.
func (s *Scheduler) forgetGone(touched changes) {
	for _, runners := range touched {
		for _, r := range runners {
			s.gone[r] = struct{}{}
		}
	}
	for r := range s.gone {
		left, gone := r.shard.leftAt(r)
		if gone && left {
			continue
		}
		delete(s.gone, r)
		if gone && s.runner(r.endpoint.ID) == r {
			s.runners.Delete(r.endpoint.ID)
		}
	}
}

// leftAt reports whether runs are left at the runner, and whether it is gone.
func (s *shard) leftAt(r *runner) (left, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.ownCount > 0, r.endpoint.State == port.EndpointGone
}

// changes are the runners of each pool that may have come, gone or changed.
type changes map[*shard][]*runner

func (c changes) add(r *runner) { c[r.shard] = append(c[r.shard], r) }

func (c changes) drop(r *runner) {
	r.dropped = true
	c.add(r)
}

func (s *Scheduler) takeEndpoints(touched changes, es []port.Endpoint) {
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
		r := &runner{endpoint: *e, shard: s.shard(e.Pool)}
		s.runners.Store(e.ID, r)
		touched.add(r)
	}
}

// relist puts the changes of each pool in force.
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

// listModels lists the pools of each model in one order at all routers.
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

// runner returns what is known under the id, or nil.
func (s *Scheduler) runner(id string) *runner {
	r, known := s.runners.Load(id)
	if !known {
		return nil
	}
	return r.(*runner)
}

// relist takes runners in or out as their state says, and reports whether the
// models that the pool serves changed.
func (s *shard) relist(now time.Time, touched []*runner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	leave := false
	for _, r := range touched {
		wanted := !r.dropped && r.endpoint.State != port.EndpointGone
		if wanted && !r.listed {
			s.runners = append(s.runners, r)
		}
		leave = leave || r.listed && !wanted
		r.listed = wanted
	}
	if leave {
		s.runners = slices.DeleteFunc(s.runners, func(r *runner) bool { return !r.listed })
	}
	// In one order at all routers, or they would deal themselves the same homes.
	slices.SortFunc(s.runners, func(a, b *runner) int { return strings.Compare(a.endpoint.ID, b.endpoint.ID) })
	s.ordinal, s.routers = s.scheduler.rank()
	before := s.models
	s.rebuild()
	return !slices.Equal(before, s.models)
}

// rebuild lists the runners that take work by model. Those that leave, or are
// evacuated, keep their generations but are not looked at.
func (s *shard) rebuild() {
	byModel := make(map[string][]*runner, len(s.byModel))
	served := make(map[string]struct{}, len(s.byModel))
	live := int64(0)
	s.assignHomes()
	for _, r := range s.runners {
		if r.endpoint.State != port.EndpointLive {
			continue
		}
		for _, m := range r.endpoint.Models {
			served[m] = struct{}{}
		}
		if r.endpoint.Evacuated {
			continue
		}
		live++
		for _, m := range r.endpoint.Models {
			byModel[m] = append(byModel[m], r)
		}
	}
	s.byModel = byModel
	s.models = slices.Sorted(maps.Keys(served))
	s.live.Store(live)
}

// unserved is why no runner takes requests for a model.
func (s *shard) unserved(model string) string {
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

// refresh takes over what a list says of a known runner.
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
	r.endpoint.State = laterState(state, r.said)
}
