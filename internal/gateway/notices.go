package gateway

import (
	"fmt"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// NoticePublisher announces to all daemons what endpoints state about themselves.
type NoticePublisher interface {
	// PublishLeaving announces that an incarnation of an endpoint is leaving.
	PublishLeaving(endpoint string, incarnation uint64)
	// PublishCold announces that an incarnation of an endpoint stays cold for a time.
	PublishCold(endpoint string, incarnation uint64, coldFor time.Duration)
}

// ObserveNotice evaluates what an endpoint states about itself in an answer to
// any call. The endpoint is the one that the call was sent to, with the
// incarnation that was known then.
func (g *Gateway) ObserveNotice(e port.Endpoint, n port.EndpointNotice) {
	lasting := n.Leaving || n.PauseFor > 0
	if known, found := g.endpointTable.get(e.ID); lasting && found && known.State == port.EndpointLive && known.Incarnation > e.Incarnation {
		// The call was sent before the restart was known.
		g.checkIncarnation(known.Endpoint)
	}
	if n.Leaving {
		g.observeLeaveNotice(e, n)
	}
	if n.PauseFor > 0 {
		g.observePauseNotice(e, n)
	}
	if n.RateLimit != nil {
		g.observeLimit(e, n.RateLimit)
	}
	g.observeColdness(e, n.ColdFor)
	if n.Refusals != nil && *n.Refusals > 0 && g.brittle.Observe(g.Clock(), &e, *n.Refusals) {
		g.recordNotice(e, verdictBrittle, fmt.Sprintf("withstands %d refusals a second, says %s", *n.Refusals, describeAnswer(n)))
	}
}

func (g *Gateway) observeLeaveNotice(e port.Endpoint, n port.EndpointNotice) {
	g.metrics.leaveNotices.Inc(1)
	if g.markLeaving(e, "says so in "+describeAnswer(n)) {
		// An endpoint that has announced its leaving never returns from it, whatever
		// the registry lists; the other daemons may not get an answer in time.
		g.Notices.PublishLeaving(e.ID, e.Incarnation)
	}
}

func (g *Gateway) observePauseNotice(e port.Endpoint, n port.EndpointNotice) {
	g.metrics.pauseNotices.Inc(1)
	if g.pauses.Start(g.Clock(), &e, n.PauseFor) {
		g.recordNotice(e, verdictPause, fmt.Sprintf("asks this host for a pause of %v in %s", n.PauseFor, describeAnswer(n)))
	}
	g.metrics.paused.Update(int64(g.pauses.Len()))
}

// describeAnswer identifies the answer that a notice came with.
func describeAnswer(n port.EndpointNotice) string {
	text := fmt.Sprintf("its answer with status %d to a call of kind %s", n.Status, n.Call)
	if n.RequestID != "" {
		text += " for request " + n.RequestID
	}
	return text
}

// recordEndedPauses records the pauses that have ended.
func (g *Gateway) recordEndedPauses() {
	ended := g.pauses.RemoveEnded(g.Clock())
	for _, id := range ended {
		h, _ := g.endpointTable.get(id)
		// The endpoint may have been removed during the pause.
		h.ID = id
		g.recordNotice(h.Endpoint, verdictPauseEnded, "the time that it asked for has passed")
	}
	if len(ended) > 0 {
		g.metrics.paused.Update(int64(g.pauses.Len()))
	}
}

func (g *Gateway) recordNotice(e port.Endpoint, verdict, reason string) {
	g.recordDecision(&port.DecisionRecord{
		Subject: subjectEndpoint, SubjectID: e.ID, Verdict: verdict, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}
