package grpcpeer

import "time"

// clockOrigin is the origin of this process's clock in messages.
var clockOrigin = time.Now()

// sentMicros returns the time for a message that is sent now, by this process's steady
// clock; never zero.
func sentMicros() int64 { return max(1, time.Since(clockOrigin).Microseconds()) }

// transitWindow is the age at which a shortest transit is replaced. It is short, as the
// clocks of two hosts drift apart by some milliseconds a minute.
const transitWindow = time.Minute

// transit estimates when the messages of one direction of a link were sent. Ages in a
// message are those at that time: a message waits while its receiver is stopped or the
// link is stalled. As the clocks of both ends have different origins, each message is
// compared with the fastest one of the last one to two windows.
type transit struct {
	// shortest and previous are the least differences between the receiver's and the
	// sender's clock in the current window and in the one before.
	shortest, previous time.Duration
	windowStart        time.Time
}

// sentAt returns when a message was sent, by the receiver's clock: the time at which it
// was received, less the time that it took longer than the fastest one. Peers of a build
// that doesn't send the time count as sending at that moment; sentMicros is zero then.
func (t *transit) sentAt(now time.Time, sentMicros int64) time.Time {
	if sentMicros <= 0 {
		return now
	}
	difference := now.Sub(clockOrigin) - time.Duration(sentMicros)*time.Microsecond
	switch {
	case t.windowStart.IsZero():
		t.shortest, t.previous, t.windowStart = difference, difference, now
	case now.Sub(t.windowStart) >= transitWindow:
		t.shortest, t.previous, t.windowStart = difference, t.shortest, now
	default:
		t.shortest = min(t.shortest, difference)
	}
	return now.Add(-max(0, difference-min(t.shortest, t.previous)))
}
