package keeper

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
)

// listPeriodically lists a kind of record from time to time while this keeper
// reads the platform for others.
func (k *Keeper) listPeriodically(ctx context.Context, kind string) error {
	w := newWatch(k, kind, &recordSource{keeper: k, kind: kind})
	for {
		if err := pause(ctx, w.listStep(ctx)); err != nil {
			return err
		}
	}
}

// listStep lists if a list is due, and returns the pause after it. A list is
// due when this keeper takes on the role, in a new era of the store, and at
// every relist interval.
func (w *watch) listStep(ctx context.Context) time.Duration {
	k := w.keeper
	now := time.Now()
	role := k.role(now)
	if role != watchduty.Leader && role != watchduty.Isolated {
		w.listed = false
		w.setFailing(false)
		return k.options.RoleCheckInterval
	}
	if w.listed && w.revision.Era() == k.eras.Current() && now.Sub(w.listedAt) < w.source.relistIn() {
		return k.options.RoleCheckInterval
	}
	err := w.list(ctx, now)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return w.handleFailure(err, role)
	}
	w.markRecovered()
	w.retry = k.options.RetryPause
	k.recordPlatformCall(time.Now(), true)
	return k.options.RoleCheckInterval
}
