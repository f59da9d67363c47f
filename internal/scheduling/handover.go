package scheduling

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ErrHandOverUnsupported is returned for a daemon that does not take handovers: one of a
// previous build, or one without the setting.
var ErrHandOverUnsupported = errors.New("the daemon does not take handovers")

// Intervals and limits of handovers.
const (
	// handOverAttempts is the number of times that a message is sent if it fails, and
	// handOverPause the time between a failure and the repetition. With the time-out of
	// the peer, both attempts end within a second.
	handOverAttempts = 2
	handOverPause    = 200 * time.Millisecond
	// handOverKeep is how long a message is kept for a daemon that may become the
	// coordinator, and how old a message may be. Lists of members differ for less time.
	handOverKeep = 5 * time.Second
	// maxKeptHandOvers bounds the messages that are kept.
	maxKeptHandOvers = 16
	// maxHandOverSenders is the number of senders and pools from which on those without a
	// message for handOverSenderTTL are forgotten. No message is under way for that long.
	maxHandOverSenders = 256
	handOverSenderTTL  = time.Minute
)

// Reasons for dropping a message.
const (
	dropOlderSequence  = "older_sequence"
	dropOlderHolder    = "older_holder"
	dropLate           = "late"
	dropNotCoordinator = "not_coordinator"
	dropFull           = "too_many_kept"
)

// LearnedState is what a scheduler has learned about its pools.
type LearnedState interface {
	Pools() []string
	// HandOver returns what is known about a pool. The fields that identify the message
	// are empty.
	HandOver(now time.Time, pool string) port.HandOver
	// ApplyHandOver applies what another scheduler has learned about a pool, where this one
	// knows nothing newer.
	ApplyHandOver(now time.Time, h *port.HandOver) port.HandOverCounts
}

// handOvers decides which messages are sent to successors and what is done with
// received ones. A daemon that stood in for one that it could not reach sends as well: a
// daemon that restarts within seconds was never listed as dead, and starts without any
// knowledge. A receiver only goes by its list of members. It is safe for concurrent use.
type handOvers struct {
	self        string
	incarnation uint64
	learned     LearnedState
	logger      *log.Logger

	sent, failed, applied, dropped gometrics.Counter
	// inFlight counts the messages that are being sent.
	inFlight sync.WaitGroup

	mu sync.Mutex
	// checked holds the candidates at the last check.
	checked  *candidates
	sequence uint64
	// released holds what this daemon had learned about the pools that it ceased to
	// coordinate within handOverKeep, by pool.
	released map[string]*port.HandOver
	// kept holds the received messages about pools that this daemon does not
	// coordinate, by pool.
	kept map[string]*port.HandOver
	// received holds the last message of each sender about each pool.
	received map[handOverSource]receivedHandOver
	// latest holds the source of the latest applied message, by pool.
	latest map[string]latestHandOver
}

type handOverSource struct{ sender, pool string }

type receivedHandOver struct {
	incarnation, sequence uint64
	at                    time.Time
	accepted              bool
}

type latestHandOver struct {
	sender string
	// at is when the sender ceased to be the coordinator.
	at time.Time
}

// handOver is a message to a successor.
type handOver struct {
	to      daemon
	message port.HandOver
}

// newHandOvers returns nil if the options contain no learned state.
func newHandOvers(o *Options) *handOvers {
	if o.Learned == nil {
		return nil
	}
	registry := o.Registry
	if registry == nil {
		registry = gometrics.NewRegistry()
	}
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, registry) }
	return &handOvers{
		self: o.Self, incarnation: uint64(o.Clock().UnixNano()), learned: o.Learned, logger: o.Logger,
		sent: counter("handovers_sent_total"), failed: counter("handovers_failed_total"),
		applied: counter("handovers_applied_total"), dropped: counter("handovers_dropped_total"),
		released: make(map[string]*port.HandOver), kept: make(map[string]*port.HandOver),
		received: make(map[handOverSource]receivedHandOver), latest: make(map[string]latestHandOver),
	}
}

// check compares the coordinators with those at the last check and returns the messages
// to successors. It also applies or drops the messages that are kept.
func (h *handOvers) check(now time.Time, s *candidates) []handOver {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reviewKept(now, s)
	maps.DeleteFunc(h.released, func(_ string, m *port.HandOver) bool { return now.Sub(m.At) > handOverKeep })
	previous := h.checked
	h.checked = s
	if previous == nil || previous == s {
		return nil
	}
	var out []handOver
	for _, pool := range h.learned.Pools() {
		from, to := previous.ring.Lookup(pool), s.ring.Lookup(pool)
		switch {
		case from == to:
			continue
		case to == h.self:
			delete(h.released, pool)
			continue
		case from == h.self:
			learned := h.learned.HandOver(now, pool)
			h.released[pool] = &learned
		}
		// If the coordinator changes twice within a short time, the daemon in between may
		// never have known that it was the coordinator. So the last holder sends to each.
		learned := h.released[pool]
		if learned == nil || learned.IsEmpty() {
			continue
		}
		h.sequence++
		m := *learned
		m.Sender, m.Incarnation, m.Sequence = h.self, h.incarnation, h.sequence
		out = append(out, handOver{to: daemon{id: to, address: s.peerAddress(to)}, message: m})
	}
	return out
}

// peerAddress returns the address of a listed daemon, also of one that is now avoided.
func (s *candidates) peerAddress(id string) string {
	for i := range s.memberList {
		if s.memberList[i].ID == id {
			return s.memberList[i].PeerAddress
		}
	}
	return ""
}

// reviewKept applies the kept messages about pools that this daemon now coordinates, and
// drops those that are too old. The caller holds h.mu.
func (h *handOvers) reviewKept(now time.Time, s *candidates) {
	for pool, m := range h.kept {
		switch {
		case h.coordinates(pool, s):
			delete(h.kept, pool)
			h.apply(now, m)
		case now.Sub(m.At) > handOverKeep:
			delete(h.kept, pool)
			h.drop(now, m, dropNotCoordinator)
		}
	}
}

// receive decides on a received message and reports whether it was applied or kept, now
// or when it arrived before.
func (h *handOvers) receive(now time.Time, m *port.HandOver, s *candidates) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	source := handOverSource{m.Sender, m.Pool}
	last, known := h.received[source]
	if known && (m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Sequence <= last.sequence) {
		h.drop(now, m, dropOlderSequence)
		return last.accepted && m.Incarnation == last.incarnation && m.Sequence == last.sequence
	}
	accepted := h.accept(now, m, s)
	h.received[source] = receivedHandOver{incarnation: m.Incarnation, sequence: m.Sequence, at: now, accepted: accepted}
	h.forgetSenders(now)
	return accepted
}

func (h *handOvers) accept(now time.Time, m *port.HandOver, s *candidates) bool {
	if now.Sub(m.At) > handOverKeep {
		h.drop(now, m, dropLate)
		return false
	}
	if h.isOlderHolder(m) {
		h.drop(now, m, dropOlderHolder)
		return false
	}
	if h.coordinates(m.Pool, s) {
		h.apply(now, m)
		return true
	}
	superseded := h.kept[m.Pool]
	if superseded == nil && len(h.kept) >= maxKeptHandOvers {
		h.drop(now, m, dropFull)
		return false
	}
	if superseded != nil {
		h.drop(now, superseded, dropOlderHolder)
	}
	h.kept[m.Pool] = m
	h.line(h.logger.Info(), "handover_kept", now, m, m.Sender, countsOf(m)).Msg("")
	return true
}

// coordinates reports whether this daemon coordinates the pool by its list of members.
// It does not if the list of endpoints doesn't contain the pool yet.
func (h *handOvers) coordinates(pool string, s *candidates) bool {
	return s.listedRing.Lookup(pool) == h.self && slices.Contains(h.learned.Pools(), pool)
}

// isOlderHolder reports whether another daemon, of which this one has a message or which
// is this one, coordinated the pool after the sender.
func (h *handOvers) isOlderHolder(m *port.HandOver) bool {
	if l, known := h.latest[m.Pool]; known && l.sender != m.Sender && m.At.Before(l.at) {
		return true
	}
	if k := h.kept[m.Pool]; k != nil && k.Sender != m.Sender && m.At.Before(k.At) {
		return true
	}
	own := h.released[m.Pool]
	return own != nil && m.At.Before(own.At)
}

func (h *handOvers) apply(now time.Time, m *port.HandOver) {
	h.latest[m.Pool] = latestHandOver{sender: m.Sender, at: m.At}
	counts := h.learned.ApplyHandOver(now, m)
	h.applied.Inc(1)
	h.line(h.logger.Info(), "handover_applied", now, m, m.Sender, counts).Msg("")
}

func (h *handOvers) drop(now time.Time, m *port.HandOver, reason string) {
	h.dropped.Inc(1)
	h.line(h.logger.Info(), "handover_dropped", now, m, m.Sender, countsOf(m)).Str("reason", reason).Msg("")
}

// forgetSenders bounds the memory for senders that have gone.
func (h *handOvers) forgetSenders(now time.Time) {
	if len(h.received) < maxHandOverSenders {
		return
	}
	for source, r := range h.received {
		if now.Sub(r.at) > handOverSenderTTL {
			delete(h.received, source)
		}
	}
}

// line adds the fields that all log lines about handovers have.
func (h *handOvers) line(e *log.Entry, event string, now time.Time, m *port.HandOver, peer string, n port.HandOverCounts) *log.Entry {
	return e.Str("event", event).Str("pool", m.Pool).Str("peer", peer).Uint64("incarnation", m.Incarnation).
		Uint64("sequence", m.Sequence).Int64("age_ms", now.Sub(m.At).Milliseconds()).
		Int("speeds", n.Speeds).Int("organisations", n.Organisations).Int("bookings", n.Bookings)
}

func countsOf(m *port.HandOver) port.HandOverCounts {
	return port.HandOverCounts{Speeds: len(m.Speeds), Organisations: len(m.Organisations), Bookings: len(m.Bookings)}
}

// ReceiveHandOver takes what the former coordinator of a pool has learned, and reports
// whether it was applied or is kept. It returns ErrHandOverUnsupported if this daemon
// takes no handovers.
func (c *Client) ReceiveHandOver(m *port.HandOver) (accepted bool, err error) {
	if c.handOvers == nil {
		return false, ErrHandOverUnsupported
	}
	now := c.opts.Clock()
	return c.handOvers.receive(now, m, c.currentCandidates(now)), nil
}

func (c *Client) currentCandidates(now time.Time) *candidates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.candidatesLocked(now)
}

// dueHandOvers returns the messages to the successors of this daemon.
func (c *Client) dueHandOvers() []handOver {
	if c.handOvers == nil {
		return nil
	}
	now := c.opts.Clock()
	return c.handOvers.check(now, c.currentCandidates(now))
}

// sendHandOvers sends the due messages in the background. They are sent also if the
// context ends, because this daemon may be about to stop.
func (c *Client) sendHandOvers(ctx context.Context) {
	for _, m := range c.dueHandOvers() {
		c.handOvers.inFlight.Go(func() { c.deliver(context.WithoutCancel(ctx), &m) })
	}
}

// finishHandOvers sends the messages that are due and waits for those under way.
func (c *Client) finishHandOvers(ctx context.Context) {
	if c.handOvers == nil {
		return
	}
	c.sendHandOvers(ctx)
	c.handOvers.inFlight.Wait()
}

// deliver sends a message, and repeats it once if it fails.
func (c *Client) deliver(ctx context.Context, m *handOver) {
	for attempt := 1; attempt <= handOverAttempts; attempt++ {
		if attempt > 1 {
			time.Sleep(handOverPause)
		}
		accepted, err := c.peer(m.to).HandOver(ctx, &m.message)
		h, now := c.handOvers, c.opts.Clock()
		if err == nil {
			h.sent.Inc(1)
			h.line(h.logger.Info(), "handover_sent", now, &m.message, m.to.id, countsOf(&m.message)).
				Int("attempt", attempt).Bool("accepted", accepted).Msg("")
			return
		}
		h.failed.Inc(1)
		h.line(h.logger.Warn(), "handover_failed", now, &m.message, m.to.id, countsOf(&m.message)).
			Int("attempt", attempt).Err(err).Msg("")
		if errors.Is(err, ErrHandOverUnsupported) {
			return
		}
	}
}
