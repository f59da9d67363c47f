package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// listedKinds tracks the kinds that have been listed in full.
type listedKinds struct {
	mu    sync.Mutex
	kinds map[string]bool
}

// add records a listed kind, and reports whether the number of listed kinds is
// now the wanted one.
func (l *listedKinds) add(kind string, wanted int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = map[string]bool{}
	}
	l.kinds[kind] = true
	return len(l.kinds) == wanted
}

// source is a set of objects on the platform that one watch reads.
type source interface {
	// list reads all objects. afterOutage says that the platform could not be
	// read before.
	list(ctx context.Context, afterOutage bool) (revision port.StoreRevision, err error)
	// primary reports whether the age of this source's calls shows whether the
	// platform answers.
	primary() bool
	// relistIn returns the time after which the list is read again even without
	// an error.
	relistIn() time.Duration
	// watch applies the changes past a revision and counts them.
	watch(ctx context.Context, revision port.StoreRevision, wait time.Duration) (changes int, newRevision port.StoreRevision, err error)
}

// watchRecords keeps one kind of record current.
func (k *Keeper) watchRecords(ctx context.Context, kind string) error {
	return k.follow(ctx, kind, &recordSource{keeper: k, kind: kind})
}

// follow keeps the objects of a source current.
func (k *Keeper) follow(ctx context.Context, name string, s source) error {
	w := newWatch(k, name, s)
	for ctx.Err() == nil {
		if err := pause(ctx, w.step(ctx)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// watch is the state of watching one source.
type watch struct {
	keeper   *Keeper
	name     string
	source   source
	revision port.StoreRevision
	// listed: the source was listed since this keeper began to read. The
	// revision doesn't show this, as it is zero for an empty platform.
	listed   bool
	listedAt time.Time
	retry    time.Duration
	// failing: the platform did not answer the last call.
	failing bool
}

func newWatch(k *Keeper, name string, s source) watch {
	return watch{keeper: k, name: name, source: s, retry: k.options.RetryPause}
}

// step makes at most one call to the platform, and returns the pause after it.
func (w *watch) step(ctx context.Context) time.Duration {
	k := w.keeper
	now := time.Now()
	role := k.role(now)
	if !w.shouldCall(role) {
		if role == watchduty.Off {
			// Changes are missed from here on, so the next period of reading
			// begins with a list.
			w.listed = false
			w.setFailing(false)
		}
		return k.options.RoleCheckInterval
	}
	changed, err := w.call(ctx, now, role)
	switch {
	case ctx.Err() != nil, errors.Is(err, errSuperseded):
		return 0
	case err != nil:
		return w.handleFailure(err, role)
	}
	w.markRecovered()
	w.retry = k.options.RetryPause
	k.recordPlatformCall(time.Now(), true)
	if changed {
		return w.pauseAfterChange(role)
	}
	return 0
}

// shouldCall reports whether this source is read in a role. A starting keeper
// reads once. A blind keeper, which the platform refuses, reads the primary
// source only.
func (w *watch) shouldCall(role watchduty.Role) bool {
	switch role {
	case watchduty.Off:
		return false
	case watchduty.Starting:
		return !w.listed
	case watchduty.Refused:
		return w.source.primary()
	default:
		return true
	}
}

// errSuperseded: a call was cancelled so that a call for the new role or state
// can follow; the platform didn't fail.
var errSuperseded = merry.Sentinel("platform: the call was cancelled in favour of a newer one")

// poll waits for changes past the current revision. A poll that may take
// seconds is cancelled once this keeper has a role that reads more often, and
// once the platform is known to fail: the call may hang on a connection that
// stays silent long after the platform has recovered.
func (w *watch) poll(ctx context.Context, role watchduty.Role) (changes int, revision port.StoreRevision, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k, timeout := w.keeper, w.pollTimeout(role)
	if timeout > k.options.WatchWait {
		go func() {
			for pause(ctx, k.options.RoleCheckInterval) == nil {
				if k.role(time.Now()) > role || k.duty.Status().Failing() {
					cancel(errSuperseded)
				}
			}
		}()
	}
	changes, revision, err = w.source.watch(ctx, w.revision, timeout)
	if err != nil && errors.Is(context.Cause(ctx), errSuperseded) {
		err = errSuperseded
	}
	return changes, revision, err
}

// pollTimeout returns how long a call of this source waits for a change. The
// primary source's calls show that the platform answers. On other sources only
// changes matter, and these are answered at once.
func (w *watch) pollTimeout(role watchduty.Role) time.Duration {
	k := w.keeper
	if k.duty.Status().Failing() || role != watchduty.Deputy && w.source.primary() {
		return k.options.WatchWait
	}
	return max(k.options.WatchWait, longPollTimeout)
}

// Intervals of deputies and of sources other than the primary one.
const (
	// longPollTimeout is the timeout of a long poll that isn't needed to show
	// that the platform answers.
	longPollTimeout = 5 * time.Second
	// deputyPause lets the changes of a second arrive in one reply; the leader
	// reads them at once.
	deputyPause = time.Second
)

func (w *watch) pauseAfterChange(role watchduty.Role) time.Duration {
	if role == watchduty.Deputy {
		// Randomised, so that some deputy is always waiting for changes that
		// the leader misses.
		return deputyPause/2 + rand.N(deputyPause)
	}
	return w.keeper.options.WatchPause
}

func (w *watch) call(ctx context.Context, now time.Time, role watchduty.Role) (changed bool, err error) {
	if !w.listed || now.Sub(w.listedAt) >= w.source.relistIn() {
		return true, w.list(ctx, now)
	}
	changes, revision, err := w.poll(ctx, role)
	if err != nil {
		return false, err
	}
	w.advanceTo(revision)
	return changes > 0, nil
}

func (w *watch) list(ctx context.Context, now time.Time) error {
	revision, err := w.source.list(ctx, w.failing)
	if err != nil {
		return err
	}
	w.listed, w.listedAt = true, now
	w.advanceTo(revision)
	return nil
}

// advanceTo records the revision up to which all changes have been applied.
func (w *watch) advanceTo(revision port.StoreRevision) {
	w.revision = revision
	w.keeper.lastRevision.Store(uint64(revision))
}

// handleFailure returns a growing pause with jitter, so that not all keepers
// call a platform at once when it recovers.
func (w *watch) handleFailure(err error, role watchduty.Role) time.Duration {
	// A list is safe after any error, and required if the revision is too old.
	w.listed = false
	if errors.Is(err, port.ErrRevisionGone) || errors.Is(err, errEraUnconfirmed) {
		// The platform answers, so there is no outage to wait for.
		w.keeper.options.Logger.Info().Str("event", "platform_history_gone").Str("kind", w.name).
			Uint64("store_era", w.revision.Era()).Uint64("revision", w.revision.Revision()).Err(err).Msg("")
		w.keeper.recordPlatformCall(time.Now(), true)
		return w.keeper.options.WatchPause
	}
	w.keeper.recordPlatformCall(time.Now(), false)
	level := w.keeper.options.Logger.Warn
	if w.failing {
		// The first failure was logged as a warning; repeats are logged at
		// debug level.
		level = w.keeper.options.Logger.Debug
	}
	level().Str("event", "platform_watch_failed").Str("kind", w.name).Err(err).Msg("")
	w.setFailing(true)
	d := w.retry
	w.retry = min(2*w.retry, w.keeper.options.RetryPauseMax)
	if role == watchduty.Refused {
		d = blindPause
	}
	return d/2 + rand.N(d)
}

// blindPause is the time between two calls of a keeper that the platform
// refuses while other keepers read in its place.
const blindPause = 2 * time.Second

func (w *watch) markRecovered() {
	if !w.failing {
		return
	}
	w.setFailing(false)
	w.keeper.options.Logger.Info().Str("event", "platform_regained").Str("kind", w.name).
		Uint64("store_era", w.revision.Era()).Uint64("revision", w.revision.Revision()).Msg("")
}

func (w *watch) setFailing(failing bool) {
	if failing == w.failing {
		return
	}
	w.failing = failing
	change := int32(1)
	if !failing {
		change = -1
	}
	w.keeper.failingWatches.Add(change)
}
