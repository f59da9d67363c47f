package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/claimstore"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type sustainedCommand struct {
	Rates []float64     `long:"rate" default:"0.5" default:"0.7" default:"0.75" default:"1" default:"1.5" default:"1.9" default:"2" default:"2.2" default:"2.5" description:"claims per second at one shard"`
	For   time.Duration `long:"for" default:"27h" description:"simulated time of the claims"`
	Group time.Duration `long:"group" default:"1m" description:"simulated time whose claims are combined into one write"`
}

// noSealing is the seal size that disables sealed parts: all tombstones stay in
// the shard.
const noSealing = -1

// Execute fills one shard at each rate, with and without sealed parts, on a
// simulated clock and an in-memory platform.
func (c *sustainedCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("claims/s", "sealed parts", "claims", "refused", "head value bytes", "parts", "all value bytes",
		"written bytes/claim", "writes", "cold read, ms")
	for _, rate := range c.Rates {
		for _, sealBytes := range []int{noSealing, claimstore.DefaultSealBytes} {
			row, err := c.measure(rate, sealBytes)
			if err != nil {
				return err
			}
			if err := table.Append(row); err != nil {
				return err
			}
		}
	}
	return table.Render()
}

func (c *sustainedCommand) measure(rate float64, sealBytes int) ([]any, error) {
	now := time.Now()
	p := newMemoryPlatform()
	registry := gometrics.NewRegistry()
	options := claimstore.Options{
		Platform: p, Shards: 1, Now: func() time.Time { return now }, Metrics: registry,
		WritesPerSecond: 1e6, WriteBurst: 1e6, QueueLimit: 1 << 20,
		Limits: claim.Limits{SealBytes: sealBytes},
	}
	store := claimstore.New(options)
	sent, refused, due := 0, 0, 0.0
	for end := now.Add(c.For); now.Before(end); now = now.Add(c.Group) {
		due += rate * c.Group.Seconds()
		entries := newEntries(int(due) - sent)
		sent += len(entries)
		for _, r := range store.Claim(context.Background(), entries) {
			if r.Verdict != port.ClaimGranted {
				refused++
			}
		}
	}
	written := gometrics.GetOrRegisterCounter("claims_platform_written_bytes", registry).Count()
	writes := gometrics.GetOrRegisterCounter("claims_platform_writes_count", registry).Count()
	cold, err := timeColdSettle(&options)
	head, parts, all := p.sizes()
	return []any{
		rate, sealBytes != noSealing, sent, refused, head, parts, all, fmt.Sprintf("%.0f", float64(written)/float64(sent)),
		writes, fmt.Sprintf("%.1f", cold.Seconds()*1000),
	}, err
}

func newEntries(n int) []port.ClaimEntry {
	entries := make([]port.ClaimEntry, n)
	for i := range entries {
		entries[i] = port.ClaimEntry{
			KeyHash: claim.KeyHash(uuid.New()), AttemptID: uuid.NewString(),
			RequestID: fmt.Sprintf("router-%d.%s", i%6, uuid.NewString()),
		}
	}
	return entries
}

// timeColdSettle returns the time of the first settlement of a keeper that has
// not read the shard yet. The in-memory platform adds no reply time.
func timeColdSettle(o *claimstore.Options) (time.Duration, error) {
	fresh := *o
	fresh.Metrics = gometrics.NewRegistry()
	fresh.SettleDelay = time.Nanosecond
	store := claimstore.New(fresh)
	start := time.Now()
	st := port.ClaimState{KeyHash: claim.KeyHash(uuid.New()), AttemptID: uuid.NewString(), Outcome: port.ClaimNotRun}
	if store.Settle(context.Background(), []port.ClaimState{st}) != 1 {
		return 0, port.ErrPlatformUnavailable
	}
	return time.Since(start), nil
}

// memoryPlatform is an object store with compare-and-set.
type memoryPlatform struct {
	mu      sync.Mutex
	version uint64
	objects map[string]port.Object
}

func newMemoryPlatform() *memoryPlatform { return &memoryPlatform{objects: map[string]port.Object{}} }

// sizes returns the stored bytes of the shard's head, the number of its sealed
// parts, and the stored bytes of both together.
func (p *memoryPlatform) sizes() (head, parts, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, o := range p.objects {
		switch name {
		case "layout":
			continue
		case "shard-0000":
			head = len(o.Value)
		default:
			parts++
		}
		all += len(o.Value)
	}
	return head, parts, all
}

func (p *memoryPlatform) Get(_ context.Context, _, name string) (port.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, found := p.objects[name]
	if !found {
		return o, port.ErrNotFound
	}
	return o, nil
}

func (p *memoryPlatform) Put(_ context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(value) > httpplatform.MaxValueBytes {
		return port.Object{}, port.ErrTooLarge
	}
	if p.objects[name].Version != expect {
		return p.objects[name], port.ErrConflict
	}
	p.version++
	o := port.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects[name] = o
	return o, nil
}

func (p *memoryPlatform) List(context.Context, string) ([]port.Object, port.StoreRevision, error) {
	return nil, 0, port.ErrPlatformUnavailable
}

func (p *memoryPlatform) Watch(context.Context, string, port.StoreRevision, time.Duration) ([]port.Object, port.StoreRevision, error) {
	return nil, 0, port.ErrPlatformUnavailable
}

func (p *memoryPlatform) Hosts(context.Context) ([]port.HostEntry, error) {
	return nil, port.ErrPlatformUnavailable
}
