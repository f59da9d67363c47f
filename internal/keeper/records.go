package keeper

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Errors of operators' writes. Errors about a record's content are in package
// record.
var (
	// ErrStale: the record's version isn't the one that the operator's change
	// was based on.
	ErrStale = merry.Sentinel("records: the record has another version")
	// ErrNotFound: the record doesn't exist.
	ErrNotFound = merry.Sentinel("records: no such record")
	// ErrNotWritten: the platform did not accept the write; nothing changed.
	ErrNotWritten = merry.Sentinel("records: the platform did not take the write; nothing changed")
	// ErrOutcomeUnknown: the write may have taken effect, and the platform can't be
	// read to find out.
	ErrOutcomeUnknown = merry.Sentinel("records: whether the write took effect is not known")
	// ErrTooLarge: the value exceeds the platform's limit.
	ErrTooLarge = merry.Sentinel("records: the record is too large")
)

// Change is one operator's write.
type Change struct {
	Kind, Name string
	// Body is the document; empty for a delete.
	Body json.RawMessage
	// Expect is the version that the change is based on; zero with Create.
	Expect uint64
	// Create: the record must not exist yet.
	Create bool
	Delete bool
	Actor  string
}

// Result is the outcome of a change.
type Result struct {
	// WriteID identifies the write in the audit trail, the log and
	// explanations.
	WriteID string
	// Record is the written record, or the stored one with ErrStale.
	Record port.Record
	// Superseded: the write took effect and was then overwritten by another
	// one; Record is the later one.
	Superseded bool
}

func newWriteID() string { return uuid.NewString() }

// Change validates and writes a change. It logs one decision, whatever the
// outcome.
func (k *Keeper) Change(ctx context.Context, c *Change) (Result, error) {
	result := Result{WriteID: newWriteID()}
	err := k.change(ctx, c, &result)
	k.logChange(c, &result, err)
	return result, err
}

func (k *Keeper) change(ctx context.Context, c *Change, result *Result) error {
	document, err := checkBody(c)
	if err != nil {
		return err
	}
	object, before, err := k.readForWrite(ctx, c)
	if err != nil {
		return err
	}
	if err := checkCondition(c, &object, before, result); err != nil {
		return err
	}
	value, err := nextValue(c, before, document, object.Version, result.WriteID)
	if err != nil {
		return err
	}
	w := write{keeper: k, change: c, expect: object.Version, value: value, writeID: result.WriteID, result: result}
	return w.run(ctx)
}

func checkBody(c *Change) (*record.Document, error) {
	if !record.KnownKind(c.Kind) {
		return nil, &record.FieldError{Field: "kind", Problem: "is not a kind of record"}
	}
	if !record.ValidName(c.Name) {
		return nil, &record.FieldError{Field: "name", Problem: "is not a valid name"}
	}
	if c.Delete {
		return nil, nil
	}
	d, err := record.Parse(c.Body)
	switch {
	case err != nil:
		return nil, err
	case d.Kind != c.Kind:
		return nil, &record.FieldError{Field: "kind", Problem: "differs from the path"}
	case d.Name != c.Name:
		return nil, &record.FieldError{Field: "name", Problem: "differs from the path"}
	}
	return d, nil
}

// readForWrite reads the stored value, whose audit trail the new one continues.
func (k *Keeper) readForWrite(ctx context.Context, c *Change) (port.Object, *record.Envelope, error) {
	object, err := k.options.Platform.Get(ctx, c.Kind, c.Name)
	if errors.Is(err, port.ErrNotFound) {
		return object, &record.Envelope{Deleted: true}, nil
	}
	if err != nil {
		return port.Object{}, nil, merry.Prepend(ErrNotWritten, err.Error())
	}
	k.recordPlatformCall(time.Now(), true)
	envelope, err := record.DecodeEnvelope(object.Value)
	if err != nil {
		return port.Object{}, nil, err
	}
	return object, envelope, nil
}

// checkCondition compares the version that the change is based on with the
// stored one. A tombstone counts as absent.
func checkCondition(c *Change, object *port.Object, stored *record.Envelope, result *Result) error {
	if len(object.Value) > 0 {
		winner, err := record.FromObject(object)
		if err != nil {
			return err
		}
		result.Record = winner
	}
	switch {
	case c.Create && !stored.Deleted:
		return ErrStale
	case c.Create:
		return nil
	case stored.Deleted:
		return ErrNotFound
	case c.Expect != object.Version:
		return ErrStale
	}
	return nil
}

func nextValue(c *Change, before *record.Envelope, d *record.Document, basedOn uint64, writeID string) (json.RawMessage, error) {
	entry := record.AuditEntry{
		Time: time.Now().UTC(), Actor: c.Actor, WriteID: writeID, BasedOn: basedOn, Action: actionOf(c),
		Reason: "valid, and based on the stored version",
	}
	if c.Delete {
		return before.Next(before.Document, &entry).Encode(), nil
	}
	if !before.Deleted {
		stored, err := record.Parse(before.Document)
		if err != nil {
			// This build must not rewrite a record that was written by a newer
			// one.
			return nil, err
		}
		if d, err = d.WithFieldsOf(stored); err != nil {
			return nil, err
		}
	}
	entry.SchemaVersion = d.SchemaVersion
	return before.Next(d.Marshal(), &entry).Encode(), nil
}

func actionOf(c *Change) record.Action {
	switch {
	case c.Delete:
		return record.ActionDelete
	case c.Create:
		return record.ActionCreate
	default:
		return record.ActionRevise
	}
}

// write is one conditional write to the platform.
type write struct {
	keeper  *Keeper
	change  *Change
	expect  uint64
	value   json.RawMessage
	writeID string
	result  *Result
}

// run writes, and determines the outcome if the reply was lost. The value
// carries the write's id, by which a later read recognises the write. A write
// that may have taken effect is never reported as failed.
func (w *write) run(ctx context.Context) error {
	object, err := w.put(ctx)
	switch {
	case err == nil:
		return w.accept(&object)
	case errors.Is(err, port.ErrConflict):
		return w.resolveConflict(ctx)
	case errors.Is(err, port.ErrOutcomeUnknown):
		return w.resolveOutcome(ctx)
	case errors.Is(err, port.ErrTooLarge):
		return ErrTooLarge
	case errors.Is(err, port.ErrPlatformUnavailable), errors.Is(err, port.ErrThrottled):
		return merry.Prepend(ErrNotWritten, err.Error())
	default:
		// Any other error leaves open whether the platform took the write.
		return w.resolveOutcome(ctx)
	}
}

func (w *write) put(ctx context.Context) (port.Object, error) {
	return w.keeper.options.Platform.Put(ctx, w.change.Kind, w.change.Name, w.expect, w.value)
}

// accept puts the write in force here and starts to send it to all other
// daemons, without waiting for a watch.
func (w *write) accept(object *port.Object) error {
	w.keeper.recordPlatformCall(time.Now(), true)
	r, err := record.FromObject(object)
	if err != nil {
		// The platform's reply lacks the value. The write is accepted, and the
		// watch will bring the record.
		w.result.Record = port.Record{Kind: w.change.Kind, Name: w.change.Name, Version: object.Version}
		return nil
	}
	w.result.Record = r
	w.keeper.node.PutRecord(r)
	return nil
}

// resolveOutcome determines the outcome of a write whose reply was lost. It
// reads the stored value, and if that still has the expected version it writes
// the same value under the same condition again. At most one of the two writes
// can take effect, as the condition holds for one version only.
func (w *write) resolveOutcome(ctx context.Context) error {
	// The operator may disconnect, but the logged decision must still be right.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.keeper.options.OutcomeTimeout)
	defer cancel()
	for {
		err := w.tryResolveOutcome(ctx)
		if !errors.Is(err, errUnresolved) {
			return err
		}
		if pause(ctx, w.keeper.options.OutcomeRetryPause) != nil {
			return ErrOutcomeUnknown
		}
	}
}

// errUnresolved: the outcome isn't known yet and the caller should try again.
var errUnresolved = merry.Sentinel("records: the outcome of the write is not known yet")

func (w *write) tryResolveOutcome(ctx context.Context) error {
	stored, err := w.keeper.options.Platform.Get(ctx, w.change.Kind, w.change.Name)
	switch {
	case errors.Is(err, port.ErrNotFound) && port.StoreRevision(w.expect).Revision() == 0:
	case err != nil:
		return errUnresolved
	}
	if stored.Version != w.expect {
		return w.resolveByStored(&stored)
	}
	object, err := w.put(ctx)
	switch {
	case err == nil:
		return w.accept(&object)
	default:
		// Also after a conflict, which the first attempt may have caused.
		return errUnresolved
	}
}

// resolveConflict handles a conflict, which an earlier attempt of the same
// write may have caused.
func (w *write) resolveConflict(ctx context.Context) error {
	stored, err := w.keeper.options.Platform.Get(ctx, w.change.Kind, w.change.Name)
	if err != nil {
		return w.resolveOutcome(ctx)
	}
	return w.resolveByStored(&stored)
}

// resolveByStored determines the outcome by the stored value, whose version is
// past the expected one.
func (w *write) resolveByStored(stored *port.Object) error {
	envelope, err := record.DecodeEnvelope(stored.Value)
	if err != nil {
		return merry.Prepend(ErrOutcomeUnknown, err.Error())
	}
	r, err := record.FromObject(stored)
	if err != nil {
		return merry.Prepend(ErrOutcomeUnknown, err.Error())
	}
	w.result.Record = r
	w.keeper.node.PutRecord(r)
	if envelope.HasWrite(w.writeID) {
		w.result.Superseded = envelope.WriteID != w.writeID
		return nil
	}
	if envelope.HasWriteBasedOn(w.expect) {
		return ErrStale
	}
	// The audit trail no longer reaches back to the expected version, so it
	// can't tell whether the write is among the entries that were dropped.
	return ErrOutcomeUnknown
}

// logChange logs the decision on a change.
func (k *Keeper) logChange(c *Change, result *Result, err error) {
	if k.options.Decisions == nil {
		return
	}
	verdict, reason := "accepted", string(actionOf(c))
	if result.Superseded {
		reason = "accepted, and superseded since"
	}
	if err != nil {
		verdict, reason = "refused", err.Error()
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		verdict = "unknown"
	}
	k.options.Decisions.Record(&port.DecisionRecord{
		ID: result.WriteID, Time: time.Now(), Subject: "configuration",
		SubjectID: spread.RecordKey(c.Kind, c.Name), Verdict: verdict, Reason: reason,
		ConfigurationVersion: result.Record.Version, Actor: c.Actor,
	})
}

// RecordReceived logs which peer sent a version and how many of its parts are
// missing. For a version that arrives late, this shows how much of it had
// arrived.
func (k *Keeper) RecordReceived(r *spread.Revision, from string, missing int) {
	k.options.Logger.Info().Str("event", "record_heard").Str("record", spread.RecordKey(r.Kind, r.Name)).
		Uint64("version", r.Version).Str("from", cmp.Or(from, "platform")).Int("parts", len(r.Parts)).Int("parts_missing", missing).
		Int64("platform_age_ms", *port.AgeMillis(k.PlatformAge(time.Now()))).Msg("")
}

// RecordCompleted logs that all parts of a version have arrived, so that it can be
// put in force.
func (k *Keeper) RecordCompleted(r *port.Record) {
	k.options.Logger.Info().Str("event", "record_whole").Str("record", spread.RecordKey(r.Kind, r.Name)).
		Uint64("version", r.Version).Int("bytes", len(r.Body)).Msg("")
}

// Record returns one record in force. A deleted one is returned as such.
func (k *Keeper) Record(kind, name string) (port.Record, bool) {
	return k.node.CompleteRecord(kind, name)
}
