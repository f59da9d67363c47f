package keeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Times of keeping a quarantine.
const (
	// quarantineWrites is the least time between two writes.
	quarantineWrites = time.Second
	// quarantineRetryMax bounds the pause after writes that failed.
	quarantineRetryMax = 30 * time.Second
)

// Quarantine knows the requests that crash the endpoints that run them.
func (k *Keeper) Quarantine() *quarantine.Register { return k.quarantine }

// quarantineForever takes in what others tell of such requests, and has the
// platform hold those that are quarantined: daemons that start after the loss of
// all would else learn of each by as many crashes again.
func (k *Keeper) quarantineForever(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { crashwatch.Keep(ctx, k.node, k.quarantine); return nil })
	group.Go(func() error { return k.writeQuarantine(ctx) })
	taken := uint64(0)
	for ctx.Err() == nil {
		changed := k.node.Changed()
		taken = k.takeQuarantine(time.Now(), taken)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return group.Wait()
}

// takeQuarantine takes the record of quarantined requests where it is newer than
// the version taken last, and returns the version taken.
func (k *Keeper) takeQuarantine(now time.Time, taken uint64) uint64 {
	r, known := k.Record(port.ObjectRequestQuarantine, record.QuarantineName)
	if !known || r.Version <= taken {
		return taken
	}
	if r.Deleted {
		return r.Version
	}
	held, released, err := record.Quarantined(r)
	if err != nil {
		k.options.Logger.Error().Str("event", "record_unreadable").Str("kind", r.Kind).Str("name", r.Name).
			Uint64("version", r.Version).Err(err).Msg("")
		return r.Version
	}
	k.quarantine.Restore(now, held)
	k.quarantine.Release(now, released)
	return r.Version
}

func (k *Keeper) writeQuarantine(ctx context.Context) error {
	w := quarantineWriter{keeper: k}
	for {
		if err := pause(ctx, quarantineWrites); err != nil {
			return err
		}
		w.write(ctx, time.Now())
	}
}

// quarantineWriter has the platform hold what is quarantined.
type quarantineWriter struct {
	keeper *Keeper
	// retry is the pause after the last write that failed, zero for none; next
	// is when another one may follow.
	retry time.Duration
	next  time.Time
}

// write changes the record where it differs from what is quarantined. One keeper
// does, the one that reads the platform for all: what the platform holds is
// known to it.
func (w *quarantineWriter) write(ctx context.Context, now time.Time) {
	k := w.keeper
	if k.standing().place != 0 || !k.Ready() || k.duty.News().Failing() || now.Before(w.next) {
		return
	}
	quarantined := k.quarantine.Entries()
	held, known := k.Record(port.ObjectRequestQuarantine, record.QuarantineName)
	known = known && !held.Deleted
	if known && record.HoldsQuarantine(held, quarantined) || !known && len(quarantined) == 0 {
		return
	}
	_, err := k.Change(ctx, &Change{
		Kind: port.ObjectRequestQuarantine, Name: record.QuarantineName, Body: record.QuarantineDocument(quarantined),
		Expect: held.Version, Create: !known, Actor: k.options.Self.ID,
	})
	if err == nil {
		w.retry = 0
		return
	}
	w.retry = min(max(quarantineWrites, 2*w.retry), quarantineRetryMax)
	w.next = now.Add(w.retry)
}

// noteQuarantine writes the line of a change of what is held of a request.
func (k *Keeper) noteQuarantine(c quarantine.Change) {
	k.decideOn(&port.DecisionRecord{
		Subject: "fingerprint", SubjectID: c.Fingerprint.String(), Verdict: string(c.Verdict),
		Reason: c.Reason, Crashes: c.Crashes,
	})
}
