package crashwatch

import (
	"context"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// crashLog sends reported crashes to a channel, and quarantines nothing.
type crashLog chan []quarantine.Loss

func (crashLog) Quarantined(time.Time, *quarantine.Request) (quarantine.Hold, bool) {
	return quarantine.Hold{}, false
}
func (crashLog) Revision() uint64                                                    { return 0 }
func (crashLog) Completed(time.Time, *quarantine.Request)                            {}
func (l crashLog) Crashed(_ time.Time, _ quarantine.CrashID, lost []quarantine.Loss) { l <- lost }

// Guards against counting a check as finished before the crash that it found is reported.
func TestCheckIsPendingUntilItsCrashIsReported(t *testing.T) {
	crashes := make(crashLog)
	pending := make(chan int)
	var w *Watch
	w = New(Options{
		Quarantine:    crashes,
		CheckPresence: func(context.Context, port.Endpoint) port.Presence { return port.PresenceGone },
		IsLeaving:     func(port.Endpoint) bool { return false },
		OnCrash:       func(port.Endpoint, quarantine.CrashID, string, int) { pending <- w.PendingChecks() },
		Clock:         time.Now,
	})
	w.End(w.Begin(port.Endpoint{ID: "e"}, &quarantine.Request{}, nil), true)
	if n := <-pending; n != 1 {
		t.Errorf("%d checks are pending before the crash is recorded, want 1", n)
	}
	if n := w.PendingChecks(); n != 1 {
		t.Errorf("%d checks are pending before the crash is counted, want 1", n)
	}
	if lost := <-crashes; len(lost) != 1 {
		t.Errorf("%d requests were lost, want 1", len(lost))
	}
	eventually.True(t, "the check has finished", func() bool { return w.PendingChecks() == 0 })
}
