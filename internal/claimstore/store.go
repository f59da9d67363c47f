// Package claimstore stores at-most-once claims in objects of the platform for
// a keeper. It commits the claims of a shard in groups: those that arrive
// during one write are committed together by the next. Any keeper may serve
// any shard at any time, as only the platform's compare-and-set decides which
// write succeeds; a preferred keeper per shard merely makes the groups larger.
package claimstore

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Defaults of Options.
const (
	DefaultShards             = 16
	DefaultMaxBytes           = 700 << 10
	DefaultRetention          = time.Hour
	DefaultTombstoneRetention = 24 * time.Hour
	DefaultNotRunMemory       = 5 * time.Minute
	DefaultCallTimeout        = 400 * time.Millisecond
	DefaultWritesPerSecond    = 100
	DefaultWriteBurst         = 10
	DefaultSettleDelay        = 2 * time.Second
	DefaultQueueLimit         = 4096
	DefaultSealBytes          = 128 << 10
)

// Options configures a Store. Only Platform is required.
type Options struct {
	Platform port.Platform
	// Now returns the wall-clock time by which claims are dated.
	Now func() time.Time
	// Shards and the retentions in Limits apply if the platform has no layout
	// yet. A stored layout overrides them, so that all keepers map a key to
	// the same shard.
	Shards int
	Limits claim.Limits
	// CallTimeout bounds each call to the platform.
	CallTimeout time.Duration
	// WritesPerSecond limits the rate of claim writes by all keepers together;
	// each keeper gets an equal share. Claims that wait for it are written as
	// one group. WriteBurst applies to each keeper.
	WritesPerSecond float64
	WriteBurst      int
	// Keepers returns the number of live keepers, including this one; nil
	// means one.
	Keepers func() int
	// SettleDelay is how long outcomes other than not_run wait to be written
	// together with a claim.
	SettleDelay time.Duration
	// QueueLimit bounds the queued claims and outcomes of one shard.
	QueueLimit int
	// Logger gets a line for each failed commit, seal and opening of the
	// layout; nil disables logging.
	Logger *log.Logger
	// Metrics is the registry of the counters; with nil they are not exported.
	Metrics gometrics.Registry
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Keepers == nil {
		o.Keepers = func() int { return 1 }
	}
	if o.Metrics == nil {
		o.Metrics = gometrics.NewRegistry()
	}
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Limits.MaxBytes, DefaultMaxBytes)
	setDefault(&o.Limits.Retention, DefaultRetention)
	setDefault(&o.Limits.TombstoneRetention, DefaultTombstoneRetention)
	setDefault(&o.Limits.NotRunRetention, DefaultNotRunMemory)
	setDefault(&o.Limits.SealBytes, DefaultSealBytes)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&o.WriteBurst, DefaultWriteBurst)
	setDefault(&o.SettleDelay, DefaultSettleDelay)
	setDefault(&o.QueueLimit, DefaultQueueLimit)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Store decides on claims and stores them on the platform. It is safe for
// concurrent use.
type Store struct {
	opts         Options
	writeLimiter *rate.Limiter
	flight       singleflight.Group
	metrics      *counters

	mu     sync.Mutex
	layout *layout
	shards []*shard
}

// New returns a Store. It calls the platform only when first used.
func New(o Options) *Store {
	o.setDefaults()
	s := &Store{
		opts:         o,
		writeLimiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WriteBurst),
		metrics:      newCounters(o.Metrics),
	}
	fullest := gometrics.NewFunctionalGauge(s.fullestShard)
	_ = o.Metrics.Register("claims_fullest_shard_bytes", fullest)
	return s
}

// fullestShard returns the size of the largest shard that this keeper has
// written, before base64. Limits.MaxBytes bounds that size.
func (s *Store) fullestShard() int64 {
	fullest := int64(0)
	for _, shard := range s.openedShards() {
		fullest = max(fullest, shard.bytes.Load())
	}
	return fullest
}

// waitForWrite waits until the rate limit allows a write. The limit is divided
// by the number of keepers, so that the platform's total rate of claim writes
// stays the same.
func (s *Store) waitForWrite(ctx context.Context) error {
	share := rate.Limit(s.opts.WritesPerSecond / float64(max(s.opts.Keepers(), 1)))
	if s.writeLimiter.Limit() != share {
		s.writeLimiter.SetLimit(share)
	}
	return s.writeLimiter.Wait(ctx)
}

// Retention returns how long a claim's outcome is remembered. The stored
// layout's value applies once it has been read.
func (s *Store) Retention() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.layout != nil {
		return s.layout.limits.Retention
	}
	return s.opts.Limits.Retention
}

// Claim decides on the entries in order. It waits until the platform has
// answered or the context is done.
func (s *Store) Claim(ctx context.Context, entries []port.ClaimEntry) []claim.Result {
	ops := make([]*operation, len(entries))
	for i := range entries {
		ops[i] = newClaim(ctx, entries[i])
	}
	s.submit(ctx, ops)
	results := make([]claim.Result, len(ops))
	for i, op := range ops {
		results[i] = op.wait(ctx).result
		s.metrics.countVerdict(results[i])
	}
	return results
}

// Settle records outcomes and returns how many of them the platform has
// stored.
func (s *Store) Settle(ctx context.Context, states []port.ClaimState) int {
	ops := make([]*operation, len(states))
	for i := range states {
		ops[i] = newSettle(ctx, states[i])
	}
	s.submit(ctx, ops)
	settled := 0
	for _, op := range ops {
		if op.wait(ctx).settled {
			settled++
		}
	}
	return settled
}

// Lookup reads a key's state from the platform, never from a cache.
func (s *Store) Lookup(ctx context.Context, key claim.KeyHash) (port.ClaimState, bool, error) {
	shards, err := s.openShards(ctx)
	if err != nil {
		return port.ClaimState{}, false, err
	}
	name := shards[claim.ShardOf(key, len(shards))].name
	value, err, _ := s.flight.Do(name, func() (any, error) {
		stored, _, err := s.readShard(name)
		return stored, err
	})
	if err != nil {
		return port.ClaimState{}, false, err
	}
	st, found := value.(*claim.Shard).Lookup(key)
	return st, found, nil
}

func (s *Store) submit(ctx context.Context, ops []*operation) {
	shards, err := s.openShards(ctx)
	if err != nil {
		s.recordFailure("layout", err)
		for _, op := range ops {
			op.refuse(reasonOf(err))
		}
		return
	}
	for _, op := range ops {
		shards[claim.ShardOf(op.key(), len(shards))].enqueue(op)
	}
}

// recordFailure counts and logs a platform failure. The log line has the name
// of the object, but never a key.
func (s *Store) recordFailure(name string, err error) {
	s.metrics.failures.Inc(1)
	if s.opts.Logger == nil {
		return
	}
	s.opts.Logger.Warn().Str("event", "claims_write_failed").Str("object", name).Err(err).Msg("")
}
