package claimstore

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/memplatform"
)

// fault is a failure that the fake platform injects into one call.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable refuses the call.
	faultUnavailable
	// faultLoseReply carries out a write and loses its reply.
	faultLoseReply
	// faultLoseCall loses the call, so that there is no reply either.
	faultLoseCall
	// faultBlock blocks the call until it is released, then carries it out.
	faultBlock
	// faultDelayWrite loses the reply and carries out the write when
	// applyDelayed is called.
	faultDelayWrite
)

// fakePlatform is an object store with compare-and-set and fault injection.
type fakePlatform struct {
	*memplatform.Store
	mu sync.Mutex
	// faultFor returns the fault for a keeper's next call.
	faultFor func(keeper int, write bool) fault
	// blocked receives a value when a call blocks; a value sent to release
	// unblocks that keeper's call.
	blocked chan struct{}
	release map[int]chan struct{}
	delayed []func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		Store:    memplatform.New(),
		faultFor: func(int, bool) fault { return faultNone },
		blocked:  make(chan struct{}),
		release:  map[int]chan struct{}{},
	}
}

// fakeClient is one keeper's client of the fake platform.
type fakeClient struct {
	*fakePlatform
	keeper int
}

func (f *fakePlatform) client(keeper int) *fakeClient {
	if f.release[keeper] == nil {
		f.release[keeper] = make(chan struct{})
	}
	return &fakeClient{f, keeper}
}

func (c *fakeClient) Get(ctx context.Context, kind, name string) (port.Object, error) {
	switch c.fault(false) {
	case faultUnavailable, faultLoseCall, faultLoseReply, faultDelayWrite:
		return port.Object{}, port.ErrPlatformUnavailable
	case faultBlock:
		c.block()
	}
	return c.Store.Get(ctx, kind, name)
}

func (c *fakeClient) Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	switch c.fault(true) {
	case faultUnavailable:
		return port.Object{}, port.ErrPlatformUnavailable
	case faultLoseCall:
		return port.Object{}, port.ErrOutcomeUnknown
	case faultLoseReply:
		_, _ = c.Store.Put(ctx, kind, name, expect, value)
		return port.Object{}, port.ErrOutcomeUnknown
	case faultDelayWrite:
		c.mu.Lock()
		c.delayed = append(c.delayed, func() { _, _ = c.Store.Put(ctx, kind, name, expect, value) })
		c.mu.Unlock()
		return port.Object{}, port.ErrOutcomeUnknown
	case faultBlock:
		c.block()
	}
	return c.Store.Put(ctx, kind, name, expect, value)
}

func (c *fakeClient) fault(write bool) fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultFor(c.keeper, write)
}

func (c *fakeClient) block() {
	c.blocked <- struct{}{}
	<-c.release[c.keeper]
}

// applyDelayed carries out the writes that faultDelayWrite has delayed.
func (f *fakePlatform) applyDelayed() {
	f.mu.Lock()
	delayed := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}
