package test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Makes engines cut connections, drop and duplicate frames, mix frames of
// different generations and end streams early. Concurrent callers of both
// routers, with answers of different lengths, must each receive their own
// complete answer without having to resume.
func TestFaultyFramesNeverReachCallers(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	faults := map[string]engine.Faults{
		"cut":       {CutAfterTokens: 7},
		"drop":      {DropFrame: 5},
		"duplicate": {DuplicateFrame: 5},
		"cross":     {CrossGeneration: true},
		"early":     {EarlyClose: true},
		"all":       {CutAfterTokens: 9, DropFrame: 3, DuplicateFrame: 5, CrossGeneration: true, EarlyClose: true},
	}
	for name, f := range faults {
		for _, e := range s.Engines {
			setFaults(t, e, f)
		}
		var streams []*stream
		const first = 10
		for i := range 16 {
			router := s.Routers[i%len(s.Routers)]
			c := s.Caller(procs.DemoOrganisation)
			streams = append(streams, openStream(t, c, []string{router.Address}, fmt.Sprintf("%s %d", name, i), first+i))
		}
		for i, st := range streams {
			st.mustComplete(t, first+i)
			if st.answer.Resumes > 0 {
				t.Errorf("%s: the caller had to resume", name)
			}
		}
	}
}

// Pauses the platform while a ledger call is claimed. The caller must get
// not_run. The write may still take effect after the pause; the call must then
// succeed with the same key and run once.
func TestPlatformFrozenWhileClaiming(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	if err := s.Platform.Freeze(); err != nil {
		t.Fatal(err)
	}
	for _, router := range s.Routers {
		generate(t, s, router, "while frozen")
	}
	reply, err := c.Service(testContext(t), s.Routers[0].Address, ledgerCall("frozen"))
	t.Logf("while frozen: %s", describeReply(reply, err))
	if !isNotRun(reply, err) {
		t.Fatalf("reply while the platform is frozen: %s", describeReply(reply, err))
	}
	if err := s.Platform.Thaw(); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the ledger call succeeds with the same key", func() bool {
		reply, err := c.Service(testContext(t), s.Routers[1].Address, ledgerCall("frozen"))
		checkReplyMatchesRuns(t, s, "frozen", reply, err)
		return err == nil && reply.Status == http.StatusOK
	})
	if n := runCount(t, s, "frozen"); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

// Kills all keepers. Generations and repeatable calls must still be answered; a
// ledger call must be refused with not_run and must not run.
func TestAllKeepersDown(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	for _, keeper := range s.Keepers {
		keeper.Kill()
	}
	c := s.Caller(procs.DemoOrganisation)
	for _, router := range s.Routers {
		generate(t, s, router, "without keepers")
		reply, err := c.Service(testContext(t), router.Address, repeatableCall())
		if err != nil || reply.Status != http.StatusOK {
			t.Fatalf("a repeatable call: %s", describeReply(reply, err))
		}
		key := "entry-" + router.ID
		reply, err = c.Service(testContext(t), router.Address, ledgerCall(key))
		if !isNotRun(reply, err) || reply.Header.Get("Retry-After") == "" || runCount(t, s, key) != 0 {
			t.Fatalf("a ledger entry: %s, %d runs", describeReply(reply, err), runCount(t, s, key))
		}
	}
}

// Kills a keeper while it claims. The router must use the other keeper or
// report an unknown outcome; a retry at any router must not run the call a
// second time.
func TestKeeperKilledWhileClaiming(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	setFaults(t, s.Platform, platformSlow)
	var pending []<-chan callResult
	for i := range 4 {
		pending = append(pending, callInBackground(t, s.Caller(procs.DemoOrganisation),
			s.Routers[i%2].Address, ledgerCall(fmt.Sprintf("entry-%d", i))))
	}
	waitWrite(t, s)
	s.Keepers[0].Kill()
	for i, p := range pending {
		a := <-p
		key := fmt.Sprintf("entry-%d", i)
		t.Logf("%s: %s", key, describeReply(a.reply, a.err))
		checkReplyMatchesRuns(t, s, key, a.reply, a.err)
	}
	setFaults(t, s.Platform, platformHealthy)
	for i := range pending {
		retryAt(t, s, s.Routers[(i+1)%2], fmt.Sprintf("entry-%d", i))
	}
}
