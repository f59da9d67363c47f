package scheduling

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// daemon is one that may coordinate pools.
type daemon struct{ id, address string }

// coordinator is the daemon whose scheduler places the runs of a pool, as far
// as this one knows: the same at all that know the same live daemons.
func (c *Client) coordinator(pool string) daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinatorLocked(pool)
}

func (c *Client) coordinatorLocked(pool string) daemon {
	s := c.candidatesLocked(c.o.Clock())
	id := s.ring.Lookup(pool)
	if before := c.kept[pool]; before != id {
		c.kept[pool] = id
		c.o.Logger.Info().Str("event", "coordinator_changed").Str("pool", pool).Str("from", before).Str("to", id).Msg("")
	}
	return daemon{id: id, address: s.addresses[id]}
}

// isListedCoordinator reports whether this daemon is the pool's coordinator for
// all that know the same live daemons, and not only for those that can't reach
// another one.
func (c *Client) isListedCoordinator(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.candidatesLocked(c.o.Clock()).listed.Lookup(pool) == c.o.Self
}

// candidates are the daemons that may coordinate pools.
type candidates struct {
	// of is the list of members that they follow from, until is when one that
	// is avoided now may be asked again.
	of        []port.Member
	until     time.Time
	ring      *rendezvous.Rendezvous
	addresses map[string]string
	// listed is the ring with those that are avoided.
	listed *rendezvous.Rendezvous
}

// candidatesLocked works the candidates out again only when another list of
// members, or the end of a time to avoid one, may change them: each placement
// and each pool asks, and hashing hundreds of names each time costs more than
// all else in a placement.
func (c *Client) candidatesLocked(now time.Time) *candidates {
	members := c.o.Members.Members()
	if s := c.last; s != nil && sameList(s.of, members) && now.Before(s.until) {
		return s
	}
	s := &candidates{of: members, until: now.Add(candidatesFor), addresses: make(map[string]string)}
	var ids, avoided []string
	leaving := false
	for i := range members {
		m := &members[i]
		switch {
		case m.ID == c.o.Self:
			leaving = m.State == port.MemberLeaving
		case m.CallerAddress == "" || m.State != port.MemberLive:
		case now.Before(c.avoid[m.ID]):
			avoided = append(avoided, m.ID)
			s.until = earlier(s.until, c.avoid[m.ID])
		default:
			ids = append(ids, m.ID)
			s.addresses[m.ID] = m.PeerAddress
		}
	}
	if !leaving || len(ids) == 0 {
		ids = append(ids, c.o.Self)
	}
	s.ring = rendezvous.New(ids, xxhash.Sum64String)
	s.listed = s.ring
	if len(avoided) > 0 {
		s.listed = rendezvous.New(append(avoided, ids...), xxhash.Sum64String)
	}
	c.last = s
	return s
}

// candidatesFor bounds how long candidates hold without another look.
const candidatesFor = time.Minute

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// sameList reports whether two lists are one in memory. A list of members is
// never changed, see Members.
func sameList(a, b []port.Member) bool {
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
	p = &peerState{address: d.address, peer: c.o.Dial(d.address)}
	c.peers[d.id] = p
	return p
}

// lost gives up a coordinator that didn't answer: the next in line is asked, and
// told what runs.
func (c *Client) lost(d daemon, err error) {
	c.o.Logger.Warn().Str("event", "scheduling_peer_lost").Str("peer", d.id).Err(err).Msg("")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[d.id] = c.o.Clock().Add(avoidFor)
	c.last = nil
	if p := c.peers[d.id]; p != nil && p.address == d.address {
		p.peer.Close()
		delete(c.peers, d.id)
	}
	for _, r := range c.runs {
		if r.coordinator == d.id {
			r.coordinator = ""
		}
	}
	c.rehomeLocked()
}

// rehomeLocked tells the coordinator of each run's pool of the run where that is
// another daemon now.
func (c *Client) rehomeLocked() {
	coordinators := map[string]daemon{}
	for _, r := range c.runs {
		pool := r.running.Request.Pool
		coordinator, known := coordinators[pool]
		if !known {
			coordinator = c.coordinatorLocked(pool)
			coordinators[pool] = coordinator
		}
		if r.coordinator == coordinator.id {
			continue
		}
		c.tell(r, RunEvent{RequestID: r.running.Request.RequestID, Finish: port.FinishElsewhere})
		r.coordinator, r.mentioned = coordinator.id, c.o.Clock()
		if coordinator.id == c.o.Self {
			c.local.Update([]port.RunningRequest{r.running}, nil)
			continue
		}
		p := c.peerLocked(coordinator)
		p.adopted = append(p.adopted, r.running)
	}
}

// Run tells the coordinators what became of this daemon's runs until the context
// ends.
func (c *Client) Run(ctx context.Context) {
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	progress := time.NewTicker(progressEvery)
	defer progress.Stop()
	changed := c.o.Members.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = c.o.Members.Changed()
			c.rehome()
		case <-progress.C:
			c.tellProgress()
			c.rehome()
			c.local.Expire()
			c.expireLimits()
		case <-flush.C:
			c.flush(ctx)
		}
	}
}

func (c *Client) rehome() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rehomeLocked()
}

// tellProgress mentions the runs that have grown, and now and then the others.
func (c *Client) tellProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock()
	for _, r := range c.runs {
		if r.running.Tokens > r.told || now.Sub(r.mentioned) >= mentionEvery {
			c.mention(r)
		}
	}
}

// flush sends what is queued, one message at a time to each coordinator.
func (c *Client) flush(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if send := c.nextMessage(ctx, daemon{id: id, address: p.address}, p); send != nil {
			go send()
		}
	}
}

// nextMessage takes what is queued for a coordinator and returns what sends it,
// nil where there is nothing or a message is under way; c.mu is held.
func (c *Client) nextMessage(ctx context.Context, d daemon, p *peerState) (send func()) {
	if p.sending != nil || len(p.adopted)+len(p.events) == 0 {
		return nil
	}
	adopted, events := p.adopted, p.events
	p.adopted, p.events, p.sending = nil, nil, make(chan struct{})
	return func() { c.send(ctx, d, p, adopted, events) }
}

// tellNow tells a coordinator what is queued for it before it is asked for the
// next place of a request. Else it would hold the request for placed where the
// last attempt failed, and name that runner again.
func (c *Client) tellNow(ctx context.Context, d daemon) {
	for range 2 {
		c.mu.Lock()
		p := c.peerLocked(d)
		send, sending := c.nextMessage(context.WithoutCancel(ctx), d, p), p.sending
		c.mu.Unlock()
		switch {
		case send != nil:
			send()
			return
		case sending == nil:
			return
		}
		select {
		case <-sending:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) send(ctx context.Context, d daemon, p *peerState, adopted []port.RunningRequest, events []RunEvent) {
	err := p.peer.Update(ctx, adopted, events)
	c.mu.Lock()
	if p.sending != nil {
		close(p.sending)
		p.sending = nil
	}
	current := c.peers[d.id] == p
	c.mu.Unlock()
	if err != nil && current && ctx.Err() == nil {
		c.lost(d, err)
	}
}
