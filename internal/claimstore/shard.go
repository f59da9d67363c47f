package claimstore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxTries bounds how often the commit of one group is tried. It is tried
// again after a conflict with another keeper, after a lost reply, and if
// nothing changed in a cached shard.
const maxTries = 5

var errEncode = merry.Sentinel("claims: the shard can't be encoded")

// maxQueueTime bounds how long a group waits for the write rate limit.
const maxQueueTime = time.Second

// shard commits operations to one platform object, one group at a time.
type shard struct {
	store  *Store
	name   string
	limits *claim.Limits

	mu             sync.Mutex
	queue          []*operation
	running        bool
	startScheduled bool

	// bytes is the size of the shard at its last write.
	bytes atomic.Int64

	// The fields below are used only by the commit that is running.

	// stored is the last known content of the shard, at version; nil if it has
	// to be read.
	stored  *claim.Shard
	version uint64
	// partCache holds the parts that were read or written, by slot.
	partCache map[int]sealedPart
}

func (s *shard) enqueue(op *operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.store.opts.QueueLimit {
		op.refuse(claim.ReasonBusy)
		return
	}
	s.queue = append(s.queue, op)
	if op.urgent() {
		s.start()
		return
	}
	if !s.startScheduled {
		s.startScheduled = true
		time.AfterFunc(s.store.opts.SettleDelay, s.startScheduledRun)
	}
}

func (s *shard) startScheduledRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startScheduled = false
	s.start()
}

// start starts a run unless one is running or the queue is empty. The caller
// holds mu.
func (s *shard) start() {
	if s.running || len(s.queue) == 0 {
		return
	}
	s.running = true
	go s.run()
}

func (s *shard) run() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), maxQueueTime)
		waitErr := s.store.waitForWrite(ctx)
		cancel()
		group := s.takeQueue()
		if len(group) == 0 {
			return
		}
		if waitErr != nil {
			refuseAll(group, claim.ReasonBusy)
			continue
		}
		s.seal()
		s.commit(group)
	}
}

// takeQueue empties the queue and returns its operations. If there are none,
// it ends the run.
func (s *shard) takeQueue() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.queue
	s.queue = nil
	if len(group) == 0 {
		s.running = false
	}
	return group
}

// commit writes one group with a single compare-and-set and responds to its
// operations.
func (s *shard) commit(group []*operation) {
	// fresh: stored was read after the group was taken from the queue.
	// unsettled: a write of this group may have taken effect although its
	// reply was lost.
	fresh, unsettled := false, false
	for range maxTries {
		if s.stored == nil {
			if err := s.load(); err != nil {
				s.failGroup(group, unsettled, err)
				return
			}
			fresh = true
		}
		next := s.stored.Clone()
		responses := s.apply(next, group)
		if !next.Changed() {
			// Don't refuse claims based on a cached shard: another keeper may
			// have freed the key since. Read the shard again.
			if fresh {
				respondAll(group, responses)
				return
			}
			s.stored = nil
			continue
		}
		err := s.write(next)
		switch {
		case err == nil:
			respondAll(group, responses)
			return
		case errors.Is(err, port.ErrConflict):
			fresh = s.stored != nil
			s.store.metrics.conflicts.Inc(1)
		case nothingWritten(err):
			s.failGroup(group, unsettled, err)
			return
		default:
			// The reply was lost: read the shard again and check whether it
			// has the attempts of this group.
			s.stored = nil
			unsettled = true
		}
	}
	s.failGroup(group, unsettled, port.ErrConflict)
}

func (s *shard) apply(next *claim.Shard, group []*operation) []response {
	now := s.store.opts.Now()
	next.Prune(now, s.limits)
	responses := make([]response, len(group))
	// Record outcomes first: a not_run frees its key for a claim of the same
	// group.
	for i, op := range group {
		if op.state != nil {
			responses[i].settled = next.Settle(now, *op.state, s.limits)
		}
	}
	for i, op := range group {
		switch {
		case op.entry == nil:
		case op.ctx.Err() != nil:
			responses[i].result = overdue
		default:
			responses[i].result = next.Claim(now, *op.entry, s.limits)
		}
	}
	return responses
}

func (s *shard) load() error {
	stored, version, err := s.store.readShard(s.name)
	if err != nil {
		return err
	}
	if err := s.readParts(stored); err != nil {
		return err
	}
	s.stored, s.version = stored, version
	return nil
}

// write replaces the stored shard with next. After a conflict, s.stored is the
// shard that the platform returned, or nil if it has to be read.
func (s *shard) write(next *claim.Shard) error {
	value, err := next.EncodeValue()
	if err != nil {
		return merry.Wrap(errEncode, merry.WithCause(err))
	}
	object, err := s.store.putObject(s.name, s.version, value)
	if errors.Is(err, port.ErrConflict) {
		s.adopt(&object)
		return err
	}
	if err != nil {
		return err
	}
	s.stored, s.version = next, object.Version
	s.bytes.Store(int64(next.Bytes()))
	return nil
}

func (s *shard) adopt(current *port.Object) {
	s.stored = nil
	if current.Version == 0 {
		return
	}
	stored, err := claim.DecodeValue(current.Value)
	if err != nil || !s.attachCached(stored) {
		return
	}
	s.stored, s.version = stored, current.Version
}

func (s *shard) failGroup(group []*operation, unsettled bool, err error) {
	s.store.recordFailure(s.name, err)
	reason := reasonOf(err)
	if unsettled {
		reason = claim.ReasonUnsettled
	}
	refuseAll(group, reason)
}

// nothingWritten reports whether a failed write is known to have had no
// effect. Any other error counts as a lost reply.
func nothingWritten(err error) bool {
	return errors.Is(err, port.ErrPlatformUnavailable) || errors.Is(err, port.ErrThrottled) ||
		errors.Is(err, port.ErrTooLarge) || errors.Is(err, errEncode)
}

func reasonOf(err error) claim.Reason {
	switch {
	case errors.Is(err, port.ErrTooLarge):
		return claim.ReasonFull
	case errors.Is(err, port.ErrConflict):
		return claim.ReasonBusy
	case errors.Is(err, claim.ErrNewerFormat), errors.Is(err, claim.ErrCorrupt):
		return claim.ReasonFormat
	default:
		return claim.ReasonPlatform
	}
}

// overdue is the result of a claim whose context has ended. It prevents a
// keeper that was frozen from claiming keys for attempts that were abandoned.
var overdue = claim.Result{Verdict: port.ClaimUnavailable, Reason: claim.ReasonOverdue}

func respondAll(group []*operation, responses []response) {
	for i, op := range group {
		op.finish(responses[i])
	}
}

func refuseAll(group []*operation, r claim.Reason) {
	for _, op := range group {
		op.refuse(r)
	}
}
