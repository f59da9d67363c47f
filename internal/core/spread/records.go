package spread

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// HashKey is the hash that all daemons place keys with.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Revision is one version of a record as daemons pass it on. The body of a
// large one is left out and named by its parts: whole bodies of a megabyte, to
// all neighbours for each version, fill slow links for seconds, and what else
// is to be sent waits behind them.
type Revision struct {
	port.Record
	// Parts name the pieces of the body in order; Body is empty then.
	Parts []PartID
	// Sum is the hash of the record with its whole body, set with Parts.
	Sum uint64
}

// divideOver is the size of a body, in bytes, from which on it is passed on in
// parts. Below it the parts' names and the calls for them save nothing.
const divideOver = 8 << 10

// InParts reports whether a record's body is passed on in parts.
func InParts(r *port.Record) bool { return len(r.Body) >= divideOver }

// Divide returns a record's revision and the contents of its parts, none for a
// small body.
func Divide(r port.Record) (Revision, [][]byte) {
	if !InParts(&r) {
		return Revision{Record: r}, nil
	}
	parts := Cut(r.Body)
	out := Revision{Record: r, Sum: hashRecord(&r)}
	out.Body = nil
	for _, part := range parts {
		out.Parts = append(out.Parts, IDOf(part))
	}
	return out, parts
}

// Whole returns the record with its body put together, and whether that is the
// body that was divided.
func (r *Revision) Whole(body []byte) (port.Record, bool) {
	whole := r.Record
	whole.Body = body
	return whole, hashRecord(&whole) == r.Sum
}

// RecordOrder orders revisions of a record by the platform's version, the
// only order between them.
type RecordOrder struct{}

// Key is kind/name.
func (RecordOrder) Key(r Revision) string { return RecordKey(r.Kind, r.Name) }

// RecordKey is the key of a record.
func RecordKey(kind, name string) string { return kind + "/" + name }

// Join keeps the larger version. Two different bodies at one version can't
// come from the platform; the tie is broken by content so that even then all
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

// Hash covers key, version and content. It is the same for a revision in parts
// and for one with its body, so that daemons that know only the latter agree.
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
