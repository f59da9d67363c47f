package placement

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
)

// refusedFactor spaces the looks while every step is refused, as the last
// ready runner of a model is for as long as no other one comes.
const refusedFactor = 5

// look is what the last pass saw.
type look struct {
	at time.Time
	// input hashes the records, the endpoints and the leases held.
	input uint64
	// next is the time until the next look, if nothing changes.
	next time.Duration
}

// tick makes a pass when one is due: at once when a record, an endpoint or a
// lease changes, often while something is under way, rarely while every runner
// is as it should be. Asking all of them every two seconds would cost a keeper
// more than the whole of its other control work.
func (l *Loop) tick(ctx context.Context) {
	input := l.input()
	now := l.opts.Now()
	changed := l.looked.input != input || l.looked.at.IsZero()
	if !changed && now.Sub(l.looked.at) < l.looked.next {
		return
	}
	settled := !changed && l.looked.next >= l.opts.IdleInterval
	l.looked.at, l.looked.input = now, input
	l.pass(ctx, !settled)
}

// nextLook is when to look again if nothing changes.
func (l *Loop) nextLook(plan *placement.Plan, runners []placement.Runner, sent int) time.Duration {
	loading := slices.ContainsFunc(runners, func(r placement.Runner) bool {
		return r.Known && len(r.State.Loading) > 0
	})
	switch {
	case sent > 0 || loading:
		return l.opts.Interval
	case len(plan.Steps) > 0:
		return refusedFactor * l.opts.Interval
	default:
		return l.opts.IdleInterval
	}
}

// input hashes all that a plan rests on but the runners' own word.
func (l *Loop) input() uint64 {
	h := xxhash.New()
	number := func(n uint64) {
		var raw [8]byte
		binary.BigEndian.PutUint64(raw[:], n)
		_, _ = h.Write(raw[:])
	}
	for _, r := range l.opts.View.Records() {
		_, _ = h.WriteString(r.Kind + "/" + r.Name)
		number(r.Version)
	}
	for _, e := range l.opts.View.Endpoints() {
		_, _ = h.WriteString(e.ID + "/" + string(e.State))
		number(e.Incarnation)
		if l.leases.owned(e.ID) {
			number(1)
		}
		for _, m := range e.Models {
			_, _ = h.WriteString(m)
		}
	}
	return h.Sum64()
}
