package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// existenceSource reads a kind of objects that only the platform's own
// operators write: a record of the kind is in force as long as its object
// exists.
type existenceSource struct {
	recordSource
	// deleteAfter is the time until which no record is deleted after a restore
	// of the store; by then operators' lost writes have been repeated. It is
	// zero if there was no restore.
	deleteAfter time.Time
	// delayedDeletes tracks the delayed deletions of records that lists left
	// out.
	delayedDeletes sync.WaitGroup
}

// watchExistence keeps the records of such a kind current.
func (k *Keeper) watchExistence(ctx context.Context, kind string) error {
	s := &existenceSource{recordSource: recordSource{keeper: k, kind: kind}}
	defer s.delayedDeletes.Wait()
	return k.follow(ctx, kind, s)
}

// list applies a full list. Records that it leaves out are deleted. After a
// restore of the store from a backup this is delayed: operators' writes since
// the backup are made again, and deleting those records in between would revoke
// what is still in force.
func (s *existenceSource) list(ctx context.Context, _ bool) (port.StoreRevision, error) {
	k := s.keeper
	objects, revision, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	s.apply(objects)
	missing, now := s.unlisted(objects, revision), time.Now()
	if s.updateEra(revision.Era()) {
		s.deleteAfter = now.Add(k.options.DelistGrace)
	}
	if remaining := s.deleteAfter.Sub(now); remaining > 0 {
		s.delayedDeletes.Go(func() {
			if pause(ctx, remaining) == nil {
				s.markDeleted(missing, revision)
			}
		})
	} else {
		s.markDeleted(missing, revision)
	}
	k.markListed(s.kind)
	return revision, nil
}

// updateEra records the era of a list, and reports whether it began with a
// restore after records of the kind became known.
func (s *existenceSource) updateEra(era uint64) bool {
	previous := s.era
	s.era = era
	if previous == 0 {
		// On the first list after a start, other daemons may already have sent
		// records of an earlier era.
		return s.holdsEarlierEra(era)
	}
	return previous != era
}

func (s *existenceSource) holdsEarlierEra(era uint64) bool {
	for _, r := range s.held() {
		if port.StoreRevision(r.Version).Era() < era {
			return true
		}
	}
	return false
}

// held returns the records of the kind that are in force.
func (s *existenceSource) held() []port.Record {
	var out []port.Record
	for _, r := range s.keeper.node.CompleteRecords() {
		if r.Kind == s.kind && !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

// unlisted returns the names of the records in force that a list at a revision
// leaves out.
func (s *existenceSource) unlisted(objects []port.Object, revision port.StoreRevision) []string {
	listed := make(map[string]bool, len(objects))
	for i := range objects {
		listed[objects[i].Name] = true
	}
	var out []string
	for _, r := range s.held() {
		if !listed[r.Name] && port.StoreRevision(r.Version) <= revision {
			out = append(out, r.Name)
		}
	}
	return out
}

// markDeleted deletes records as of a revision. A record that was written later
// has a larger version and stays.
func (s *existenceSource) markDeleted(names []string, revision port.StoreRevision) {
	for _, name := range names {
		s.keeper.node.PutRecord(port.Record{Kind: s.kind, Name: name, Version: uint64(revision), Deleted: true})
	}
}
