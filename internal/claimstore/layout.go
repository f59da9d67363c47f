package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// layoutName is the object that stores the number of shards and the retention.
// The first keeper creates it and all keepers use it: two keepers with
// different numbers of shards would store one key in two objects and grant it
// twice.
const layoutName = "layout"

const layoutFormat = 1

// maxShards is the largest number of shards that a stored layout may have.
const maxShards = 4096

// ErrLayout means that this release can't use the stored layout.
var ErrLayout = merry.Sentinel("claims: the stored layout can't be used")

type storedLayout struct {
	FormatVersion            int   `json:"format_version"`
	Shards                   int   `json:"shards"`
	RetentionMillis          int64 `json:"retention_ms"`
	TombstoneRetentionMillis int64 `json:"tombstone_retention_ms"`
}

// layout is the decoded layout. The stored retentions replace those of the
// options' limits.
type layout struct {
	shards int
	limits claim.Limits
}

// openShards returns the shards. The first call reads the layout from the
// platform, or creates it.
func (s *Store) openShards(ctx context.Context) ([]*shard, error) {
	if shards := s.openedShards(); shards != nil {
		return shards, nil
	}
	opened := s.flight.DoChan(layoutName, func() (any, error) { return s.openLayout() })
	select {
	case r := <-opened:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.([]*shard), nil
	case <-ctx.Done():
		return nil, merry.Prepend(port.ErrPlatformUnavailable, ctx.Err().Error())
	}
}

func (s *Store) openedShards() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards
}

func (s *Store) openLayout() ([]*shard, error) {
	if shards := s.openedShards(); shards != nil {
		return shards, nil
	}
	l, err := s.readLayout()
	if err != nil {
		return nil, err
	}
	shards := make([]*shard, l.shards)
	for i := range shards {
		shards[i] = &shard{store: s, name: fmt.Sprintf("shard-%04d", i), limits: &l.limits}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.layout = l
	s.shards = shards
	return shards, nil
}

func (s *Store) readLayout() (*layout, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.opts.CallTimeout)
	defer cancel()
	object, err := s.opts.Platform.Get(ctx, port.ObjectClaims, layoutName)
	if errors.Is(err, port.ErrNotFound) {
		object, err = s.createLayout(ctx)
	}
	if err != nil {
		return nil, err
	}
	return s.decodeLayout(object.Value)
}

func (s *Store) createLayout(ctx context.Context) (port.Object, error) {
	value, err := json.Marshal(storedLayout{
		FormatVersion:            layoutFormat,
		Shards:                   s.opts.Shards,
		RetentionMillis:          s.opts.Limits.Retention.Milliseconds(),
		TombstoneRetentionMillis: s.opts.Limits.TombstoneRetention.Milliseconds(),
	})
	if err != nil {
		return port.Object{}, merry.Prepend(err, "claims")
	}
	object, err := s.opts.Platform.Put(ctx, port.ObjectClaims, layoutName, 0, value)
	if err == nil {
		return object, nil
	}
	// Use what is stored: another keeper may have created the layout, or this
	// write took effect and only its reply was lost.
	return s.opts.Platform.Get(ctx, port.ObjectClaims, layoutName)
}

func (s *Store) decodeLayout(value json.RawMessage) (*layout, error) {
	var stored storedLayout
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, merry.Prepend(ErrLayout, err.Error())
	}
	if stored.FormatVersion > layoutFormat {
		return nil, claim.ErrNewerFormat
	}
	if stored.Shards < 1 || stored.Shards > maxShards || stored.RetentionMillis < 1 {
		return nil, merry.Prependf(ErrLayout, "%d shards, retention %d ms", stored.Shards, stored.RetentionMillis)
	}
	limits := s.opts.Limits
	limits.Retention = time.Duration(stored.RetentionMillis) * time.Millisecond
	limits.TombstoneRetention = time.Duration(stored.TombstoneRetentionMillis) * time.Millisecond
	return &layout{shards: stored.Shards, limits: limits}, nil
}

// readShard reads a shard from the platform. A shard that doesn't exist is
// returned empty, with version zero.
func (s *Store) readShard(name string) (*claim.Shard, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.CallTimeout)
	defer cancel()
	s.metrics.reads.Inc(1)
	object, err := s.opts.Platform.Get(ctx, port.ObjectClaims, name)
	if errors.Is(err, port.ErrNotFound) {
		return claim.NewShard(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored, err := claim.DecodeValue(object.Value)
	return stored, object.Version, err
}

// putObject writes an object if its stored version is expect.
func (s *Store) putObject(name string, expect uint64, value json.RawMessage) (port.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.CallTimeout)
	defer cancel()
	s.metrics.writes.Inc(1)
	s.metrics.writtenBytes.Inc(int64(len(value)))
	return s.opts.Platform.Put(ctx, port.ObjectClaims, name, expect, value)
}
