package claimstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// errPartReplaced means that the object of a slot has another version than the
// head lists. The head that was read is out of date: a newer one has reused
// the slot.
var errPartReplaced = merry.Sentinel("claims: the version of a sealed part is not the one that its shard lists")

// sealedPart is the content of a slot's object and the object's version.
type sealedPart struct {
	version uint64
	content *claim.PartContent
}

func (s *shard) partName(slot int) string { return fmt.Sprintf("%s-sealed-%02d", s.name, slot) }

// seal moves the tombstones of a large shard to an object of their own, a
// sealed part. It first writes the part. Then it lists the part in the head,
// which is the shard's main object, and removes the tombstones from there, in
// one compare-and-set. A keeper that stops in between leaves a part that no
// head lists and a head that still has its tombstones.
//
// A part that a head lists is never overwritten. A slot is written only if its
// object has the version that the writer's head records for it, and a head
// records a part's version for a free slot only after the part has expired. So
// a frozen keeper with an old head fails to write either the part or the head.
func (s *shard) seal() {
	if s.stored == nil || !s.stored.SealDue(s.limits) {
		return
	}
	value, err := s.stored.EncodeTombstones()
	if err != nil {
		s.store.recordFailure(s.name, merry.Wrap(errEncode, merry.WithCause(err)))
		return
	}
	if !s.waitForSealWrites() {
		return
	}
	slot, expect := s.stored.FreeSlot()
	next := s.stored.Clone()
	object, err := s.store.putObject(s.partName(slot), expect, value)
	switch {
	case err == nil:
		s.cachePart(slot, sealedPart{version: object.Version, content: next.Seal(slot, object.Version)})
	case errors.Is(err, port.ErrConflict) && object.Version > 0:
		next.SetSlotVersion(slot, object.Version)
	default:
		// If the write took effect, the next try fails with a conflict.
		s.store.recordFailure(s.partName(slot), err)
		return
	}
	s.writeHead(next)
}

// waitForSealWrites waits until the rate limit allows both writes of sealing.
func (s *shard) waitForSealWrites() bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxQueueTime)
	defer cancel()
	if s.store.waitForWrite(ctx) != nil {
		return false
	}
	return s.store.waitForWrite(ctx) == nil
}

func (s *shard) cachePart(slot int, part sealedPart) {
	if s.partCache == nil {
		s.partCache = map[int]sealedPart{}
	}
	s.partCache[slot] = part
}

// writeHead writes next to the platform. After an error that leaves the result
// of the write unknown, the shard is read again before its next use.
func (s *shard) writeHead(next *claim.Shard) {
	err := s.write(next)
	if err == nil || errors.Is(err, port.ErrConflict) {
		return
	}
	s.store.recordFailure(s.name, err)
	if !nothingWritten(err) {
		s.stored = nil
	}
}

// readParts attaches the contents of all sealed parts to a shard. If one of
// them can't be read, no key is granted, as the key may have a tombstone in
// that part.
func (s *shard) readParts(stored *claim.Shard) error {
	current := map[int]sealedPart{}
	for _, p := range stored.Parts() {
		part := s.partCache[p.Slot]
		if part.version != p.Version {
			var err error
			if part, err = s.readPart(p); err != nil {
				return err
			}
		}
		if err := stored.Attach(p.Slot, part.content); err != nil {
			return err
		}
		// Cached even if a later part can't be read: the next call continues
		// from there.
		s.cachePart(p.Slot, part)
		current[p.Slot] = part
	}
	s.partCache = current
	return nil
}

func (s *shard) readPart(p claim.Part) (sealedPart, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.store.opts.CallTimeout)
	defer cancel()
	s.store.metrics.reads.Inc(1)
	object, err := s.store.opts.Platform.Get(ctx, port.ObjectClaims, s.partName(p.Slot))
	if err != nil {
		return sealedPart{}, err
	}
	if object.Version != p.Version {
		return sealedPart{}, errPartReplaced
	}
	content, err := claim.DecodeSealed(object.Value)
	return sealedPart{version: p.Version, content: content}, err
}

// attachCached attaches the cached parts without reading any, and reports
// whether the shard then has all of its parts.
func (s *shard) attachCached(stored *claim.Shard) bool {
	for _, p := range stored.Parts() {
		part := s.partCache[p.Slot]
		if part.version != p.Version || stored.Attach(p.Slot, part.content) != nil {
			return false
		}
	}
	return stored.Complete()
}
