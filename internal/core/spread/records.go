package spread

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// HashKey hashes a key. It must be the same on all daemons, as it determines
// buckets and ring positions.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Revision is one version of a record as it is replicated. A large body is
// replaced by the ids of its parts. Sending a body of a megabyte to all neighbours
// for each version would occupy slow links for seconds and delay all other
// messages.
type Revision struct {
	port.Record
	// Parts are the ids of the parts of the body, in order. If set, Body is empty.
	Parts []PartID
	// Sum is the hash of the record including its body. It is set together with
	// Parts.
	Sum uint64
}

// minDividedSize is the size of a body, in bytes, from which it is sent in parts. For
// smaller bodies, part ids and requests for parts cost more than they save.
const minDividedSize = 8 << 10

// InParts reports whether the record's body is sent in parts.
func InParts(r *port.Record) bool { return len(r.Body) >= minDividedSize }

// Divide returns the revision of a record and the contents of its parts. A small
// body has no parts and stays in the revision.
func Divide(r port.Record) (Revision, [][]byte) {
	if !InParts(&r) {
		return Revision{Record: r}, nil
	}
	parts := Split(r.Body)
	out := Revision{Record: r, Sum: hashRecord(&r)}
	out.Body = nil
	for _, part := range parts {
		out.Parts = append(out.Parts, IDOf(part))
	}
	return out, parts
}

// WithBody returns the record with the given body, and whether its hash is Sum.
func (r *Revision) WithBody(body []byte) (port.Record, bool) {
	whole := r.Record
	whole.Body = body
	return whole, hashRecord(&whole) == r.Sum
}

// RecordOrder is the semilattice of revisions of a record, ordered by the
// version that the platform assigned.
type RecordOrder struct{}

// Key returns the key of the record, kind/name.
func (RecordOrder) Key(r Revision) string { return RecordKey(r.Kind, r.Name) }

// RecordKey returns the key of the record with this kind and name.
func RecordKey(kind, name string) string { return kind + "/" + name }

// Join returns the larger version. The platform never gives two contents the same
// version; if it happens nevertheless, the tie is broken by content so that all
// daemons agree.
func (o RecordOrder) Join(a, b Revision) Revision {
	if a.Version != b.Version {
		if a.Version > b.Version {
			return a
		}
		return b
	}
	if a.Deleted != b.Deleted {
		if a.Deleted {
			return a
		}
		return b
	}
	if c := bytes.Compare(a.Body, b.Body); c != 0 {
		if c > 0 {
			return a
		}
		return b
	}
	if a.Sum >= b.Sum {
		return a
	}
	return b
}

// Hash covers key, version and content. A revision with parts and one with the
// body have the same hash, so that daemons that support only the latter agree.
func (RecordOrder) Hash(r Revision) uint64 {
	if len(r.Parts) > 0 {
		return r.Sum
	}
	return hashRecord(&r.Record)
}

func hashRecord(r *port.Record) uint64 {
	h := NewHasher()
	h.String(r.Kind)
	h.String(r.Name)
	h.Uint64(r.Version)
	h.Bool(r.Deleted)
	h.Bytes(r.Body)
	return h.Sum()
}

// NewRecordTable returns an empty table of records.
func NewRecordTable() *Table[Revision] {
	return NewTable[Revision](RecordOrder{}, HashKey)
}
