package gateway

import (
	"context"
	"sync"
)

// reasonKeyRemoved is the reason of a refusal whose key was removed, or whose organisation
// was deleted, before the request was placed.
const reasonKeyRemoved = "key_removed"

// waitingRequests are the generations that wait for a placement, each with a function that
// ends the wait.
type waitingRequests struct {
	mu   sync.Mutex
	ends map[*exchange]context.CancelFunc
}

func (w *waitingRequests) add(x *exchange, end context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ends == nil {
		w.ends = make(map[*exchange]context.CancelFunc)
	}
	w.ends[x] = end
}

func (w *waitingRequests) remove(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.ends, x)
}

// endIf ends the waits of the requests for which a condition holds.
func (w *waitingRequests) endIf(condition func(*exchange) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x, end := range w.ends {
		if condition(x) {
			end()
		}
	}
}

// revocableContext returns a context that also ends when the request's key is removed. Stop
// must be called when the wait has ended.
func (x *exchange) revocableContext(ctx context.Context) (revocable context.Context, stop func()) {
	if !x.g.options().ScarceRoom || x.req.Admission.Organisation == "" {
		return ctx, func() {}
	}
	revocable, end := context.WithCancel(ctx)
	x.g.waiting.add(x, end)
	if x.isKeyRemoved() {
		// The routes changed after the request was admitted.
		end()
	}
	return revocable, func() { x.g.waiting.remove(x); end() }
}

// isRevoked reports whether a context of revocableContext ended because the key was
// removed, and not because its parent did.
func isRevoked(revocable, parent context.Context) bool {
	return revocable.Err() != nil && parent.Err() == nil
}

// isKeyRemoved reports whether the routes in force no longer admit the request's key for
// its organisation.
func (x *exchange) isKeyRemoved() bool {
	index := x.g.index.Load()
	if index == nil || !index.RequiresKeys() || x.req.Admission.Organisation == "" {
		return false
	}
	o, found := index.Organisation(x.req.KeySHA256)
	return !found || o.Name != x.req.Admission.Organisation
}

// endRevoked ends the waits of requests whose keys the routes in force don't admit.
func (g *Gateway) endRevoked() { g.waiting.endIf((*exchange).isKeyRemoved) }

func keyRemoved() *Refusal {
	return &Refusal{Cause: CauseNoKey, Detail: "the key was removed before the request was placed"}
}
