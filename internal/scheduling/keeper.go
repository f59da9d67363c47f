package scheduling

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// daemon is one that may keep books.
type daemon struct{ id, address string }

// keeper is the daemon that keeps the books of a pool, as far as this one
// knows: the same at all that know the same live daemons.
func (c *Client) keeper(pool string) daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keeperLocked(pool)
}

func (c *Client) keeperLocked(pool string) daemon {
	now := c.o.Clock()
	var ids []string
	addresses := map[string]string{}
	leaving := false
	for _, m := range c.o.Members.Members() {
		switch {
		case m.ID == c.o.Self:
			leaving = m.State == port.MemberLeaving
		case m.CallerAddress != "" && m.State == port.MemberLive && !now.Before(c.avoid[m.ID]):
			ids = append(ids, m.ID)
			addresses[m.ID] = m.PeerAddress
		}
	}
	if !leaving || len(ids) == 0 {
		ids = append(ids, c.o.Self)
	}
	id := rendezvous.New(ids, xxhash.Sum64String).Lookup(pool)
	if before := c.kept[pool]; before != id {
		c.kept[pool] = id
		c.o.Logger.Info().Str("event", "books_moved").Str("pool", pool).Str("from", before).Str("to", id).Msg("")
	}
	return daemon{id: id, address: addresses[id]}
}

// peer returns the connection to a keeper.
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

// lost gives up a keeper that didn't answer: the next in line is asked, and
// told what runs.
func (c *Client) lost(d daemon, err error) {
	c.o.Logger.Warn().Str("event", "scheduling_peer_lost").Str("peer", d.id).Err(err).Msg("")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[d.id] = c.o.Clock().Add(avoidFor)
	if p := c.peers[d.id]; p != nil && p.address == d.address {
		p.peer.Close()
		delete(c.peers, d.id)
	}
	for _, r := range c.runs {
		if r.keeper == d.id {
			r.keeper = ""
		}
	}
	c.rehomeLocked()
}

// rehomeLocked tells the books of each run's pool of the run where another
// daemon keeps them now.
func (c *Client) rehomeLocked() {
	keepers := map[string]daemon{}
	for _, r := range c.runs {
		pool := r.running.Request.Pool
		keeper, known := keepers[pool]
		if !known {
			keeper = c.keeperLocked(pool)
			keepers[pool] = keeper
		}
		if r.keeper == keeper.id {
			continue
		}
		c.tell(r, RunEvent{RequestID: r.running.Request.RequestID, Finish: port.FinishElsewhere})
		r.keeper, r.mentioned = keeper.id, c.o.Clock()
		if keeper.id == c.o.Self {
			c.book.Update([]port.RunningRequest{r.running}, nil)
			continue
		}
		p := c.peerLocked(keeper)
		p.adopted = append(p.adopted, r.running)
	}
}

// Run tells the keepers what became of this daemon's runs until the context
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
			c.book.Expire()
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

// flush sends what is queued, one message at a time to each keeper.
func (c *Client) flush(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if p.sending || len(p.adopted)+len(p.events) == 0 {
			continue
		}
		adopted, events := p.adopted, p.events
		p.adopted, p.events, p.sending = nil, nil, true
		go c.send(ctx, daemon{id: id, address: p.address}, p, adopted, events)
	}
}

func (c *Client) send(ctx context.Context, d daemon, p *peerState, adopted []port.RunningRequest, events []RunEvent) {
	err := p.peer.Update(ctx, adopted, events)
	c.mu.Lock()
	p.sending = false
	current := c.peers[d.id] == p
	c.mu.Unlock()
	if err != nil && current && ctx.Err() == nil {
		c.lost(d, err)
	}
}
