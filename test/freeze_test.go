package test

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Pauses a router while it streams a report, and sends it a ledger call during
// the pause. The caller retries at the other router, which runs the call. After
// the pause, the first router must not run the waiting call again, and the
// report must continue without a lost or duplicate token.
func TestRouterPauseLosesAndRepeatsNothing(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	frozen, other := s.Routers[0], s.Routers[1]
	c := s.Caller(procs.DemoOrganisation)
	const tokens = 200
	report := openStream(t, c, []string{frozen.Address}, "report", tokens)
	report.waitTokens(10)
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	const key = "entry-in-the-pause"
	waiting := callInBackground(t, c, frozen.Address, ledgerCall(key))
	retryAt(t, s, other, key)
	if got := runCount(t, s, key); got != 1 {
		t.Fatalf("ran %d times at the other router", got)
	}
	if err := frozen.Thaw(); err != nil {
		t.Fatal(err)
	}
	late := <-waiting
	checkReplyMatchesRuns(t, s, key, late.reply, late.err)
	if got := runCount(t, s, key); got != 1 {
		t.Fatalf("ran %d times after the pause", got)
	}
	report.mustComplete(t, tokens)
}
