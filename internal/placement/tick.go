package placement

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
)

// refusedIntervalFactor multiplies the interval while every step is refused. The
// step on the last ready runner of a model, for example, is refused until another
// runner serves the model.
const refusedIntervalFactor = 5

// passState holds the time and the inputs of the last pass.
type passState struct {
	startedAt time.Time
	// inputHash is the hash of the records, the endpoints and the leases held.
	inputHash uint64
	// nextInterval is the time until the next pass if nothing changes.
	nextInterval time.Duration
}

// tick makes a pass when one is due: at once when a record, an endpoint or a lease
// changes, often while an order or a load is under way, rarely while every runner is
// in its desired state. To read the state of all runners every two seconds would cost
// a keeper more than the rest of its control work.
func (l *Loop) tick(ctx context.Context) {
	input := l.hashInputs()
	now := l.opts.Now()
	changed := l.lastPass.inputHash != input || l.lastPass.startedAt.IsZero()
	if !changed && now.Sub(l.lastPass.startedAt) < l.lastPass.nextInterval {
		return
	}
	converged := !changed && l.lastPass.nextInterval >= l.opts.IdleInterval
	l.lastPass.startedAt, l.lastPass.inputHash = now, input
	l.pass(ctx, !converged)
}

// intervalAfter returns the time until the next pass if nothing changes.
func (l *Loop) intervalAfter(plan *placement.Plan, runners []placement.Runner, sent int) time.Duration {
	loading := slices.ContainsFunc(runners, func(r placement.Runner) bool {
		return r.Known && len(r.State.Loading) > 0
	})
	switch {
	case sent > 0 || loading:
		return l.opts.Interval
	case len(plan.Steps) > 0:
		return refusedIntervalFactor * l.opts.Interval
	default:
		return l.opts.IdleInterval
	}
}

// hashInputs hashes the inputs of a plan except the states read from the runners.
func (l *Loop) hashInputs() uint64 {
	h := xxhash.New()
	writeNumber := func(n uint64) {
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], n)
		_, _ = h.Write(raw[:])
	}
	for _, r := range l.opts.View.Records() {
		_, _ = h.WriteString(r.Kind + "/" + r.Name)
		writeNumber(r.Version)
	}
	for _, e := range l.opts.View.Endpoints() {
		_, _ = h.WriteString(e.ID + "/" + string(e.State))
		writeNumber(e.Incarnation)
		if l.leases.owns(e.ID) {
			writeNumber(1)
		}
		for _, m := range e.Models {
			_, _ = h.WriteString(m)
		}
	}
	return h.Sum64()
}
