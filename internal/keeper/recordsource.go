package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// recordSource reads one kind of record.
type recordSource struct {
	keeper *Keeper
	kind   string
	// era is that of the last list.
	era uint64
	// unsettled: the store has come back from a copy, and what it has lost of
	// this kind is not written again yet. It is looked at from settleAt on.
	unsettled bool
	settleAt  time.Time
}

// Times and numbers of writing again what a restore has lost.
const (
	// settleAgain is the time to the next look while something is lost.
	settleAgain = time.Second
	// rewritesAtOnce bounds the writes of one look: a store that has just come
	// back is asked by all daemons.
	rewritesAtOnce = 16
)

// read reads all objects of the kind, of an era that is taken for one.
func (s *recordSource) read(ctx context.Context) ([]port.Object, port.StoreRevision, error) {
	objects, revision, err := s.keeper.options.Platform.List(ctx, s.kind)
	if err != nil {
		return nil, 0, err
	}
	return objects, revision, s.keeper.takeEra(s.kind, revision)
}

func (s *recordSource) list(ctx context.Context, _ bool) (port.StoreRevision, error) {
	k := s.keeper
	objects, revision, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	s.enter(revision.Era(), time.Now())
	switch {
	case !s.unsettled:
		s.apply(objects)
	case time.Now().Before(s.settleAt):
		s.applyCopied(objects)
	default:
		s.settle(ctx, objects, revision)
	}
	k.listedInFull(s.kind)
	return revision, nil
}

// listedInFull notes that a kind was read. Once all that are watched have been,
// the records are complete.
func (k *Keeper) listedInFull(kind string) {
	watched := slices.Concat(k.options.Kinds, k.options.PresentKinds)
	if slices.Contains(watched, kind) && k.listed.add(kind, len(watched)) {
		k.node.SetComplete()
	}
}

// enter notes the era of a list. The versions of the operators' routes are their
// own and go on through a restore; those of other records are the store's.
func (s *recordSource) enter(era uint64, now time.Time) {
	if era == s.era {
		return
	}
	s.era, s.unsettled = era, record.KnownKind(s.kind)
	// By then the peers have told what they hold.
	s.settleAt = now.Add(s.keeper.options.LapseGrace)
}

// primary: where endpoints are watched as well, those show how the platform
// answers.
func (s *recordSource) primary() bool { return s.keeper.options.Endpoints == nil }

func (s *recordSource) relistIn() time.Duration {
	if s.unsettled {
		return settleAgain
	}
	return s.keeper.options.RelistEvery
}

func (s *recordSource) watch(ctx context.Context, revision port.StoreRevision, wait time.Duration) (int, port.StoreRevision, error) {
	objects, next, err := s.keeper.options.Platform.Watch(ctx, s.kind, revision, wait)
	if err != nil {
		return 0, 0, err
	}
	if err := s.keeper.sameEra(s.kind, revision, next); err != nil {
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

// applyCopied takes what a store lists that has just come back from a copy.
func (s *recordSource) applyCopied(objects []port.Object) {
	for i := range objects {
		s.put(&objects[i], record.FromCopy)
	}
}

// put takes a stored value. What can't be read is left as it is: the record in
// force stays.
func (s *recordSource) put(o *port.Object, decode func(*port.Object) (port.Record, error)) {
	r, err := decode(o)
	if err != nil {
		s.keeper.options.Logger.Error().Str("event", "record_unreadable").
			Str("kind", o.Kind).Str("name", o.Name).Uint64("version", o.Version).Err(err).Msg("")
		return
	}
	s.keeper.node.PutRecord(r)
}

// settle compares what the store lists with what is held. What the restore has
// lost is written again, by one keeper; everything else is taken.
func (s *recordSource) settle(ctx context.Context, objects []port.Object, at port.StoreRevision) {
	k := s.keeper
	named := make(map[string]bool, len(objects))
	var lost []rewrite
	for i := range objects {
		o := &objects[i]
		named[o.Name] = true
		if w := k.lost(o); w != nil {
			lost = append(lost, *w)
			continue
		}
		s.put(o, record.FromObject)
	}
	for _, held := range k.node.Whole() {
		// A tombstone that isn't there any more is as good as one that is.
		if held.Kind == s.kind && !named[held.Name] && !held.Deleted {
			lost = append(lost, rewrite{held: held, base: uint64(at.None()), before: &record.Envelope{Deleted: true}})
		}
	}
	s.unsettled = len(lost) > 0
	if k.standing().place == 0 {
		for i := range lost[:min(len(lost), rewritesAtOnce)] {
			k.rewrite(ctx, &lost[i])
		}
	}
}

// lost returns what is to be written again over a stored value, nil for nothing.
func (k *Keeper) lost(o *port.Object) *rewrite {
	held, known := k.node.WholeRecord(o.Kind, o.Name)
	if !known {
		return nil
	}
	e, err := record.DecodeEnvelope(o.Value)
	if err != nil || !record.Outlasts(&held, o, e) {
		return nil
	}
	return &rewrite{held: held, base: o.Version, before: e}
}

// rewrite is a record to be written again.
type rewrite struct {
	held port.Record
	// base is the version that the store holds, before the value there.
	base   uint64
	before *record.Envelope
}

// rewrite writes a record again that the store has lost, if nobody else has
// written it since.
func (k *Keeper) rewrite(ctx context.Context, w *rewrite) {
	entry := record.AuditEntry{
		Time: time.Now().UTC(), Actor: k.options.Self.ID, WriteID: newWriteID(), BasedOn: w.base, Action: record.ActionRestore,
		Reason: "the platform's store came back from a copy without it",
	}
	document := w.held.Body
	if w.held.Deleted {
		document = w.before.Document
	}
	next := w.before.Next(document, &entry)
	next.Deleted = w.held.Deleted
	o, err := k.options.Platform.Put(ctx, w.held.Kind, w.held.Name, w.base, next.Encode())
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
	k.decide("configuration", w.held.Kind+"/"+w.held.Name, verdict, reason, o.Version)
}
