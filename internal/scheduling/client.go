package scheduling

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Times of a client.
const (
	// avoidFor is how long a daemon that didn't answer is not asked.
	avoidFor = time.Second
	// flushEvery is the time between two messages about runs: the end of one
	// frees room that another waits for.
	flushEvery = 20 * time.Millisecond
	// progressEvery is the time between two messages about the growth of runs,
	// mentionEvery between two mentions of a run that doesn't grow.
	progressEvery = 250 * time.Millisecond
	mentionEvery  = time.Second
	// maxAsked bounds the daemons asked for one placement.
	maxAsked = 2
)

// Peer is the pool scheduler at another daemon. An error means that it gave no answer.
type Peer interface {
	Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) (port.Decision, error)
	Relocate(ctx context.Context, run *port.RunningRequest, terms port.Relocation) (port.Decision, error)
	Update(ctx context.Context, adopted []port.RunningRequest, events []RunEvent) error
	// Admit returns ErrNotAdmitting for a daemon of a build that doesn't know it.
	Admit(ctx context.Context, pool string, asks []ratelimit.Ask, patience time.Duration) (ratelimit.Grant, error)
	Close()
}

// Members lists the daemons.
type Members interface {
	// Members returns a list that is never changed; a change makes another.
	Members() []port.Member
	// Changed is closed at the next change.
	Changed() <-chan struct{}
}

// Options of a Client.
type Options struct {
	// Self is this daemon's id.
	Self    string
	Members Members
	// Dial connects to the pool scheduler at a daemon's peer address.
	Dial   func(address string) Peer
	Logger *log.Logger
	Clock  func() time.Time
}

// Client places generations by the scheduler of whichever daemon coordinates
// the pool. It is safe for concurrent use.
type Client struct {
	o     Options
	local *PoolScheduler
	// limiter admits to the pools that this daemon coordinates, share to others
	// while their coordinators don't answer.
	limiter, share *ratelimit.Limiter

	mu    sync.Mutex
	runs  map[string]*openRun
	peers map[string]*peerState
	avoid map[string]time.Time
	// kept names the coordinator of each pool as of the last look.
	kept map[string]string
	// last is read through candidatesLocked.
	last *candidates
}

// openRun is a run of this daemon. Its coordinator is the daemon whose scheduler
// counts it.
type openRun struct {
	running     port.RunningRequest
	coordinator string
	// told are the tokens that the coordinator was last told of, and mentioned when.
	told      int
	mentioned time.Time
}

// peerState is a daemon that coordinates pools, and what it is yet to be told.
type peerState struct {
	address string
	peer    Peer
	adopted []port.RunningRequest
	events  []RunEvent
	// sending is closed once the message under way has been answered; nil for
	// none.
	sending chan struct{}
}

// NewClient returns a client that falls back to the scheduler of this daemon.
func NewClient(o Options, local *PoolScheduler) *Client {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Client{
		o: o, local: local, limiter: ratelimit.NewLimiter(), share: ratelimit.NewShareLimiter(),
		runs: make(map[string]*openRun), peers: make(map[string]*peerState), avoid: make(map[string]time.Time),
		kept: make(map[string]string),
	}
}

// Place places a generation, or says why not. It blocks while the request is
// held, of which held is told.
func (c *Client) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	for range maxAsked {
		coordinator := c.coordinator(r.Pool)
		if coordinator.id == c.o.Self {
			break
		}
		if r.Attempt > 1 {
			c.tellNow(ctx, coordinator)
		}
		d, err := c.peer(coordinator).Place(ctx, r, func(d *port.Decision) {
			d.Coordinator = coordinator.id
			held(d)
		})
		d.Coordinator = coordinator.id
		if err == nil {
			c.placed(coordinator.id, r, &d)
			return d
		}
		if ctx.Err() != nil {
			return port.Decision{Verdict: port.VerdictRefuse, Reason: givenUp(ctx.Err())}
		}
		c.lost(coordinator, err)
	}
	d := c.local.Place(ctx, r, held)
	d.Coordinator = c.o.Self
	c.placed(c.o.Self, r, &d)
	return d
}

// givenUp says why a request no longer waits for a place.
func givenUp(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "out of time while waiting for a place"
	}
	return "the caller has gone"
}

func (c *Client) placed(coordinator string, r *port.GenerationRequest, d *port.Decision) {
	if d.Verdict != port.VerdictPlace {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.RequestID] = &openRun{
		running: port.RunningRequest{Request: *r, EndpointID: d.Endpoint.ID}, coordinator: coordinator, mentioned: c.o.Clock(),
	}
}

// Progress notes the tokens seen of a run. The first tell at once that its
// prompt is read; the growth after that is told now and then.
func (c *Client) Progress(requestID string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	first := r.running.Tokens == 0
	r.running.Tokens = tokens
	if first {
		c.mention(r)
	}
}

// mention tells of a run that goes on; c.mu is held.
func (c *Client) mention(r *openRun) {
	c.tell(r, RunEvent{RequestID: r.running.Request.RequestID, Tokens: r.running.Tokens})
	r.told, r.mentioned = r.running.Tokens, c.o.Clock()
}

// Finished ends a run.
func (c *Client) Finished(requestID string, tokens int, kind port.FinishKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	c.tell(r, RunEvent{RequestID: requestID, Tokens: tokens, Finish: kind})
	delete(c.runs, requestID)
}

// Relocate chooses the runner that takes over a run.
func (c *Client) Relocate(ctx context.Context, requestID string, terms port.Relocation) port.Decision {
	run, ok := c.running(requestID)
	if !ok {
		return port.Decision{Verdict: port.VerdictRefuse, Reason: "no_longer_running"}
	}
	for range maxAsked {
		coordinator := c.coordinator(run.Request.Pool)
		if coordinator.id == c.o.Self {
			break
		}
		d, err := c.peer(coordinator).Relocate(ctx, &run, terms)
		if err == nil {
			c.setCoordinator(requestID, coordinator.id)
			return d
		}
		c.lost(coordinator, err)
	}
	c.setCoordinator(requestID, c.o.Self)
	return c.local.Relocate(&run, terms)
}

func (c *Client) running(requestID string) (port.RunningRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return port.RunningRequest{}, false
	}
	return r.running, true
}

// setCoordinator notes whose scheduler counts the run.
func (c *Client) setCoordinator(requestID, coordinator string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[requestID]; r != nil {
		r.coordinator = coordinator
	}
}

// Relocated ends a relocation; to is where the run is now.
func (c *Client) Relocated(requestID string, moved bool, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	if moved {
		r.running.EndpointID = to
	}
	c.tell(r, RunEvent{RequestID: requestID, Relocated: true, Moved: moved})
}

// tell queues an event for the run's coordinator, or tells this daemon's own
// scheduler; c.mu is held.
func (c *Client) tell(r *openRun, e RunEvent) {
	if r.coordinator == c.o.Self {
		c.local.Update(nil, []RunEvent{e})
		return
	}
	if p := c.peers[r.coordinator]; p != nil {
		p.events = append(p.events, e)
	}
}
