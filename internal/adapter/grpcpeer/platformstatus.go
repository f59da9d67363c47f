package grpcpeer

import (
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
)

// MinStatusAdvance is how much newer the platform's last answer or the last call must be
// than the status sent before, for a keeper to send it before the next heartbeat.
const MinStatusAdvance = time.Second

// PlatformRelay holds a keeper's status of the platform, which keepers exchange.
type PlatformRelay interface {
	// Status returns the status to send.
	Status() watchduty.StoreStatus
	// ReceiveStatus merges a status received from a peer. Times that the message does
	// not contain are zero.
	ReceiveStatus(n watchduty.StoreStatus)
}

// platformStatus holds the fields of a message that contain the status.
type platformStatus struct {
	ageMillis int64
	try       *peerv1.PlatformTry
}

func (n *platformStatus) empty() bool { return n.ageMillis == 0 && n.try == nil }

// platformStatusSender decides when one end of a link between keepers sends the status
// of the platform. If it were sent only with heartbeats, its age would grow by up to
// one heartbeat interval per hop, and keepers many hops from a watcher would assume
// that no status reaches them.
type platformStatusSender struct {
	// relay is nil if the peer is not a keeper.
	relay PlatformRelay
	// lastSent is the status that was last sent to the peer.
	lastSent watchduty.StoreStatus
}

// next returns the status to send, which may be empty. Between heartbeats, the status
// is sent only if it is newer by MinStatusAdvance, or if the platform has started or
// stopped answering.
func (f *platformStatusSender) next(now time.Time, heartbeat bool) platformStatus {
	if f.relay == nil {
		return platformStatus{}
	}
	n := f.relay.Status()
	newer := n.Tried.After(f.lastSent.Tried) || n.Answered.After(f.lastSent.Answered)
	if !newer || !heartbeat && !n.ShouldSend(f.lastSent, MinStatusAdvance) {
		return platformStatus{}
	}
	f.lastSent = n
	out := platformStatus{try: &peerv1.PlatformTry{AgeMillis: ageMillis(now, n.Tried), By: n.By}}
	if !n.Answered.IsZero() {
		out.ageMillis = ageMillis(now, n.Answered)
	}
	return out
}

// ageMillis returns an age, rounded up. With ages rounded down, an old answer would
// become younger each time it passes through a cycle of keepers.
func ageMillis(now, at time.Time) int64 { return now.Sub(at).Milliseconds() + 1 }

// statusFromWire returns the status in a message. Peers of older builds send only the
// age of the last answer; it then also counts as the last call.
func statusFromWire(now time.Time, answeredAgeMillis int64, try *peerv1.PlatformTry) watchduty.StoreStatus {
	var n watchduty.StoreStatus
	at := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	if answeredAgeMillis > 0 {
		n.Answered, n.Tried = at(answeredAgeMillis), at(answeredAgeMillis)
	}
	if try.GetAgeMillis() > 0 {
		n.Tried, n.By = at(try.GetAgeMillis()), try.GetBy()
	}
	return n
}
