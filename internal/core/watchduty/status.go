package watchduty

import "time"

// StoreStatus is the status of the store as known to a daemon from the calls of all
// daemons. Its times are those of the daemon's own host.
type StoreStatus struct {
	// Answered is when the store last answered a call, zero for never.
	Answered time.Time
	// Tried is the time of the last call to the store, answered or not; By is the
	// hash of the id of the daemon that made it.
	Tried time.Time
	By    uint64
}

// Failing reports whether the last known call was not answered.
func (n StoreStatus) Failing() bool { return n.Tried.After(n.Answered) }

// Merge returns the combined status known to two daemons.
func (n StoreStatus) Merge(o StoreStatus) StoreStatus {
	out := n
	if o.Answered.After(out.Answered) {
		out.Answered = o.Answered
	}
	if o.Tried.After(out.Tried) {
		out.Tried, out.By = o.Tried, o.By
	}
	if out.Answered.After(out.Tried) {
		out.Tried = out.Answered
	}
	return out
}

// ShouldSend reports whether n should be sent at once to a peer that last received before:
// the store has started to fail or to answer again, or one of the times has advanced
// by at least step.
func (n StoreStatus) ShouldSend(before StoreStatus, step time.Duration) bool {
	if n.Tried.After(before.Tried) && n.Failing() != before.Failing() {
		return true
	}
	return n.Answered.Sub(before.Answered) >= step || n.Tried.Sub(before.Tried) >= step
}
