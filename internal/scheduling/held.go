package scheduling

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// placeAt places a generation through another daemon. A request that is held there stays
// there if the pool's coordinator changes. It is withdrawn only when that daemon is no
// longer listed as live or leaving: a frozen or cut-off daemon keeps the connection open
// for seconds, and the request would be refused at its deadline.
func (c *Client) placeAt(ctx context.Context, coordinator daemon, r *port.GenerationRequest, onHold func(*port.Decision)) (port.Decision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch sync.Once
	return c.peer(coordinator).Place(ctx, r, func(d *port.Decision) {
		d.Coordinator = coordinator.id
		watch.Do(func() { go c.cancelWhenGone(ctx, cancel, coordinator.id) })
		onHold(d)
	})
}

// cancelWhenGone calls cancel when a daemon is no longer listed as live or leaving. It
// returns when the context ends.
func (c *Client) cancelWhenGone(ctx context.Context, cancel context.CancelFunc, id string) {
	for {
		changed := c.opts.Members.Changed()
		if !isServing(c.opts.Members.Members(), id) {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func isServing(members []port.Member, id string) bool {
	// A member is suspect for a moment whenever a link to it fails, and may well decide.
	return slices.ContainsFunc(members, func(m port.Member) bool {
		return m.ID == id && (m.State == port.MemberLive || m.State == port.MemberLeaving || m.State == port.MemberSuspect)
	})
}

// discardPlacement reports to a coordinator that a request doesn't run, in case that it was
// placed while its caller left. The coordinator would count it until runExpiry.
func (c *Client) discardPlacement(coordinator daemon, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[requestID] != nil {
		return
	}
	p := c.peerLocked(coordinator)
	p.pendingEvents = append(p.pendingEvents, RunEvent{RequestID: requestID, Finish: port.FinishUntracked})
}

// reportPlacementLocked reports a run that was placed by a daemon that is no longer the
// pool's coordinator to the successor. Until the successor knows of the run, it would
// place others in the same room. The caller holds c.mu.
func (c *Client) reportPlacementLocked(r *openRun) {
	coordinator := c.coordinatorLocked(r.running.Request.Pool)
	if r.coordinator != coordinator.id {
		c.reassignRunLocked(r, coordinator)
	}
}

// reassignRunLocked reports a run to a new coordinator. The former one gets reports on the
// run for a while longer. The caller holds c.mu.
func (c *Client) reassignRunLocked(r *openRun, coordinator daemon) {
	now := c.opts.Clock()
	if r.former != coordinator.id {
		c.untrackFormerLocked(r)
	}
	r.former, r.formerUntil = r.coordinator, now.Add(formerInformedFor)
	r.coordinator, r.reportedAt = coordinator.id, now
	// The new coordinator may know nothing of the endpoint.
	r.meter.reported = false
	if coordinator.id == c.opts.Self {
		c.local.Update([]port.RunningRequest{r.running}, nil)
		return
	}
	p := c.peerLocked(coordinator)
	p.dropUntracked(r.running.Request.RequestID)
	p.pendingRuns = append(p.pendingRuns, r.running)
}

// endFormerLocked ends the reports of a run to its former coordinator when their time is
// over. The caller holds c.mu.
func (c *Client) endFormerLocked(r *openRun, now time.Time) {
	if r.former != "" && !now.Before(r.formerUntil) {
		c.untrackFormerLocked(r)
		r.former = ""
	}
}

// untrackFormerLocked reports to the former coordinator that it need not count the run any
// more. The caller holds c.mu.
func (c *Client) untrackFormerLocked(r *openRun) {
	if r.former != "" && r.former != r.coordinator {
		c.queueEvent(r.former, RunEvent{RequestID: r.running.Request.RequestID, Finish: port.FinishUntracked})
	}
}

// dropUntracked removes the queued events that end a run because another daemon counts
// it. If the coordinator changes back before they are sent, they would end the run that
// is reported again, as a message's runs are applied before its events.
func (p *peerState) dropUntracked(requestID string) {
	p.pendingEvents = slices.DeleteFunc(p.pendingEvents, func(e RunEvent) bool {
		return e.RequestID == requestID && e.Finish == port.FinishUntracked
	})
}

// formerInformedFor is how long the former coordinator of a run gets reports on the run. It
// must not take the runners for empty while it still holds requests, most of which are
// placed or refused within this time.
const formerInformedFor = 5 * time.Second
