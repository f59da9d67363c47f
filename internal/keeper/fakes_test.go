package keeper

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/memplatform"
)

// callResult is the result of one call to the fake platform.
type callResult int

const (
	resultOK callResult = iota
	// resultDown: the call is refused and nothing is written.
	resultDown
	// resultReplyLost: the value is written, but the reply is lost.
	resultReplyLost
	// resultNotDelivered: the reply is lost and nothing is written.
	resultNotDelivered
	// resultReplyUnusable: the value is written, and the reply is an error of another kind.
	resultReplyUnusable
)

// fakePlatform is an in-memory platform with a preset result for each call.
type fakePlatform struct {
	*memplatform.Store
	mu         sync.Mutex
	putResults []callResult
	getResults []callResult
	// beforePut is called before each write, without the lock held.
	beforePut func()
	hosts     []port.HostEntry
}

func newFakePlatform() *fakePlatform { return &fakePlatform{Store: memplatform.New()} }

func nextResult(results *[]callResult) callResult {
	if len(*results) == 0 {
		return resultOK
	}
	f := (*results)[0]
	*results = (*results)[1:]
	return f
}

func (p *fakePlatform) Get(ctx context.Context, kind, name string) (port.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if nextResult(&p.getResults) != resultOK {
		return port.Object{}, port.ErrPlatformUnavailable
	}
	return p.Store.Get(ctx, kind, name)
}

func (p *fakePlatform) Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	if p.beforePut != nil {
		p.beforePut()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f := nextResult(&p.putResults)
	switch f {
	case resultDown:
		return port.Object{}, port.ErrPlatformUnavailable
	case resultNotDelivered:
		return port.Object{}, port.ErrOutcomeUnknown
	}
	o, err := p.Store.Put(ctx, kind, name, expect, value)
	switch f {
	case resultReplyLost:
		return port.Object{}, port.ErrOutcomeUnknown
	case resultReplyUnusable:
		return port.Object{}, port.ErrRevisionRange
	}
	return o, err
}

func (p *fakePlatform) List(ctx context.Context, kind string) ([]port.Object, port.StoreRevision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if nextResult(&p.getResults) != resultOK {
		return nil, 0, port.ErrPlatformUnavailable
	}
	return p.Store.List(ctx, kind)
}

func (p *fakePlatform) Watch(ctx context.Context, _ string, revision port.StoreRevision, _ time.Duration) ([]port.Object, port.StoreRevision, error) {
	<-ctx.Done()
	return nil, revision, port.ErrPlatformUnavailable
}

func (p *fakePlatform) Hosts(context.Context) ([]port.HostEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, nil
}

// writeConcurrently stores a write of a second operator at another keeper.
func (p *fakePlatform) writeConcurrently(c *Change, writeID string) {
	ctx := context.Background()
	before := &record.Envelope{Deleted: true}
	current, err := p.Store.Get(ctx, c.Kind, c.Name)
	if err == nil {
		before, _ = record.DecodeEnvelope(current.Value)
	}
	entry := &record.AuditEntry{WriteID: writeID, BasedOn: current.Version, Action: record.ActionRevise}
	if _, err := p.Store.Put(ctx, c.Kind, c.Name, current.Version, before.Next(c.Body, entry).Encode()); err != nil {
		panic(err)
	}
}

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func newTestKeeper(p port.Platform) (*Keeper, *fakes.Decisions) {
	decisions := &fakes.Decisions{}
	return New(Options{
		Self: port.Member{ID: "k1", FailureDomain: "d1", PeerAddress: "127.0.0.1:1"},
		// A seed reads the platform from its start on.
		Keepers:  []string{"127.0.0.1:1"},
		Platform: p, Decisions: decisions, Logger: discardLogger(),
		OutcomeTimeout: 2 * time.Second, OutcomeRetryPause: time.Millisecond,
	}), decisions
}

// exchange sends all pending messages between the two ends of a link.
func exchange(ends [2]*node.Link) {
	const rounds = 4
	for range rounds {
		for i := range ends {
			m := ends[i].Next()
			ends[1-i].Receive(&m)
		}
	}
	ends[0].Tick()
	ends[1].Tick()
}
