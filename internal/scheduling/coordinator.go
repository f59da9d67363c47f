package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// daemon is a daemon that may coordinate pools.
type daemon struct{ id, address string }

// coordinator returns the daemon whose scheduler places the runs of a pool.
// Daemons that have the same set of live daemons get the same result.
func (c *Client) coordinator(pool string) daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinatorLocked(pool)
}

func (c *Client) coordinatorLocked(pool string) daemon {
	s := c.candidatesLocked(c.opts.Clock())
	id := s.ring.Lookup(pool)
	if previous := c.lastCoordinators[pool]; previous != id {
		c.lastCoordinators[pool] = id
		if id == c.opts.Self {
			c.limiter.TakeOver()
		}
		c.opts.Logger.Info().Str("event", "coordinator_changed").Str("pool", pool).Str("from", previous).Str("to", id).
			Int("candidates", s.ringSize).Msg("")
	}
	return daemon{id: id, address: s.addresses[id]}
}

// isListedCoordinator reports whether the member list alone makes this daemon the
// pool's coordinator. Otherwise it coordinates the pool only for daemons that
// cannot reach another one.
func (c *Client) isListedCoordinator(pool string) bool {
	return c.listedCoordinator(pool) == c.opts.Self
}

// listedCoordinator returns the daemon that the member list alone makes the pool's
// coordinator.
func (c *Client) listedCoordinator(pool string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.candidatesLocked(c.opts.Clock()).listedRing.Lookup(pool)
}

// listedSuccessor returns the daemon that is asked for a pool's placements while its
// listed coordinator doesn't answer; empty if there is none.
func (c *Client) listedSuccessor(pool string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.candidatesLocked(c.opts.Clock())
	coordinator := s.listedRing.Lookup(pool)
	ring := s.ringsWithout[coordinator]
	if ring == nil {
		isCoordinator := func(h host) bool { return h.id == coordinator }
		others := firstNonEmpty(slices.DeleteFunc(slices.Clone(s.live), isCoordinator), slices.DeleteFunc(slices.Clone(s.leaving), isCoordinator))
		ring = rendezvous.New(largeHosts(others), xxhash.Sum64String)
		s.ringsWithout[coordinator] = ring
	}
	return ring.Lookup(pool)
}

// candidates are the daemons that may coordinate pools.
type candidates struct {
	// memberList is the list that the candidates were computed from. validUntil is the
	// time at which a daemon that is now avoided may be asked again.
	memberList []port.Member
	validUntil time.Time
	ring       *rendezvous.Rendezvous
	// ringSize is the number of daemons in ring.
	ringSize  int
	addresses map[string]string
	// listedRing does not leave out the daemons that are now avoided.
	listedRing *rendezvous.Rendezvous
	// live and leaving are the hosts in these states, also those that are avoided.
	live, leaving []host
	// ringsWithout are the rings of the listed daemons without the one that is the key,
	// made when they are needed.
	ringsWithout map[string]*rendezvous.Rendezvous
}

// candidatesLocked recomputes the candidates only when the member list has
// changed or a daemon is no longer to be avoided. It is called for each placement
// and each pool, and hashing hundreds of names each time would cost more than the
// rest of a placement.
func (c *Client) candidatesLocked(now time.Time) *candidates {
	members := c.opts.Members.Members()
	if s := c.cachedCandidates; s != nil && sameSlice(s.memberList, members) && now.Before(s.validUntil) {
		return s
	}
	s := &candidates{memberList: members, validUntil: now.Add(candidatesTTL), addresses: make(map[string]string)}
	var live, leaving memberGroup
	for i := range members {
		m := &members[i]
		group := &live
		if m.State == port.MemberLeaving {
			group = &leaving
		}
		switch {
		case m.ID == c.opts.Self:
			group.add(m, true)
		case m.CallerAddress == "" || m.State != port.MemberLive && m.State != port.MemberLeaving:
		case now.Before(c.avoidUntil[m.ID]):
			group.add(m, false)
			s.validUntil = earlier(s.validUntil, c.avoidUntil[m.ID])
		default:
			group.add(m, true)
			s.addresses[m.ID] = m.PeerAddress
		}
	}
	isSelf := func(h host) bool { return h.id == c.opts.Self }
	if !slices.ContainsFunc(leaving.listed, isSelf) && !slices.ContainsFunc(live.listed, isSelf) {
		live.add(&port.Member{ID: c.opts.Self, Capacity: c.opts.Capacity}, true)
	}
	large := largeHosts(firstNonEmpty(live.reachable, leaving.reachable))
	s.ring, s.ringSize = rendezvous.New(large, xxhash.Sum64String), len(large)
	s.listedRing = rendezvous.New(largeHosts(firstNonEmpty(live.listed, leaving.listed)), xxhash.Sum64String)
	s.live, s.leaving, s.ringsWithout = live.listed, leaving.listed, make(map[string]*rendezvous.Rendezvous)
	c.cachedCandidates = s
	return s
}

// host is a daemon and the processors of its host in thousandths of a core, zero if
// they are not known.
type host struct {
	id             string
	processorMilli uint32
}

// memberGroup holds the daemons in one state: all, and those that are not avoided
// now.
type memberGroup struct{ listed, reachable []host }

func (g *memberGroup) add(m *port.Member, reachable bool) {
	h := host{id: m.ID, processorMilli: m.Capacity.ProcessorMilli}
	g.listed = append(g.listed, h)
	if reachable {
		g.reachable = append(g.reachable, h)
	}
}

// firstNonEmpty returns the live daemons, or the leaving ones if none is live. A daemon
// that is leaving coordinates only while no live one can.
func firstNonEmpty(live, leaving []host) []host {
	if len(live) > 0 {
		return live
	}
	return leaving
}

// largeHosts returns the ids of the hosts that may coordinate pools: those with at
// least half the processors of the largest, and those whose processors are not known.
// Small hosts that join or leave change no coordinator, and a placement takes longer
// on a small host than on a large one.
func largeHosts(hosts []host) []string {
	var largest uint32
	for _, h := range hosts {
		largest = max(largest, h.processorMilli)
	}
	var ids []string
	for _, h := range hosts {
		if h.processorMilli == 0 || uint64(h.processorMilli)*2 >= uint64(largest) {
			ids = append(ids, h.id)
		}
	}
	return ids
}

// candidatesTTL bounds the time for which computed candidates are used.
const candidatesTTL = time.Minute

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// sameSlice reports whether two lists share the same memory. That suffices to
// compare member lists because a list is never modified, see Members.
func sameSlice(a, b []port.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// peer returns the connection to a coordinator.
func (c *Client) peer(d daemon) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerLocked(d).peer
}

func (c *Client) peerLocked(d daemon) *peerState {
	p := c.peers[d.id]
	if p != nil && p.address == d.address {
		return p
	}
	if p != nil {
		p.peer.Close()
	}
	p = &peerState{address: d.address, peer: c.opts.Dial(d.address)}
	c.peers[d.id] = p
	return p
}

// handlePeerFailure drops a coordinator that did not answer. The runs that it
// counted are reported to the next coordinator of their pools.
func (c *Client) handlePeerFailure(d daemon, err error) {
	c.opts.Logger.Warn().Str("event", "scheduling_peer_lost").Str("peer", d.id).Err(err).Msg("")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[d.id] = c.opts.Clock().Add(avoidDuration)
	c.cachedCandidates = nil
	if p := c.peers[d.id]; p != nil && p.address == d.address {
		p.peer.Close()
		delete(c.peers, d.id)
	}
	for _, r := range c.runs {
		if r.coordinator == d.id {
			r.coordinator = ""
		}
		if r.former == d.id {
			r.former = ""
		}
	}
	c.reassignRunsLocked()
}

// reassignRunsLocked reports each run whose pool has a new coordinator to that
// coordinator.
func (c *Client) reassignRunsLocked() {
	coordinators := map[string]daemon{}
	for _, r := range c.runs {
		c.endFormerLocked(r, c.opts.Clock())
		pool := r.running.Request.Pool
		coordinator, known := coordinators[pool]
		if !known {
			coordinator = c.coordinatorLocked(pool)
			coordinators[pool] = coordinator
		}
		if r.coordinator != coordinator.id {
			c.reassignRunLocked(r, coordinator)
		}
	}
}

// Run sends updates on this daemon's runs to the coordinators until the context
// ends.
func (c *Client) Run(ctx context.Context) {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	changed := c.opts.Members.Changed()
	for {
		select {
		case <-ctx.Done():
			c.finishHandOvers(ctx)
			return
		case <-changed:
			changed = c.opts.Members.Changed()
			c.local.updateLimitShares()
			c.reassignRuns()
			c.sendHandOvers(ctx)
		case <-progress.C:
			c.reportRuns()
			c.reassignRuns()
			c.local.Expire()
			c.local.updateLimitShares()
			c.expireLimits()
		case <-flush.C:
			c.flush(ctx)
			c.sendHandOvers(ctx)
		}
	}
}

func (c *Client) reassignRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reassignRunsLocked()
}

// reportRuns reports the runs with new tokens, and the others once per
// keepaliveInterval.
func (c *Client) reportRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	for _, r := range c.runs {
		if r.running.Tokens > r.reportedTokens || now.Sub(r.reportedAt) >= keepaliveInterval {
			c.reportRun(r)
		}
	}
}

// flush sends the queued updates, with one message at a time to each coordinator.
func (c *Client) flush(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if send := c.nextMessage(ctx, daemon{id: id, address: p.address}, p); send != nil {
			go send()
		}
	}
}

// nextMessage takes the updates queued for a coordinator and returns a function
// that sends them. It returns nil if there are no updates or a message is under
// way. The caller holds c.mu.
func (c *Client) nextMessage(ctx context.Context, d daemon, p *peerState) (send func()) {
	if p.inFlight != nil || len(p.pendingRuns)+len(p.pendingEvents) == 0 {
		return nil
	}
	adopted, events := p.pendingRuns, p.pendingEvents
	p.pendingRuns, p.pendingEvents, p.inFlight = nil, nil, make(chan struct{})
	return func() { c.send(ctx, d, p, adopted, events) }
}

// flushPeer sends a coordinator its queued updates before it is asked to place
// the next attempt of a request. Otherwise the coordinator would take the request
// as still placed at the runner where the last attempt failed, and would choose
// that runner again.
func (c *Client) flushPeer(ctx context.Context, d daemon) {
	for range 2 {
		c.mu.Lock()
		p := c.peerLocked(d)
		send, inFlight := c.nextMessage(context.WithoutCancel(ctx), d, p), p.inFlight
		c.mu.Unlock()
		switch {
		case send != nil:
			send()
			return
		case inFlight == nil:
			return
		}
		select {
		case <-inFlight:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) send(ctx context.Context, d daemon, p *peerState, adopted []port.RunningRequest, events []RunEvent) {
	err := p.peer.Update(ctx, adopted, events)
	c.mu.Lock()
	if p.inFlight != nil {
		close(p.inFlight)
		p.inFlight = nil
	}
	current := c.peers[d.id] == p
	c.mu.Unlock()
	if err != nil && current && ctx.Err() == nil {
		c.handlePeerFailure(d, err)
	}
}
