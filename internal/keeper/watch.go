package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// listedKinds are the kinds whose list was read in full.
type listedKinds struct {
	mu    sync.Mutex
	kinds map[string]bool
}

// add reports whether as many kinds as wanted have been read by now.
func (l *listedKinds) add(kind string, wanted int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = map[string]bool{}
	}
	l.kinds[kind] = true
	return len(l.kinds) == wanted
}

// source is what one watch reads from the platform.
type source interface {
	// list reads all of it. With away the platform could not be read for a
	// while before.
	list(ctx context.Context, away bool) (revision uint64, err error)
	// watch takes the changes past a revision and counts them.
	watch(ctx context.Context, revision uint64, wait time.Duration) (changes int, newRevision uint64, err error)
}

// watchForever keeps one kind of record current.
func (k *Keeper) watchForever(ctx context.Context, kind string) error {
	return k.follow(ctx, kind, &recordSource{keeper: k, kind: kind})
}

// follow keeps what a source holds current.
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
	revision uint64
	// listed: the source was read in full this turn. The revision alone
	// doesn't tell, as an empty platform's is zero.
	listed   bool
	listedAt time.Time
	retry    time.Duration
	// failing: the platform did not answer the last call.
	failing bool
}

func newWatch(k *Keeper, name string, s source) watch {
	return watch{keeper: k, name: name, source: s, retry: k.options.RetryPause}
}

// step does one call to the platform, if any, and returns the pause after it.
func (w *watch) step(ctx context.Context) time.Duration {
	k := w.keeper
	now := time.Now()
	if !k.onDuty(now) {
		// Changes are missed from here on; the next turn begins with a list.
		w.listed = false
		w.setFailing(false)
		return k.options.DutyCheck
	}
	changed, err := w.call(ctx, now)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		return w.failed(err)
	}
	w.regained()
	w.retry = k.options.RetryPause
	k.ownAnswer(time.Now())
	if changed {
		return k.options.WatchPause
	}
	return 0
}

func (w *watch) call(ctx context.Context, now time.Time) (changed bool, err error) {
	k := w.keeper
	if !w.listed || now.Sub(w.listedAt) >= k.options.RelistEvery {
		return true, w.list(ctx, now)
	}
	changes, revision, err := w.source.watch(ctx, w.revision, k.options.WatchWait)
	if err != nil {
		return false, err
	}
	w.revision = revision
	return changes > 0, nil
}

func (w *watch) list(ctx context.Context, now time.Time) error {
	revision, err := w.source.list(ctx, w.failing)
	if err != nil {
		return err
	}
	w.revision, w.listed, w.listedAt = revision, true, now
	return nil
}

// failed returns a growing pause with jitter, so that a platform that comes
// back isn't met by all keepers at once.
func (w *watch) failed(err error) time.Duration {
	// Whatever the error, a list is right; for an old revision it is needed.
	w.listed = false
	if errors.Is(err, port.ErrRevisionGone) {
		// The platform answers, so there is no outage to wait out.
		w.keeper.options.Logger.Info().Str("event", "platform_history_gone").Str("kind", w.name).Uint64("revision", w.revision).Msg("")
		w.keeper.ownAnswer(time.Now())
		return w.keeper.options.WatchPause
	}
	level := w.keeper.options.Logger.Warn
	if w.failing {
		// The loss has its line; each further try would only repeat it.
		level = w.keeper.options.Logger.Debug
	}
	level().Str("event", "platform_watch_failed").Str("kind", w.name).Err(err).Msg("")
	w.setFailing(true)
	d := w.retry
	w.retry = min(2*w.retry, w.keeper.options.RetryPauseMax)
	return d/2 + rand.N(d)
}

func (w *watch) regained() {
	if !w.failing {
		return
	}
	w.setFailing(false)
	w.keeper.options.Logger.Info().Str("event", "platform_regained").Str("kind", w.name).Uint64("revision", w.revision).Msg("")
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
	w.keeper.failing.Add(change)
}

// recordSource reads one kind of record.
type recordSource struct {
	keeper *Keeper
	kind   string
}

func (s *recordSource) list(ctx context.Context, _ bool) (uint64, error) {
	k := s.keeper
	objects, revision, err := k.options.Platform.List(ctx, s.kind)
	if err != nil {
		return 0, err
	}
	s.apply(objects)
	if k.listed.add(s.kind, len(k.options.Kinds)) {
		k.node.SetComplete()
	}
	return revision, nil
}

func (s *recordSource) watch(ctx context.Context, revision uint64, wait time.Duration) (int, uint64, error) {
	objects, next, err := s.keeper.options.Platform.Watch(ctx, s.kind, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	s.apply(objects)
	return len(objects), next, nil
}

func (s *recordSource) apply(objects []port.Object) {
	k := s.keeper
	for i := range objects {
		r, err := record.FromObject(&objects[i])
		if err != nil {
			// What can't be read is left as it is: the record in force stays.
			k.options.Logger.Error().Str("event", "record_unreadable").
				Str("kind", objects[i].Kind).Str("name", objects[i].Name).
				Uint64("version", objects[i].Version).Err(err).Msg("")
			continue
		}
		k.node.PutRecord(r)
	}
}
