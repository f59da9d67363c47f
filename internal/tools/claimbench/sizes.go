package main

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type sizesCommand struct {
	Sizes []int `long:"claims" default:"500" default:"1000" default:"2000" default:"4000" default:"8000" description:"claims in the shard"`
}

var limits = claim.Limits{MaxBytes: 1 << 30, Retention: time.Hour, TombstoneRetention: 24 * time.Hour, NotRunRetention: time.Minute}

// Execute measures shards of several sizes, first filled with claims and then
// with the tombstones of the expired claims.
func (c *sizesCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("claims", "value bytes", "bytes/claim", "heap bytes/claim", "one commit, ms", "commit ns/claim",
		"value bytes as tombstones", "bytes/tombstone", "heap bytes/tombstone")
	for _, n := range c.Sizes {
		row, err := measureSize(n)
		if err != nil {
			return err
		}
		if err := table.Append(row); err != nil {
			return err
		}
	}
	return table.Render()
}

func measureSize(n int) ([]any, error) {
	now := time.Now()
	before := heapBytes()
	s := claim.NewShard()
	fill(s, n, now)
	perClaim := float64(int64(heapBytes())-int64(before)) / float64(n)
	value, err := s.EncodeValue()
	if err != nil {
		return nil, err
	}
	commit, err := timeCommit(s, now)
	if err != nil {
		return nil, err
	}
	size := len(value)
	before = heapBytes()
	expired, err := claim.DecodeValue(value)
	if err != nil {
		return nil, err
	}
	expired.Prune(now.Add(3*time.Hour), &limits)
	perTombstone := float64(int64(heapBytes())-int64(before)) / float64(n)
	runtime.KeepAlive(value)
	tombstones, err := expired.EncodeValue()
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(s)
	runtime.KeepAlive(expired)
	return []any{
		n, size, bytesEach(size, n), fmt.Sprintf("%.0f", perClaim),
		fmt.Sprintf("%.2f", commit.Seconds()*1000), fmt.Sprintf("%.0f", float64(commit.Nanoseconds())/float64(n)),
		len(tombstones), bytesEach(len(tombstones), n), fmt.Sprintf("%.0f", perTombstone),
	}, nil
}

func bytesEach(bytes, n int) string { return fmt.Sprintf("%.1f", float64(bytes)/float64(n)) }

// fill adds n settled claims whose request IDs have the format of the routers.
func fill(s *claim.Shard, n int, now time.Time) {
	for i := range n {
		e := port.ClaimEntry{
			KeyHash: claim.KeyHash(uuid.New()), AttemptID: uuid.NewString(),
			RequestID: fmt.Sprintf("router-%d.%s", i%6, uuid.NewString()),
		}
		at := now.Add(time.Duration(i) * time.Millisecond)
		s.Claim(at, e, &limits)
		s.Settle(at, port.ClaimState{
			KeyHash: e.KeyHash, RequestID: e.RequestID, AttemptID: e.AttemptID, Outcome: port.ClaimDone, StatusCode: 200,
		}, &limits)
	}
}

// timeCommit returns the processing time of a keeper for one write: copy, prune,
// claim and encode.
func timeCommit(s *claim.Shard, now time.Time) (time.Duration, error) {
	const rounds = 20
	start := time.Now()
	for range rounds {
		next := s.Clone()
		next.Prune(now, &limits)
		fill(next, 1, now)
		if _, err := next.EncodeValue(); err != nil {
			return 0, err
		}
	}
	return time.Since(start) / rounds, nil
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
