package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// presentSource reads a kind of objects that only the platform's own operators
// write: a record of it is in force as long as its object exists, and ends with
// it.
type presentSource struct {
	recordSource
	// unsettledUntil is when what operators wrote before a restore of the store is
	// written again, zero for no restore.
	unsettledUntil time.Time
	// sweeps are the delayed looks at what lists left out.
	sweeps sync.WaitGroup
}

// watchPresentForever keeps such a kind current.
func (k *Keeper) watchPresentForever(ctx context.Context, kind string) error {
	s := &presentSource{recordSource: recordSource{keeper: k, kind: kind}}
	defer s.sweeps.Wait()
	return k.follow(ctx, kind, s)
}

// list takes a full list. What it leaves out has ended, but for a while after the
// store came back from a copy: what operators wrote since the copy is written
// again, and ending it in between would take back what holds.
func (s *presentSource) list(ctx context.Context, _ bool) (port.StoreRevision, error) {
	k := s.keeper
	objects, revision, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	s.apply(objects)
	absent, now := s.absent(objects, revision), time.Now()
	if s.restored(revision.Era()) {
		s.unsettledUntil = now.Add(k.options.LapseGrace)
	}
	if left := s.unsettledUntil.Sub(now); left > 0 {
		s.sweeps.Go(func() {
			if pause(ctx, left) == nil {
				s.end(absent, revision)
			}
		})
	} else {
		s.end(absent, revision)
	}
	k.listedInFull(s.kind)
	return revision, nil
}

// restored notes the era of a list, and reports whether it began with a restore
// since records of the kind were heard of.
func (s *presentSource) restored(era uint64) bool {
	before := s.era
	s.era = era
	if before == 0 {
		// The first list of this daemon; others may hold records of the era before.
		return s.holdsBefore(era)
	}
	return before != era
}

func (s *presentSource) holdsBefore(era uint64) bool {
	for _, r := range s.held() {
		if port.StoreRevision(r.Version).Era() < era {
			return true
		}
	}
	return false
}

// held are the records of the kind in force.
func (s *presentSource) held() []port.Record {
	var out []port.Record
	for _, r := range s.keeper.node.Whole() {
		if r.Kind == s.kind && !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

// absent names the records in force that a list as of a revision leaves out.
func (s *presentSource) absent(objects []port.Object, revision port.StoreRevision) []string {
	named := make(map[string]bool, len(objects))
	for i := range objects {
		named[objects[i].Name] = true
	}
	var out []string
	for _, r := range s.held() {
		if !named[r.Name] && port.StoreRevision(r.Version) <= revision {
			out = append(out, r.Name)
		}
	}
	return out
}

// end ends records as of a revision. One that was written since has a larger
// version and stays.
func (s *presentSource) end(names []string, revision port.StoreRevision) {
	for _, name := range names {
		s.keeper.node.PutRecord(port.Record{Kind: s.kind, Name: name, Version: uint64(revision), Deleted: true})
	}
}
