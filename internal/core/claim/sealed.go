package claim

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
)

// MaxSlots is the maximum number of sealed parts of a shard.
const MaxSlots = 32

// maxSlotBytes is an upper bound of the encoded size of a slot, in bytes.
const maxSlotBytes = 128

// Part refers to a sealed part of a shard: a separate object with tombstones,
// which is written before the shard's main object, the head, refers to it and is
// not changed while the head does.
type Part struct {
	// Slot is the number of the object.
	Slot int `json:"slot"`
	// Version is the object's version. The object at any other version is a
	// different part.
	Version uint64 `json:"version"`
	// NewestUnixMillis is the start of the newest time bucket of its tombstones.
	NewestUnixMillis int64 `json:"newest_unix_ms"`
	// Count is the number of its tombstones.
	Count int `json:"count"`
}

// PartContent is the content of a sealed part. It is immutable.
type PartContent struct {
	// prefixes are the prefixes of the key hashes in ascending order.
	prefixes []uint64
}

func (p *PartContent) has(key KeyHash) bool {
	_, found := slices.BinarySearch(p.prefixes, prefixOf(key))
	return found
}

// partList lists the sealed parts and the object versions of their slots.
type partList struct {
	Parts []Part `json:"parts"`
	// Versions holds the last known version of each slot's object, also for
	// free slots. An object is overwritten only at that version, so that a keeper
	// with an outdated head can't overwrite a part that a newer head refers to.
	Versions []uint64 `json:"versions"`
	// loaded holds the contents in the order of Parts; nil for a part that has
	// not been read.
	loaded []*PartContent
}

func (r *partList) clone() partList {
	return partList{Parts: slices.Clone(r.Parts), Versions: slices.Clone(r.Versions), loaded: slices.Clone(r.loaded)}
}

func (r *partList) check() error {
	if len(r.Versions) > MaxSlots || len(r.Parts) > len(r.Versions) {
		return merry.Prepend(ErrCorrupt, "the shard has more sealed parts than slots, or too many slots")
	}
	used := map[int]bool{}
	for _, p := range r.Parts {
		if p.Slot < 0 || p.Slot >= len(r.Versions) || used[p.Slot] {
			return merry.Prependf(ErrCorrupt, "slot %d of a sealed part is out of range or used twice", p.Slot)
		}
		if p.Version == 0 || p.Version != r.Versions[p.Slot] || p.Count < 0 {
			return merry.Prependf(ErrCorrupt, "the sealed part in slot %d has an invalid version or a negative count", p.Slot)
		}
		used[p.Slot] = true
	}
	return nil
}

func (r *partList) has(key KeyHash) bool {
	return slices.ContainsFunc(r.loaded, func(p *PartContent) bool { return p.has(key) })
}

func (r *partList) count() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Count
	}
	return n
}

// dropBefore removes the parts whose tombstone buckets all end before oldest,
// which frees their slots, and reports whether there were any.
func (r *partList) dropBefore(oldest, bucketMillis int64) bool {
	var kept partList
	for i, p := range r.Parts {
		if p.NewestUnixMillis+bucketMillis < oldest {
			continue
		}
		kept.Parts = append(kept.Parts, p)
		kept.loaded = append(kept.loaded, r.loaded[i])
	}
	dropped := len(kept.Parts) < len(r.Parts)
	r.Parts, r.loaded = kept.Parts, kept.loaded
	return dropped
}

// Parts returns the sealed parts that the shard refers to.
func (s *Shard) Parts() []Part { return slices.Clone(s.sealed.Parts) }

// Attach adds the content of the sealed part in a slot. It does nothing if the
// shard has no part in that slot.
func (s *Shard) Attach(slot int, content *PartContent) error {
	for i, p := range s.sealed.Parts {
		if p.Slot != slot {
			continue
		}
		if len(content.prefixes) != p.Count {
			return merry.Prependf(ErrCorrupt, "the sealed part in slot %d has %d tombstones, expected %d", slot, len(content.prefixes), p.Count)
		}
		s.sealed.loaded[i] = content
	}
	return nil
}

// Complete reports whether the contents of all sealed parts are attached.
func (s *Shard) Complete() bool { return !slices.Contains(s.sealed.loaded, nil) }

// SealDue reports whether the head's tombstones should be moved to a sealed part:
// they have reached Limits.SealBytes and a slot is free.
func (s *Shard) SealDue(l *Limits) bool {
	slot, _ := s.FreeSlot()
	return l.SealBytes > 0 && s.tombstones.bytes() >= l.SealBytes && slot < MaxSlots
}

// FreeSlot returns the lowest free slot and the version at which its object is to
// be overwritten. The slot is MaxSlots if none is free.
func (s *Shard) FreeSlot() (slot int, version uint64) {
	for slot < MaxSlots && slices.ContainsFunc(s.sealed.Parts, func(p Part) bool { return p.Slot == slot }) {
		slot++
	}
	if slot < len(s.sealed.Versions) {
		version = s.sealed.Versions[slot]
	}
	return slot, version
}

// EncodeTombstones encodes the head's tombstones as the value of a sealed part.
func (s *Shard) EncodeTombstones() (json.RawMessage, error) {
	part := NewShard()
	part.tombstones = s.tombstones
	return part.EncodeValue()
}

// DecodeSealed decodes a value encoded by EncodeTombstones.
func DecodeSealed(value json.RawMessage) (*PartContent, error) {
	part, err := DecodeValue(value)
	if err != nil {
		return nil, err
	}
	return part.tombstones.sealed(), nil
}

func (t *tombstones) sealed() *PartContent {
	prefixes := make([]uint64, 0, len(t.index))
	for p := range t.index {
		prefixes = append(prefixes, p)
	}
	slices.Sort(prefixes)
	return &PartContent{prefixes: prefixes}
}

// Seal replaces the head's tombstones by a reference to the sealed part that now
// holds them, and returns the content of the part.
func (s *Shard) Seal(slot int, version uint64) *PartContent {
	content := s.tombstones.sealed()
	p := Part{Slot: slot, Version: version, Count: len(s.tombstones.index)}
	for bucket := range s.tombstones.buckets {
		p.NewestUnixMillis = max(p.NewestUnixMillis, bucket)
	}
	s.sealed.Parts = append(s.sealed.Parts, p)
	s.sealed.loaded = append(s.sealed.loaded, content)
	s.tombstones = newTombstones()
	s.SetSlotVersion(slot, version)
	return content
}

// SetSlotVersion records the version of a slot's object. It differs from the recorded
// one if a keeper wrote the object and did not go on to write a head that refers
// to it. Recording the version first makes that keeper's write of the head fail.
func (s *Shard) SetSlotVersion(slot int, version uint64) {
	for len(s.sealed.Versions) <= slot {
		s.sealed.Versions = append(s.sealed.Versions, 0)
	}
	s.sealed.Versions[slot] = version
	s.changed = true
}
