package grpcclaim

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Maximum tries per outcome. If a not_run were lost, the key would stay claimed
// although its caller was told that it may try again, so it is retried for minutes.
// If another outcome is lost, the claim reads as unknown, which is correct.
const (
	maxTriesNotRun = 120
	maxTriesOther  = 3
)

// settleTimeout is long because a keeper delays outcomes in order to store them in
// the same write as later claims.
const settleTimeout = 10 * time.Second

type pendingOutcome struct {
	state port.ClaimState
	tries int
}

func (p *pendingOutcome) hasTriesLeft() bool {
	if p.state.Outcome == port.ClaimNotRun {
		return p.tries < maxTriesNotRun
	}
	return p.tries < maxTriesOther
}

// settler sends outcomes to keepers in the background.
type settler struct {
	ctx     context.Context
	opts    *Options
	keepers *keeperPool

	mu       sync.Mutex
	queue    []*pendingOutcome
	timerSet bool
	closed   bool
	// sendMu serialises sendQueued, so that flush waits for a call in progress.
	sendMu sync.Mutex
}

func newSettler(ctx context.Context, o *Options, k *keeperPool) *settler {
	return &settler{ctx: ctx, opts: o, keepers: k}
}

func (s *settler) enqueue(st port.ClaimState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= s.opts.MaxPending {
		return
	}
	s.queue = append(s.queue, &pendingOutcome{state: st})
	s.schedule(s.opts.SettleDelay)
}

// schedule starts the timer if it isn't running. The caller holds mu.
func (s *settler) schedule(d time.Duration) {
	if s.timerSet || s.closed {
		return
	}
	s.timerSet = true
	time.AfterFunc(d, s.onTimer)
}

func (s *settler) onTimer() {
	s.mu.Lock()
	s.timerSet = false
	s.mu.Unlock()
	if s.ctx.Err() == nil {
		s.sendQueued(s.ctx)
	}
}

// flush stops the timer from being set again and sends the queued outcomes once
// more.
func (s *settler) flush(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.sendQueued(ctx)
}

func (s *settler) sendQueued(ctx context.Context) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	var wg sync.WaitGroup
	for partition, group := range s.drainByPartition() {
		for len(group) > 0 {
			n := min(len(group), MaxEntries)
			chunk := group[:n]
			wg.Go(func() { s.send(ctx, partition, chunk) })
			group = group[n:]
		}
	}
	wg.Wait()
}

func (s *settler) drainByPartition() map[int][]*pendingOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := map[int][]*pendingOutcome{}
	for _, p := range s.queue {
		partition := claim.ShardOf(p.state.KeyHash, s.opts.Partitions)
		groups[partition] = append(groups[partition], p)
	}
	s.queue = nil
	return groups
}

// send sends a group of outcomes. Unless the keeper settles all of them, the whole
// group is queued again, as settling an outcome twice changes nothing. Outcomes
// without tries left are dropped.
func (s *settler) send(ctx context.Context, partition int, group []*pendingOutcome) {
	request := &peerv1.SettleRequest{States: make([]*peerv1.ClaimState, len(group))}
	for i, p := range group {
		p.tries++
		request.States[i] = stateToWire(&p.state)
	}
	settled := 0
	err := s.keepers.callInOrder(ctx, partition, settleTimeout, func(ctx context.Context, k peerv1.KeeperClient) error {
		reply, err := k.Settle(ctx, request)
		settled = int(reply.GetSettled())
		return err
	})
	if err == nil && settled == len(group) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if p.hasTriesLeft() {
			s.queue = append(s.queue, p)
		}
	}
	if len(s.queue) > 0 {
		s.schedule(s.opts.SettleRetry)
	}
}
