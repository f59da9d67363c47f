package record

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// EnvelopeFormat is the format of stored values that this build writes.
const EnvelopeFormat = 1

// MaxAuditEntries is the maximum number of entries in the audit trail of a stored
// value; the oldest are removed first. Removed entries are in the keepers' logs.
const MaxAuditEntries = 32

// ErrNewerFormat is the error for a stored value in the format of a newer build.
var ErrNewerFormat = merry.Sentinel("record: stored format is newer than known")

// Action is the kind of a write.
type Action string

// The actions on records.
const (
	ActionCreate Action = "create"
	ActionRevise Action = "revise"
	ActionDelete Action = "delete"
	// ActionRestore is done by daemons, not by operators: it writes a record again
	// that the platform's store has lost.
	ActionRestore Action = "restore"
)

// AuditEntry records who changed a record, and why the change was accepted.
type AuditEntry struct {
	Time   time.Time `json:"time"`
	Actor  string    `json:"actor"`
	Action Action    `json:"action"`
	// WriteID identifies the write; it is also the id of the decision.
	WriteID string `json:"write_id"`
	// BasedOn is the version that the writer had read; zero for none.
	BasedOn       uint64 `json:"based_on"`
	SchemaVersion int    `json:"schema_version,omitempty"`
	Reason        string `json:"reason"`
}

// Envelope is the value stored at the platform. It contains the document and its
// audit trail, so that the trail needs no write of its own.
type Envelope struct {
	Format int `json:"format"`
	// Document is kept after a delete, to show what was deleted.
	Document json.RawMessage `json:"document"`
	// Deleted marks a tombstone. It keeps the versions ordered across a delete.
	Deleted bool `json:"deleted,omitempty"`
	// WriteID is the id of the last write, so that its writer can recognise it after
	// a lost reply.
	WriteID string       `json:"write_id"`
	Audit   []AuditEntry `json:"audit"`
}

// DecodeEnvelope decodes a stored value.
func DecodeEnvelope(value json.RawMessage) (*Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	if e.Format > EnvelopeFormat {
		return nil, merry.Prependf(ErrNewerFormat, "format %d", e.Format)
	}
	if e.Format < 1 {
		return nil, merry.Prepend(ErrInvalid, "stored value has no format")
	}
	return &e, nil
}

// Encode returns the value to store.
func (e *Envelope) Encode() json.RawMessage {
	raw, err := json.Marshal(e)
	if err != nil {
		// Can't happen: Document is valid JSON, and all other fields can be encoded.
		panic(err)
	}
	return raw
}

// Next returns the envelope after a write, with its entry added to the trail.
func (e *Envelope) Next(document json.RawMessage, entry *AuditEntry) *Envelope {
	trail := append([]AuditEntry(nil), e.Audit...)
	trail = append(trail, *entry)
	if len(trail) > MaxAuditEntries {
		trail = trail[len(trail)-MaxAuditEntries:]
	}
	return &Envelope{
		Format: EnvelopeFormat, Document: document, WriteID: entry.WriteID,
		Deleted: entry.Action == ActionDelete, Audit: trail,
	}
}

// HasWrite reports whether the write is the last one or in the trail.
func (e *Envelope) HasWrite(writeID string) bool {
	if e.WriteID == writeID {
		return true
	}
	for i := range e.Audit {
		if e.Audit[i].WriteID == writeID {
			return true
		}
	}
	return false
}

// HasWriteBasedOn reports whether the trail contains the write that replaced a
// version. There is at most one, since each write is conditional on the version
// before it.
func (e *Envelope) HasWriteBasedOn(version uint64) bool {
	for i := range e.Audit {
		if e.Audit[i].BasedOn == version {
			return true
		}
	}
	return false
}

// FromObject returns the record that daemons replicate, without the audit trail.
func FromObject(o *port.Object) (port.Record, error) {
	e, err := DecodeEnvelope(o.Value)
	if err != nil {
		return port.Record{}, merry.Prependf(err, "%s/%s", o.Kind, o.Name)
	}
	r := port.Record{Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: e.Deleted}
	if !e.Deleted {
		r.Body = e.Document
	}
	return r, nil
}
