package grpcpeer

import (
	"testing"
	"time"
)

// Guards against ages that leave out the wait of a message after a stop of any length, or that grow as two clocks drift apart.
func TestWaitOfMessageCountsAfterStopsAndNotForDrift(t *testing.T) {
	const (
		way   = 3 * time.Millisecond
		ppm   = 100
		drift = 2 * transitWindow * ppm / 1_000_000
	)
	began := clockOrigin.Add(time.Hour)
	// waited passes a message of a sender whose clock is slow, and returns for how long it waited.
	var link transit
	waited := func(sent, wait time.Duration) time.Duration {
		received := began.Add(sent + way + wait)
		return received.Sub(link.sentAt(received, (sent-sent*ppm/1_000_000).Microseconds()+1))
	}
	for sent := time.Duration(0); sent < time.Hour; sent += time.Second {
		if got := waited(sent, 0); got > drift+time.Microsecond {
			t.Fatalf("%v: a message that didn't wait waited %v", sent, got)
		}
	}
	for _, stop := range []time.Duration{time.Second, transitWindow, time.Hour} {
		link = transit{}
		waited(0, 0)
		resumed := time.Second + stop
		for sent := time.Second; sent < resumed; sent += stop / 8 {
			wait := resumed - sent
			if got := waited(sent, wait); (got - wait).Abs() > resumed*ppm/1_000_000+time.Microsecond {
				t.Errorf("a stop of %v: a message that waited %v waited %v", stop, wait, got)
			}
		}
	}
	if now := time.Now(); !link.sentAt(now, 0).Equal(now) {
		t.Error("a message without a time is dated")
	}
}
