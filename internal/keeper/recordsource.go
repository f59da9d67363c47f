package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// recordSource reads one kind of record from the platform.
type recordSource struct {
	keeper *Keeper
	kind   string
	// era is the era of the last list.
	era uint64
	// restorePending: the store was restored from a backup, and the records of
	// this kind that the restore lost have not been written again yet. They are
	// looked for from repairAt on.
	restorePending bool
	repairAt       time.Time
}

// Intervals and bounds of writing again what a restore lost.
const (
	// repairInterval is the time to the next check while records are lost.
	repairInterval = time.Second
	// maxRewritesPerCheck bounds the writes of one check, because all daemons
	// call a store that has just been restored.
	maxRewritesPerCheck = 16
)

// read lists all objects of the kind and checks the era of the answer.
func (s *recordSource) read(ctx context.Context) ([]port.Object, port.StoreRevision, error) {
	objects, revision, err := s.keeper.options.Platform.List(ctx, s.kind)
	if err != nil {
		return nil, 0, err
	}
	return objects, revision, s.keeper.checkEra(s.kind, revision)
}

func (s *recordSource) list(ctx context.Context, _ bool) (port.StoreRevision, error) {
	k := s.keeper
	objects, revision, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	s.enterEra(revision.Era(), time.Now())
	switch {
	case !s.restorePending:
		s.apply(objects)
	case time.Now().Before(s.repairAt):
		s.applyBackup(objects)
	default:
		s.repair(ctx, objects, revision)
	}
	k.markListed(s.kind)
	return revision, nil
}

// markListed records that a kind was listed. Once all watched kinds have been,
// the records are complete.
func (k *Keeper) markListed(kind string) {
	watched := slices.Concat(k.options.Kinds, k.options.ExistenceKinds)
	if slices.Contains(watched, kind) && k.listed.add(kind, len(watched)) {
		k.node.SetComplete()
	}
}

// enterEra records the era of a list. The versions of the operators' routes are
// independent of the store and continue after a restore; the versions of other
// records are revisions of the store.
func (s *recordSource) enterEra(era uint64, now time.Time) {
	if era == s.era {
		return
	}
	s.era, s.restorePending = era, record.KnownKind(s.kind)
	// By then the peers have sent what they hold.
	s.repairAt = now.Add(s.keeper.options.DelistGrace)
}

// primary returns false if endpoints are watched as well, since those calls
// then show whether the platform answers.
func (s *recordSource) primary() bool { return s.keeper.options.Endpoints == nil }

func (s *recordSource) relistIn() time.Duration {
	if s.restorePending {
		return repairInterval
	}
	return s.keeper.options.RelistEvery
}

func (s *recordSource) watch(ctx context.Context, revision port.StoreRevision, wait time.Duration) (int, port.StoreRevision, error) {
	objects, next, err := s.keeper.options.Platform.Watch(ctx, s.kind, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	if err := s.keeper.checkWatchEra(s.kind, revision, next); err != nil {
		return 0, 0, err
	}
	s.apply(objects)
	return len(objects), next, nil
}

func (s *recordSource) apply(objects []port.Object) {
	for i := range objects {
		s.put(&objects[i], record.FromObject)
	}
}

// applyBackup applies the list of a store that has just been restored from a
// backup.
func (s *recordSource) applyBackup(objects []port.Object) {
	for i := range objects {
		s.put(&objects[i], record.FromRestoredObject)
	}
}

// put applies a stored value. If it can't be decoded, the record in force is
// kept.
func (s *recordSource) put(o *port.Object, decode func(*port.Object) (port.Record, error)) {
	r, err := decode(o)
	if err != nil {
		s.keeper.options.Logger.Error().Str("event", "record_unreadable").
			Str("kind", o.Kind).Str("name", o.Name).Uint64("version", o.Version).Err(err).Msg("")
		return
	}
	s.keeper.node.PutRecord(r)
}

// repair compares what the store lists with what is held. One keeper writes
// again what the restore lost; everything else is applied.
func (s *recordSource) repair(ctx context.Context, objects []port.Object, at port.StoreRevision) {
	k := s.keeper
	listed := make(map[string]bool, len(objects))
	var lost []rewrite
	for i := range objects {
		o := &objects[i]
		listed[o.Name] = true
		if w := k.lostWrite(o); w != nil {
			lost = append(lost, *w)
			continue
		}
		s.put(o, record.FromObject)
	}
	for _, held := range k.node.CompleteRecords() {
		// A missing tombstone means the same as a stored one.
		if held.Kind == s.kind && !listed[held.Name] && !held.Deleted {
			lost = append(lost, rewrite{held: held, storedVersion: uint64(at.AbsentVersion()), stored: &record.Envelope{Deleted: true}})
		}
	}
	s.restorePending = len(lost) > 0
	if k.memberView().watcherIndex == 0 {
		for i := range lost[:min(len(lost), maxRewritesPerCheck)] {
			k.rewriteRecord(ctx, &lost[i])
		}
	}
}

// lostWrite returns the record to be written again over a stored value, or nil
// if there is none.
func (k *Keeper) lostWrite(o *port.Object) *rewrite {
	held, known := k.node.CompleteRecord(o.Kind, o.Name)
	if !known {
		return nil
	}
	e, err := record.DecodeEnvelope(o.Value)
	if err != nil || !record.OverridesStored(&held, o, e) {
		return nil
	}
	return &rewrite{held: held, storedVersion: o.Version, stored: e}
}

// rewrite is a record to be written again.
type rewrite struct {
	held port.Record
	// storedVersion is the version that the store holds, stored the value at
	// that version.
	storedVersion uint64
	stored        *record.Envelope
}

// rewriteRecord writes a record that the store lost again, unless it has been
// written since.
func (k *Keeper) rewriteRecord(ctx context.Context, w *rewrite) {
	entry := record.AuditEntry{
		Time: time.Now().UTC(), Actor: k.options.Self.ID, WriteID: newWriteID(), BasedOn: w.storedVersion, Action: record.ActionRestore,
		Reason: "the platform's store came back from a copy without it",
	}
	document := w.held.Body
	if w.held.Deleted {
		document = w.stored.Document
	}
	next := w.stored.Next(document, &entry)
	next.Deleted = w.held.Deleted
	o, err := k.options.Platform.Put(ctx, w.held.Kind, w.held.Name, w.storedVersion, next.Encode())
	verdict, reason := "written_again", entry.Reason
	if err != nil {
		verdict, reason = "not_written_again", err.Error()
	} else {
		held := w.held
		held.Version = o.Version
		k.node.PutRecord(held)
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	k.recordVerdict("configuration", w.held.Kind+"/"+w.held.Name, verdict, reason, o.Version)
}
