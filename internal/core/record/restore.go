package record

import (
	"bytes"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// OverridesStored reports whether a record that the daemons have stays in force although
// the platform's store has another value in a later era. A store restored from a
// backup lacks the newest writes. The last version that operators wrote stays in
// force and is written to the store again. A value written after the restore is
// newer than any version that the daemons have.
func OverridesStored(held *port.Record, stored *port.Object, e *Envelope) bool {
	heldAt, storedAt := port.StoreRevision(held.Version), port.StoreRevision(stored.Version)
	switch {
	case storedAt.Era() <= heldAt.Era():
		return false
	case e.Deleted == held.Deleted && (e.Deleted || bytes.Equal(e.Document, held.Body)):
		// The contents are the same. The stored version is adopted, since the next
		// revision must be based on it.
		return false
	case e.era() > heldAt.Era() || e.HasWriteBasedOn(held.Version):
		return false
	default:
		// Up to the backup, the revisions of both eras are the same.
		return storedAt.Revision() < heldAt.Revision()
	}
}

// era returns the era of the version that the last write was based on. It is the
// era of that write or an earlier one.
func (e *Envelope) era() uint64 {
	if len(e.Audit) == 0 {
		return 0
	}
	return port.StoreRevision(e.Audit[len(e.Audit)-1].BasedOn).Era()
}

// FromRestoredObject returns the record of a value in a store that was just restored from a
// backup, with a version no larger than the one at which it was written: up to the
// backup the revisions are those of the era before. With the store's own version the
// record would take precedence over newer ones that the backup lacks.
func FromRestoredObject(o *port.Object) (port.Record, error) {
	r, err := FromObject(o)
	if err != nil {
		return port.Record{}, err
	}
	e, err := DecodeEnvelope(o.Value)
	if err != nil {
		return port.Record{}, err
	}
	storedAt := port.StoreRevision(o.Version)
	version, err := port.NewStoreRevision(min(e.era(), storedAt.Era()), storedAt.Revision())
	r.Version = uint64(version)
	return r, err
}
