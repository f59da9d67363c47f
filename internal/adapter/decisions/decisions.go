// Package decisions logs every decision as one JSON line and keeps recent
// decisions in bounded memory, so that operators can query their reasons.
package decisions

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Sizes of the decision store. Older decisions are only in the log.
const (
	requestShards = 32
	// DefaultCapacity is the number of decisions on requests that are kept. For
	// decisions on other subjects, a quarter of this number is kept in addition.
	DefaultCapacity = 8192
	otherFraction   = 4
)

const subjectRequest = "request"

// Store implements port.DecisionSink and port.DecisionSource. Decisions on
// subjects other than requests have a separate ring: in a shared one, a minute
// of requests would evict the reason why a configuration was refused.
type Store struct {
	logger   *log.Logger
	requests [requestShards]shard
	others   shard
}

type shard struct {
	mu   sync.Mutex
	ring []port.DecisionRecord
	next int
	full bool
}

// New returns a store that keeps about capacity decisions on requests.
func New(logger *log.Logger, capacity int) *Store {
	s := &Store{logger: logger}
	perShard := max(1, capacity/requestShards)
	for i := range s.requests {
		s.requests[i].ring = make([]port.DecisionRecord, perShard)
	}
	s.others.ring = make([]port.DecisionRecord, max(1, capacity/otherFraction))
	return s
}

// NewID returns a new decision ID.
func NewID() string { return uuid.NewString() }

// Record logs and stores the decision. If its ID is empty, it sets one.
func (s *Store) Record(d *port.DecisionRecord) {
	if d.ID == "" {
		d.ID = NewID()
	}
	jsonlog.LogDecision(s.logger, d)
	s.shardOf(d.Subject, d.SubjectID).add(d)
}

// Explain returns the stored decisions on a subject, newest last.
func (s *Store) Explain(subject, subjectID string) []port.DecisionRecord {
	return s.shardOf(subject, subjectID).decisionsOn(subject, subjectID)
}

func (s *Store) shardOf(subject, subjectID string) *shard {
	if subject != subjectRequest {
		return &s.others
	}
	return &s.requests[xxhash.Sum64String(subjectID)%requestShards]
}

func (s *shard) add(d *port.DecisionRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := *d
	stored.Candidates = slices.Clone(d.Candidates)
	s.ring[s.next] = stored
	s.next++
	if s.next == len(s.ring) {
		s.next = 0
		s.full = true
	}
}

func (s *shard) decisionsOn(subject, subjectID string) []port.DecisionRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []port.DecisionRecord
	if s.full {
		found = appendMatches(found, s.ring[s.next:], subject, subjectID)
	}
	return appendMatches(found, s.ring[:s.next], subject, subjectID)
}

func appendMatches(to, from []port.DecisionRecord, subject, subjectID string) []port.DecisionRecord {
	for i := range from {
		if from[i].Subject == subject && from[i].SubjectID == subjectID {
			to = append(to, from[i])
		}
	}
	return to
}
