package grpcclaim

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// batcher sends the claims of one partition of the key space in batches. While the
// maximum number of calls is active, new claims wait for the next batch. Several
// concurrent calls are allowed because the keeper batches as well: with a single
// call, a claim could wait for a batch at the router and then for one at the keeper.
type batcher struct {
	client    *Client
	ctx       context.Context
	partition int

	mu          sync.Mutex
	waiting     []*pendingClaim
	activeCalls int
}

func (l *batcher) enqueue(w *pendingClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, w)
	if l.activeCalls < l.client.opts.CallsPerPartition {
		l.activeCalls++
		go l.run()
	}
}

func (l *batcher) run() {
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		l.send(batch)
	}
}

// nextBatch removes the next claims from the queue. If there are none, it counts
// the calling goroutine as ended.
func (l *batcher) nextBatch() []*pendingClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.waiting), MaxEntries)
	batch := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	if n == 0 {
		l.activeCalls--
		l.waiting = nil
	}
	return batch
}

// send calls the keepers in order until all claims of the batch have a verdict.
// Calling a second keeper after the first did not answer is safe: however often one
// attempt claims the key, it is granted to that attempt alone and dispatched once.
func (l *batcher) send(batch []*pendingClaim) {
	batch = dropAbandoned(batch)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.client.opts.Timeout)
	defer cancel()
	a := newClaimBatch(batch)
	// The results also cover the claims that no keeper decided.
	_ = l.client.keepers.callInOrder(ctx, l.partition, l.client.opts.TryTimeout, func(ctx context.Context, k peerv1.KeeperClient) error {
		reply, err := a.call(ctx, k)
		if err != nil {
			return err
		}
		l.client.retention.Store(reply.GetRetentionMillis() * int64(time.Millisecond))
		return a.applyReply(reply)
	})
	for i, w := range batch {
		l.deliverResult(w, a.results[i])
	}
}

// deliverResult delivers the result to the caller. It settles the attempt as
// not_run if its claim may have been written and the attempt is never dispatched.
func (l *batcher) deliverResult(w *pendingClaim, r claim.Result) {
	delivered := w.deliver(r)
	mayBeWritten := r.Verdict == port.ClaimUnavailable && r.Reason == claim.ReasonUnsettled
	if mayBeWritten || (!delivered && r.Verdict == port.ClaimGranted) {
		l.client.settler.enqueue(port.ClaimState{
			KeyHash:   w.entry.KeyHash,
			RequestID: w.entry.RequestID,
			AttemptID: w.entry.AttemptID,
			Outcome:   port.ClaimNotRun,
		})
	}
}

func dropAbandoned(claims []*pendingClaim) []*pendingClaim {
	kept := claims[:0]
	for _, w := range claims {
		if !w.isAbandoned() {
			kept = append(kept, w)
		}
	}
	return kept
}
