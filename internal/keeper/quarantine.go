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

// Intervals of quarantine writes.
const (
	// quarantineWriteInterval is the minimum time between two writes.
	quarantineWriteInterval = time.Second
	// quarantineRetryMax bounds the pause after failed writes.
	quarantineRetryMax = 30 * time.Second
)

// Quarantine returns the register of requests and parts of prompts that crash the
// endpoints that run them.
func (k *Keeper) Quarantine() *quarantine.Register { return k.quarantine }

// syncQuarantine applies other daemons' reports of such requests, and stores
// the quarantined ones on the platform. Otherwise daemons that start after the
// loss of all would need as many crashes again to identify each.
func (k *Keeper) syncQuarantine(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { crashwatch.RunRegister(ctx, k.node, k.quarantine); return nil })
	group.Go(func() error { return k.writeQuarantinePeriodically(ctx) })
	applied := uint64(0)
	for ctx.Err() == nil {
		changed := k.node.Changed()
		applied = k.applyQuarantine(time.Now(), applied)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return group.Wait()
}

// applyQuarantine applies the record of quarantined requests if it is newer
// than the version applied last, and returns the version applied.
func (k *Keeper) applyQuarantine(now time.Time, applied uint64) uint64 {
	r, known := k.Record(port.ObjectRequestQuarantine, record.QuarantineName)
	if !known || r.Version <= applied {
		return applied
	}
	if r.Deleted {
		return r.Version
	}
	held, released, err := record.DecodeQuarantine(r)
	if err != nil {
		k.options.Logger.Error().Str("event", "record_unreadable").Str("kind", r.Kind).Str("name", r.Name).
			Uint64("version", r.Version).Err(err).Msg("")
		return r.Version
	}
	k.quarantine.Restore(now, held.Requests, held.Parts)
	k.quarantine.Release(now, released.Requests, released.Parts)
	return r.Version
}

func (k *Keeper) writeQuarantinePeriodically(ctx context.Context) error {
	w := quarantineWriter{keeper: k}
	for {
		if err := pause(ctx, quarantineWriteInterval); err != nil {
			return err
		}
		w.write(ctx, time.Now())
	}
}

// quarantineWriter stores the quarantined requests on the platform.
type quarantineWriter struct {
	keeper *Keeper
	// retry is the pause after the last write if that failed, otherwise zero;
	// next is the earliest time of the next write.
	retry time.Duration
	next  time.Time
}

// write updates the record if it differs from the quarantined requests. Only
// the keeper that reads the platform for all others writes, because it knows
// what the platform holds.
func (w *quarantineWriter) write(ctx context.Context, now time.Time) {
	k := w.keeper
	if k.memberView().watcherIndex != 0 || !k.Ready() || k.duty.Status().Failing() || now.Before(w.next) {
		return
	}
	quarantined := record.Quarantined{Requests: k.quarantine.Entries(), Parts: k.quarantine.PartEntries()}
	held, known := k.Record(port.ObjectRequestQuarantine, record.QuarantineName)
	known = known && !held.Deleted
	if known && record.QuarantineUpToDate(held, quarantined) || !known && quarantined.IsEmpty() {
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
	w.retry = min(max(quarantineWriteInterval, 2*w.retry), quarantineRetryMax)
	w.next = now.Add(w.retry)
}

// logQuarantineChange logs a decision about the fingerprint of a request or a part.
func (k *Keeper) logQuarantineChange(c quarantine.Change) {
	k.recordDecision(&port.DecisionRecord{
		Subject: "fingerprint", SubjectID: c.Fingerprint.String(), Verdict: string(c.Verdict),
		Reason: c.Reason, Crashes: c.Crashes, Organisation: c.Organisation, Parts: partNames(c.Parts),
	})
}

func partNames(ids []uint64) []string {
	var out []string
	for _, id := range ids {
		out = append(out, quarantine.PartName(id))
	}
	return out
}
