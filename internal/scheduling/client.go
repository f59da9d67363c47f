package scheduling

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Intervals and limits of a client.
const (
	// avoidDuration is how long a daemon is skipped after it failed to answer.
	avoidDuration = time.Second
	// flushInterval is the time between two updates to a coordinator. The end of a
	// run frees room that another request may be waiting for.
	flushInterval = 20 * time.Millisecond
	// progressInterval is the time between two reports of the progress of runs,
	// keepaliveInterval between two reports of a run without progress.
	progressInterval  = 250 * time.Millisecond
	keepaliveInterval = time.Second
	// maxPeerAttempts bounds the remote coordinators that are asked per placement.
	maxPeerAttempts = 2
)

// Peer is the pool scheduler of another daemon. An error means that the peer gave
// no answer.
type Peer interface {
	Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) (port.Decision, error)
	Relocate(ctx context.Context, run *port.RunningRequest, terms port.RelocationConstraints) (port.Decision, error)
	Update(ctx context.Context, adopted []port.RunningRequest, events []RunEvent) error
	// Admit returns ErrAdmissionUnsupported if the daemon's build does not support admission.
	Admit(ctx context.Context, pool string, asks []ratelimit.Candidate, maxWait time.Duration) (ratelimit.Grant, error)
	// HandOver sends what this daemon has learned about a pool to the new coordinator and
	// returns whether that keeps it. It returns ErrHandOverUnsupported if the daemon does
	// not take handovers.
	HandOver(ctx context.Context, m *port.HandOver) (accepted bool, err error)
	Close()
}

// Members provides the list of daemons.
type Members interface {
	// Members returns a list that is never modified; each change creates a new list.
	Members() []port.Member
	// Changed returns a channel that is closed at the next change of the list.
	Changed() <-chan struct{}
}

// Options configures a Client.
type Options struct {
	// Self is this daemon's id, and Capacity the capacity of its host as the other
	// daemons know it. Capacity applies while Members doesn't list this daemon.
	Self     string
	Capacity port.HostCapacity
	Members  Members
	// Dial connects to the pool scheduler at a daemon's peer address.
	Dial   func(address string) Peer
	Logger *log.Logger
	Clock  func() time.Time
	// Learned is handed over when the coordinator of a pool changes. Nil means that this
	// daemon neither sends nor takes handovers.
	Learned LearnedState
	// Registry may be nil.
	Registry gometrics.Registry
}

// Client places generations through the daemon that coordinates the pool. It is
// safe for concurrent use.
type Client struct {
	opts  Options
	local *PoolScheduler
	// limiter admits requests to pools that this daemon coordinates. shareLimiter
	// admits requests to other pools while their coordinators do not answer.
	limiter, shareLimiter *ratelimit.Limiter

	mu         sync.Mutex
	runs       map[string]*openRun
	peers      map[string]*peerState
	avoidUntil map[string]time.Time
	// lastCoordinators holds the coordinator of each pool at its last lookup.
	lastCoordinators map[string]string
	// cachedCandidates is read through candidatesLocked.
	cachedCandidates *candidates

	// handOvers is nil if this daemon neither sends nor takes handovers.
	handOvers *handOvers
}

// openRun is a run that this daemon started. coordinator is the id of the daemon
// whose scheduler counts the run.
type openRun struct {
	running     port.RunningRequest
	coordinator string
	// former is the coordinator before the last change; it gets reports on the run until
	// formerUntil. It is empty if there is none.
	former      string
	formerUntil time.Time
	// reportedTokens is the token count last reported to the coordinator,
	// reportedAt the time of that report.
	reportedTokens int
	reportedAt     time.Time
	meter          streamMeter
}

// peerState is the connection to a coordinator and the updates that are still to
// be sent to it.
type peerState struct {
	address       string
	peer          Peer
	pendingRuns   []port.RunningRequest
	pendingEvents []RunEvent
	// inFlight is closed when the message under way has been answered; it is nil
	// when there is none.
	inFlight chan struct{}
}

// NewClient returns a client that falls back to this daemon's scheduler.
func NewClient(opts Options, local *PoolScheduler) *Client {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	c := &Client{
		opts: opts, local: local, limiter: ratelimit.NewLimiter(), shareLimiter: ratelimit.NewShareLimiter(),
		runs: make(map[string]*openRun), peers: make(map[string]*peerState), avoidUntil: make(map[string]time.Time),
		lastCoordinators: make(map[string]string), handOvers: newHandOvers(&opts),
	}
	if local != nil {
		local.limitShare = c.limitShare
	}
	return c
}

// Place places a generation or refuses it with a reason. It blocks while the
// request is held, and calls onHold when the hold starts.
func (c *Client) Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) port.Decision {
	for range maxPeerAttempts {
		coordinator := c.coordinator(r.Pool)
		if coordinator.id == c.opts.Self {
			break
		}
		if r.Attempt > 1 {
			c.flushPeer(ctx, coordinator)
		}
		d, err := c.placeAt(ctx, coordinator, r, onHold)
		d.Coordinator = coordinator.id
		if err == nil {
			c.recordPlacement(coordinator.id, r, &d)
			return d
		}
		if ctx.Err() != nil {
			c.discardPlacement(coordinator, r.RequestID)
			return port.Decision{Verdict: port.VerdictRefuse, Reason: cancelReason(ctx.Err())}
		}
		c.handlePeerFailure(coordinator, err)
	}
	d := c.local.Place(ctx, r, onHold)
	d.Coordinator = c.opts.Self
	c.recordPlacement(c.opts.Self, r, &d)
	return d
}

// cancelReason returns why a request stopped waiting for a placement.
func cancelReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "out of time while waiting for a place"
	}
	return "the caller has gone"
}

func (c *Client) recordPlacement(coordinator string, r *port.GenerationRequest, d *port.Decision) {
	if d.Verdict != port.VerdictPlace {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	run := &openRun{
		running: port.RunningRequest{Request: *r, EndpointID: d.Endpoint.ID}, coordinator: coordinator, reportedAt: c.opts.Clock(),
	}
	c.runs[r.RequestID] = run
	c.reportPlacementLocked(run)
}

// Progress records the number of tokens that a run has produced. The first
// tokens are reported at once because they show that the prefill is done; later
// progress is reported periodically.
func (c *Client) Progress(requestID string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	first := r.running.Tokens == 0
	r.running.Tokens = tokens
	r.meter.event(c.opts.Clock(), tokens)
	if first {
		c.reportRun(r)
	}
}

// Observe records the slowness that the endpoint of a run states with its answer; zero
// for none. The next report of the run carries it.
func (c *Client) Observe(requestID string, slowness float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[requestID]; r != nil {
		r.meter.state(slowness)
	}
}

// Delayed excludes the time until the run's next event from its samples, because the
// caller held the stream up.
func (c *Client) Delayed(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[requestID]; r != nil {
		r.meter.interrupt()
	}
}

// reportRun reports the progress of an open run to its coordinator. The caller
// holds c.mu.
func (c *Client) reportRun(r *openRun) {
	c.reportEvent(r, RunEvent{RequestID: r.running.Request.RequestID, Tokens: r.running.Tokens})
	r.reportedTokens, r.reportedAt = r.running.Tokens, c.opts.Clock()
}

// Finished ends a run and reports the end to its coordinator.
func (c *Client) Finished(requestID string, tokens int, kind port.FinishKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	c.reportEvent(r, RunEvent{RequestID: requestID, Tokens: tokens, Finish: kind})
	delete(c.runs, requestID)
}

// Relocate chooses the runner that takes over a run.
func (c *Client) Relocate(ctx context.Context, requestID string, terms port.RelocationConstraints) port.Decision {
	run, ok := c.running(requestID)
	if !ok {
		return port.Decision{Verdict: port.VerdictRefuse, Reason: "no_longer_running"}
	}
	for range maxPeerAttempts {
		coordinator := c.coordinator(run.Request.Pool)
		if coordinator.id == c.opts.Self {
			break
		}
		d, err := c.peer(coordinator).Relocate(ctx, &run, terms)
		if err == nil {
			c.setCoordinator(requestID, coordinator.id)
			return d
		}
		if ctx.Err() != nil {
			// The run has ended or is no longer to be moved. The coordinator has not failed.
			c.discardPlacement(coordinator, requestID)
			return port.Decision{Verdict: port.VerdictRefuse, Reason: "relocation_cancelled"}
		}
		c.handlePeerFailure(coordinator, err)
	}
	c.setCoordinator(requestID, c.opts.Self)
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

// setCoordinator records the daemon whose scheduler counts the run.
func (c *Client) setCoordinator(requestID, coordinator string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[requestID]; r != nil {
		r.coordinator = coordinator
	}
}

// Relocated ends a relocation. If moved is set, the run is now at the endpoint to.
func (c *Client) Relocated(requestID string, moved bool, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[requestID]
	if r == nil {
		return
	}
	c.reportEvent(r, RunEvent{RequestID: requestID, Relocated: true, Moved: moved})
	// The time until the next event includes the transfer of the run.
	r.meter.interrupt()
	if moved {
		r.running.EndpointID = to
		r.meter.state(0)
	}
}

// reportEvent adds what the run's stream has shown to an event, and passes it to the
// run's coordinator, and to the former one for a while. The caller holds c.mu.
func (c *Client) reportEvent(r *openRun, e RunEvent) {
	if e.Finish != port.FinishUntracked {
		e.Sample = r.meter.sample()
	}
	c.queueEvent(r.coordinator, e)
	if r.former != r.coordinator {
		c.queueEvent(r.former, e)
	}
}

// queueEvent queues an event for a coordinator, or passes it to this daemon's own
// scheduler. The caller holds c.mu.
func (c *Client) queueEvent(coordinator string, e RunEvent) {
	if coordinator == c.opts.Self {
		c.local.Update(nil, []RunEvent{e})
		return
	}
	if p := c.peers[coordinator]; p != nil {
		p.pendingEvents = append(p.pendingEvents, e)
	}
}
