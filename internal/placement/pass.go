package placement

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyrail/dragonflyrail/internal/core/lease"
	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// The outcomes of an order.
const (
	outcomeTaken   = "taken"
	outcomeRefused = "refused"
	outcomeStale   = "stale_fence"
	outcomeNotSent = "not_sent"
	outcomeUnknown = "unknown"
)

// Pass reads the state of all runners once and sends at most one order to each
// runner that this keeper holds. It returns when every order is answered or has
// timed out.
func (l *Loop) Pass(ctx context.Context) { l.pass(ctx, true) }

// pass reads the states of all runners, or first only those of the runners that
// this keeper holds, and the others only if the plan has steps. A plan needs every
// runner's version: if two keepers each assumed that the other's runner was up to
// date, they would undo each other's steps, or each would leave the spare replica
// of a rollout to the other.
func (l *Loop) pass(ctx context.Context, all bool) {
	// An incomplete set of records looks like one with deployments missing.
	if !l.opts.View.Ready() || !l.leases.holdsAny() {
		l.lastPass.nextInterval = l.opts.Interval
		return
	}
	deployments := record.Deployments(l.opts.View.Records())
	runners := l.runners()
	if len(deployments) > 0 {
		l.readStates(ctx, runners, all)
	}
	plan := placement.Make(deployments, runners)
	if !all && len(plan.Steps) > 0 {
		l.readStates(ctx, runners, true)
		plan = placement.Make(deployments, runners)
	}
	l.releasePermits(ctx, runners)
	for i := range plan.Shortfalls {
		l.recorder.recordShortfall(&plan.Shortfalls[i])
	}
	sent := l.executeSteps(ctx, &plan, runners)
	l.lastPass.nextInterval = l.intervalAfter(&plan, runners, sent)
}

// executeSteps attempts the steps of the runners that this keeper holds, and
// returns the number of orders sent.
func (l *Loop) executeSteps(ctx context.Context, plan *placement.Plan, runners []placement.Runner) int {
	var sent atomic.Int64
	var group errgroup.Group
	group.SetLimit(l.opts.Parallel)
	for i := range plan.Steps {
		step := &plan.Steps[i]
		if !l.leases.owns(step.Endpoint.ID) {
			continue
		}
		group.Go(func() error {
			if l.attemptStep(ctx, step, runners) {
				sent.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(sent.Load())
}

// runners lists the runners in the keeper's view, with unknown states.
func (l *Loop) runners() []placement.Runner {
	var runners []placement.Runner
	for _, e := range l.opts.View.Endpoints() {
		if e.Kind == port.KindRunner && e.State != port.EndpointGone {
			runners = append(runners, placement.Runner{Endpoint: e})
		}
	}
	return runners
}

// readStates reads the states that are not known yet, for all runners if all is
// set, else only for the runners that this keeper holds.
func (l *Loop) readStates(ctx context.Context, runners []placement.Runner, all bool) {
	var group errgroup.Group
	group.SetLimit(l.opts.Parallel)
	for i := range runners {
		if runners[i].Known || (!all && !l.leases.owns(runners[i].Endpoint.ID)) {
			continue
		}
		group.Go(func() error {
			l.readState(ctx, &runners[i])
			return nil
		})
	}
	_ = group.Wait()
}

// readState sets a runner's state from the runner's own reply, unless that reply
// comes from an older incarnation.
func (l *Loop) readState(ctx context.Context, r *placement.Runner) {
	call, cancel := context.WithTimeout(ctx, l.opts.StateTimeout)
	defer cancel()
	state, err := l.opts.Orderer.State(call, r.Endpoint)
	if err != nil || state.Incarnation < r.Endpoint.Incarnation {
		return
	}
	r.State, r.Known = state, true
}

// releasePermits releases the permits of steps that are finished. Only the holder
// of a runner's lease does so, and only once it may send orders there itself: until
// then an order of the former holder may still arrive.
func (l *Loop) releasePermits(ctx context.Context, runners []placement.Runner) {
	if !l.leases.holdsAny() || len(runners) == 0 {
		return
	}
	l.ledger.releasePermits(ctx, func(p placement.Permit) bool { return l.permitFinished(&p, runners) })
}

func (l *Loop) permitFinished(p *placement.Permit, runners []placement.Runner) bool {
	i := slices.IndexFunc(runners, func(r placement.Runner) bool { return r.Endpoint.ID == p.Endpoint })
	if i < 0 {
		return l.leases.owns(p.Endpoint)
	}
	r := &runners[i]
	shard, known := l.leases.shardOf(p.Endpoint)
	if !known || l.isBlocked(p.Endpoint) {
		return false
	}
	// A runner that checks fencing numbers also accepts a late order of the former
	// holder until it has received an order from the new one.
	withoutFencing := port.Endpoint{FencesOrders: false}
	if _, refusal := l.leases.mayOrder(shard, &withoutFencing); refusal != lease.RefusalNone {
		return false
	}
	return r.Endpoint.Incarnation > p.Incarnation || (r.Known && len(r.State.Loading) == 0)
}

// attemptStep sends one order if the lease and the ledger allow it, and reports
// whether the order was sent.
func (l *Loop) attemptStep(ctx context.Context, s *placement.Step, runners []placement.Runner) bool {
	shard, known := l.leases.shardOf(s.Endpoint.ID)
	if !known || l.isBlocked(s.Endpoint.ID) {
		return false
	}
	fence, refusal := l.leases.mayOrder(shard, &s.Endpoint)
	if refusal != lease.RefusalNone {
		l.recorder.recordRefusedStep(s, fence, string(refusal))
		return false
	}
	if s.ReadsWeights || len(s.Disrupts) > 0 {
		if reason := l.takePermit(ctx, s, fence, runners); reason != "" {
			l.recorder.recordRefusedStep(s, fence, reason)
			return false
		}
	}
	// Taking the permit took time, so the lease is checked again right before the
	// order is sent.
	fence, refusal = l.leases.beginOrder(shard, &s.Endpoint)
	if refusal != lease.RefusalNone {
		l.recorder.recordRefusedStep(s, fence, string(refusal))
		return false
	}
	defer l.leases.endOrder(shard)
	l.sendOrder(s, fence)
	return true
}

func (l *Loop) takePermit(ctx context.Context, s *placement.Step, fence uint64, runners []placement.Runner) string {
	return l.ledger.takePermit(ctx, s, fence, l.budget(), func(ledger *placement.Ledger, model string, needed int) int {
		return l.countServing(ctx, s, ledger, model, needed, runners)
	})
}

// countServing counts the other runners that serve a model according to their own
// replies, until needed are found.
func (l *Loop) countServing(ctx context.Context, s *placement.Step, ledger *placement.Ledger, model string, needed int, runners []placement.Runner) int {
	serving := 0
	for i := range runners {
		r := runners[i]
		if r.Endpoint.ID == s.Endpoint.ID || !r.Serves(model) || ledger.Disrupted(r.Endpoint.ID, model) {
			continue
		}
		r.Known = false
		l.readState(ctx, &r)
		if r.Known && r.Serves(model) {
			serving++
		}
		if serving >= needed {
			break
		}
	}
	return serving
}

// sendOrder sends the order. It does not use the loop's context: the reply to an
// order that was sent is waited for, even while the keeper stops.
func (l *Loop) sendOrder(s *placement.Step, fence uint64) {
	o := s.Order
	o.ID = uuid.NewString()
	o.Fence = fence
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.Terms.OrderTimeout)
	defer cancel()
	err := l.opts.Orderer.Order(ctx, s.Endpoint, o)
	outcome := outcomeOf(err)
	if outcome == outcomeUnknown {
		// The order may still arrive, however early its connection broke. No other
		// order is sent to the runner until it no longer can.
		blockFor := 2*l.opts.Terms.OrderTimeout + l.opts.Terms.Margin
		l.blockOrders(s.Endpoint.ID, l.opts.Now().Add(blockFor))
	}
	l.orders[outcome].Inc(1)
	l.recorder.recordOrder(s, &o, outcome)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeTaken
	case errors.Is(err, port.ErrStaleFence):
		return outcomeStale
	case errors.Is(err, port.ErrRefused):
		return outcomeRefused
	case errors.Is(err, port.ErrNotSent):
		return outcomeNotSent
	default:
		return outcomeUnknown
	}
}
