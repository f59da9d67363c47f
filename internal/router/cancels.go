package router

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits for retrying cancels.
const (
	maxPendingCancels    = 4096
	cancelRetryInterval  = 250 * time.Millisecond
	maxConcurrentCancels = 16
)

// cancelQueue retries the cancels that no engine has answered yet. A generation
// that its caller no longer reads fills the engine's cache until its last token, so
// a lost cancel would take cache space from other generations.
type cancelQueue struct {
	r  *Router
	mu sync.Mutex
	m  map[string]pendingCancel
}

type pendingCancel struct {
	endpoint   port.Endpoint
	generation string
	since      time.Time
}

func newCancelQueue(r *Router) *cancelQueue {
	return &cancelQueue{r: r, m: make(map[string]pendingCancel)}
}

// add queues a cancel. If the queue is full, the cancel is dropped and the engine's
// own limit ends the generation.
func (c *cancelQueue) add(e port.Endpoint, generation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.m) >= maxPendingCancels {
		return
	}
	c.m[generation] = pendingCancel{endpoint: e, generation: generation, since: c.r.Clock()}
	c.r.metrics.pendingCancels.Update(int64(len(c.m)))
}

func (c *cancelQueue) pending() []pendingCancel {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]pendingCancel, 0, len(c.m))
	for _, p := range c.m {
		out = append(out, p)
	}
	return out
}

func (c *cancelQueue) remove(generation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.m, generation)
	c.r.metrics.pendingCancels.Update(int64(len(c.m)))
}

// run retries the pending cancels until the context ends.
func (c *cancelQueue) run(ctx context.Context) {
	ticker := time.NewTicker(cancelRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.retryAll(ctx)
		}
	}
}

func (c *cancelQueue) retryAll(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCancels)
	for _, p := range c.pending() {
		if c.obsolete(p) {
			c.remove(p.generation)
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if _, err := c.r.cancelOnce(ctx, p.endpoint, p.generation); err == nil {
				c.remove(p.generation)
			}
		})
	}
	wg.Wait()
}

// obsolete reports whether a cancel needs no further retry: the engine process that
// ran the generation has ended, or CancelLimit has passed.
func (c *cancelQueue) obsolete(p pendingCancel) bool {
	if c.r.Clock().Sub(p.since) > c.r.o.CancelLimit {
		return true
	}
	for _, e := range c.r.View.Endpoints() {
		if e.ID == p.endpoint.ID {
			return e.Incarnation > p.endpoint.Incarnation || e.State == port.EndpointGone
		}
	}
	return false
}

// cancelOnce asks the engine once to end a generation, or to refuse it if it
// arrives later.
func (r *Router) cancelOnce(ctx context.Context, e port.Endpoint, generation string) (port.GenerationStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, r.o.CancelTimeout)
	defer cancel()
	status, err := r.Engine.Cancel(ctx, e, generation)
	if err == nil {
		r.metrics.cancels.Inc(1)
	}
	return status, err
}
