package grpcclaim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Defaults of Options.
const (
	DefaultPartitions        = 16
	DefaultCallsPerPartition = 4
	DefaultTimeout           = 1500 * time.Millisecond
	DefaultTryTimeout        = 700 * time.Millisecond
	DefaultMaxTries          = 2
	DefaultSettleDelay       = 100 * time.Millisecond
	DefaultSettleRetry       = time.Second
	DefaultDemotionPeriod    = 2 * time.Second
	DefaultMaxPending        = 8192
)

// Errors of the client. Claim returns them with ClaimUnavailable.
var (
	// ErrNoKeeper means that no keeper is known or that none answered in time.
	// Either nothing was sent, or the attempt was abandoned.
	ErrNoKeeper = merry.Sentinel("claims: no keeper answered")
	// ErrUnavailable means that a keeper did not decide on the claim, or that
	// its reply was invalid.
	ErrUnavailable = merry.Sentinel("claims: the keeper could not decide on the claim")
	// ErrClosed means that the client is closed.
	ErrClosed = merry.Sentinel("claims: the client is closed")
)

// Options of a Client. Only Keepers is required.
type Options struct {
	// Keepers returns the peer addresses of the keepers that may be called, in
	// any order.
	Keepers func() []string
	// Dial opens a connection to a keeper; the default is gRPC without TLS.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Partitions is the number of partitions of the key space. Claims are batched per
	// partition, with at most CallsPerPartition concurrent calls for each. It
	// should equal the number of shards at the keepers.
	Partitions        int
	CallsPerPartition int
	// Timeout bounds a claim, and TryTimeout the call to one keeper. At most
	// MaxTries keepers are called for a claim.
	Timeout    time.Duration
	TryTimeout time.Duration
	MaxTries   int
	// SettleDelay is how long outcomes are collected before they are sent
	// together. SettleRetry is the delay before a failed call is repeated.
	SettleDelay time.Duration
	SettleRetry time.Duration
	// DemotionPeriod is how long a keeper is called last after a failed call.
	DemotionPeriod time.Duration
	// MaxPending bounds the queue of outcomes. Outcomes beyond it are dropped.
	MaxPending int
	// Now returns the time of a monotonic clock.
	Now func() time.Time
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		o.Dial = dialPlain
	}
	setDefault(&o.Partitions, DefaultPartitions)
	setDefault(&o.CallsPerPartition, DefaultCallsPerPartition)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.TryTimeout, DefaultTryTimeout)
	setDefault(&o.MaxTries, DefaultMaxTries)
	setDefault(&o.SettleDelay, DefaultSettleDelay)
	setDefault(&o.SettleRetry, DefaultSettleRetry)
	setDefault(&o.DemotionPeriod, DefaultDemotionPeriod)
	setDefault(&o.MaxPending, DefaultMaxPending)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func dialPlain(address string) (grpc.ClientConnInterface, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// unsettled is the result of a claim that is not granted, but may have been
// written.
var unsettled = claim.Result{Verdict: port.ClaimUnavailable, Reason: claim.ReasonUnsettled}

// Client sends a router's claims and outcomes to keepers. It implements
// port.Claimer and is safe for concurrent use.
type Client struct {
	opts      Options
	keepers   *keeperPool
	batchers  []*batcher
	settler   *settler
	retention atomic.Int64
	stop      context.CancelFunc
}

var _ port.Claimer = (*Client)(nil)

// NewClient returns a Client. The caller must close it.
func NewClient(o Options) *Client {
	o.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{opts: o, stop: stop}
	c.keepers = newKeeperPool(&c.opts)
	c.settler = newSettler(ctx, &c.opts, c.keepers)
	c.batchers = make([]*batcher, o.Partitions)
	for i := range c.batchers {
		c.batchers[i] = &batcher{client: c, ctx: ctx, partition: i}
	}
	return c
}

// Claim requests the key for an attempt. Only ClaimGranted allows the caller to
// dispatch the attempt, once. An attempt that is not granted, but whose claim may
// have been written, is settled as not_run in the background, which frees the key.
// Such an attempt is never dispatched, as no grant is returned for it afterwards.
func (c *Client) Claim(ctx context.Context, e port.ClaimEntry) (port.ClaimVerdict, port.ClaimState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	w := &pendingClaim{entry: e, done: make(chan struct{})}
	c.batchers[claim.ShardOf(e.KeyHash, len(c.batchers))].enqueue(w)
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return w.resultOrAbandon().returnValues()
}

// Settle records the outcome of a granted claim in the background. An outcome
// other than not_run may be lost; the stored outcome then remains "claimed".
func (c *Client) Settle(s port.ClaimState) { c.settler.enqueue(s) }

// Lookup returns the stored state of a key, as a keeper reads it from the platform.
func (c *Client) Lookup(ctx context.Context, keyHash [16]byte) (port.ClaimState, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var reply *peerv1.LookupClaimReply
	err := c.keepers.callInOrder(ctx, claim.ShardOf(keyHash, c.opts.Partitions), c.opts.TryTimeout, func(ctx context.Context, k peerv1.KeeperClient) error {
		var err error
		reply, err = k.LookupClaim(ctx, &peerv1.LookupClaimRequest{KeyHash: keyHash[:]})
		return err
	})
	if err != nil {
		return port.ClaimState{}, false, merry.Prepend(ErrNoKeeper, err.Error())
	}
	if !reply.GetFound() {
		return port.ClaimState{}, false, nil
	}
	st, ok := stateFromWire(reply.GetState())
	if !ok {
		return port.ClaimState{}, false, merry.Prepend(ErrUnavailable, "invalid claim state in the keeper's reply")
	}
	return st, true, nil
}

// Retention returns how long outcomes are stored, according to the last reply of a
// keeper to a claim. It is zero before the first reply.
func (c *Client) Retention() time.Duration { return time.Duration(c.retention.Load()) }

// Close sends the queued outcomes once more, until the context ends, and closes
// the connections.
func (c *Client) Close(ctx context.Context) {
	c.settler.flush(ctx)
	c.stop()
	c.keepers.close()
}

// pendingClaim is one claim in progress. Its lock decides whether the result is
// delivered before the caller abandons the claim. A grant that is not delivered is
// settled as not_run, so that no key stays claimed by an attempt that is never
// dispatched.
type pendingClaim struct {
	entry port.ClaimEntry
	done  chan struct{}

	mu        sync.Mutex
	delivered bool
	abandoned bool
	result    claim.Result
}

// deliver sets the result. It reports false if the caller has abandoned the claim.
func (w *pendingClaim) deliver(r claim.Result) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.result = r
	w.delivered = true
	close(w.done)
	return true
}

// resultOrAbandon returns the delivered result, or abandons the claim if there is
// none.
func (w *pendingClaim) resultOrAbandon() claimResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.delivered {
		w.abandoned = true
		return claimResult{claim.Result{Verdict: port.ClaimUnavailable, Reason: claim.ReasonOverdue}}
	}
	return claimResult{w.result}
}

func (w *pendingClaim) isAbandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned
}

type claimResult struct{ claim.Result }

func (o claimResult) returnValues() (port.ClaimVerdict, port.ClaimState, error) {
	if o.Verdict != port.ClaimUnavailable {
		return o.Verdict, o.Holder, nil
	}
	switch o.Reason {
	case claim.ReasonOverdue, claim.ReasonUnsettled:
		return o.Verdict, o.Holder, merry.Prepend(ErrNoKeeper, string(o.Reason))
	default:
		return o.Verdict, o.Holder, merry.Prepend(ErrUnavailable, string(o.Reason))
	}
}
