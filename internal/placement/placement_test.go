package placement

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func TestLoadsStayWithinBudget(t *testing.T) {
	s := newSystem(t, 1)
	for i := range 5 {
		s.fleet.Add(fmt.Sprint("a", i), false)
	}
	s.deploy(deploymentRecord("m", "1", 5, 1))
	s.acquireLease(t, 0)
	for range 4 {
		s.pass(0)
		if n := s.fleet.Loading(); n > 2 {
			t.Fatalf("%d loads at the same time, the budget is 2", n)
		}
		s.fleet.FinishLoads()
		s.leasePass(0)
	}
	if _, current := s.fleet.Serving("m", "1"); current != 5 {
		t.Fatalf("%d replicas serve version 1, want 5", current)
	}
	sentBefore := s.fleet.OrderCalls
	s.pass(0)
	if s.fleet.OrderCalls != sentBefore {
		t.Fatal("orders were sent after convergence")
	}
	orders, refusals := 0, 0
	for _, d := range s.decisions(0) {
		switch d.Verdict {
		case verdictOrder:
			orders++
			if d.Fence == 0 || d.SubjectID == "" || d.ConfigurationVersion != 5 || d.Outcome != outcomeTaken {
				t.Errorf("incomplete decision record: %+v", d)
			}
		case verdictRefuse:
			refusals++
			if !strings.Contains(d.Reason, "budget") {
				t.Errorf("refusal without the reason \"budget\": %+v", d)
			}
		}
	}
	if orders != 5 || refusals == 0 {
		t.Fatalf("%d orders and %d refusals recorded", orders, refusals)
	}
}

// oneRunner returns a system with one runner that has the models ready in version 1,
// and a deployment of m in the given version. fences sets whether the runner checks
// fencing numbers. Keeper 0 holds the lease.
func oneRunner(t *testing.T, keepers int, fences bool, version string, models ...string) *system {
	t.Helper()
	s := newSystem(t, keepers)
	s.fleet.Add("a1", fences, models...)
	s.deploy(deploymentRecord("m", version, 1, 1))
	s.acquireLease(t, 0)
	return s
}

// Guards against sending an order after the lease expired while the keeper was
// frozen between its request for a permit and the order.
func TestLeaseIsCheckedAgainAfterPermit(t *testing.T) {
	s := oneRunner(t, 1, true, "1")
	s.platform.onPut = func(kind string) {
		if kind == port.ObjectBudget {
			s.advance(time.Minute)
		}
	}
	s.pass(0)
	if s.fleet.OrderCalls != 0 {
		t.Fatal("an order was sent after the lease expired")
	}
}

// Guards against taking missing records for deletions at a keeper that has just
// started and does not have all records yet.
func TestNoOrdersOnIncompleteRecords(t *testing.T) {
	s := oneRunner(t, 1, false, "1")
	s.ready = false
	s.pass(0)
	if s.fleet.OrderCalls != 0 {
		t.Fatal("an order was sent on incomplete records")
	}
}

// Guards against orders from a keeper that was frozen past the end of its lease,
// after a second keeper has taken over and sent orders.
func TestFormerHolderSendsNoOrders(t *testing.T) {
	s := oneRunner(t, 2, false, "1")
	s.leasePass(1)
	s.advance(testTerms.Duration + testTerms.Margin + time.Second)
	s.leasePass(1)
	s.advance(testTerms.OrderTimeout + testTerms.Margin)
	s.leasePass(1)
	s.pass(0)
	if s.fleet.OrderCalls != 0 {
		t.Fatal("the former holder sent an order")
	}
	s.pass(1)
	if s.fleet.OrderCalls != 1 {
		t.Fatalf("%d orders sent, want 1 by the successor", s.fleet.OrderCalls)
	}
}

// Guards against repeating a load, or releasing its permit early, when the holder
// dies while a runner loads. The successor reads the runner's actual state.
func TestSuccessorResumesFromActualState(t *testing.T) {
	s := oneRunner(t, 2, false, "1")
	s.pass(0)
	if s.fleet.Loading() != 1 {
		t.Fatal("no load under way")
	}
	s.members = s.members[1:]
	s.acquireLease(t, 1)
	s.pass(1)
	if s.fleet.OrderCalls != 1 {
		t.Fatalf("%d orders, want the first one only", s.fleet.OrderCalls)
	}
	ledger, _, err := s.loops[1].ledger.read(context.Background())
	if err != nil || len(ledger.Permits) != 1 {
		t.Fatalf("ledger %+v, error %v, want one permit", ledger, err)
	}
	s.fleet.FinishLoads()
	s.pass(1)
	if ledger, _, _ = s.loops[1].ledger.read(context.Background()); len(ledger.Permits) != 0 {
		t.Fatalf("the permit was not released after the load: %+v", ledger.Permits)
	}
}

// Guards against releasing a permit while the former holder's order to load may
// still arrive: the order was lost, its sender died, and the successor has no order
// to send there. This also holds for a runner that checks fencing numbers, because
// it has received no newer one.
func TestPermitIsKeptWhileOrderMayArrive(t *testing.T) {
	s := oneRunner(t, 2, true, "1")
	s.fleet.Fault = func(port.Endpoint, port.Order) error { return port.ErrEndpointLost }
	s.pass(0)
	s.deploy(deploymentRecord("m", "1", 0, 1))
	s.members = s.members[1:]
	s.leasePass(1)
	s.advance(testTerms.Duration + testTerms.Margin + time.Second)
	s.leasePass(1)
	permitCount := func() int {
		s.pass(1)
		ledger, _, err := s.loops[1].ledger.read(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return len(ledger.Permits)
	}
	if permitCount() != 1 {
		t.Fatal("the permit was released while the order may still arrive")
	}
	s.advance(testTerms.OrderTimeout + testTerms.Margin)
	s.leasePass(1)
	if permitCount() != 0 {
		t.Fatal("the permit was not released after the order can no longer arrive")
	}
}

// Guards against sending a second order to a runner while an order whose reply was
// lost may still arrive.
func TestOrderWithLostReplyBlocksRunner(t *testing.T) {
	s := oneRunner(t, 1, false, "1")
	s.fleet.Fault = func(port.Endpoint, port.Order) error { return port.ErrEndpointLost }
	s.pass(0)
	s.fleet.Fault = nil
	for range 4 {
		s.advance(2 * time.Second)
		s.leasePass(0)
		s.pass(0)
		if s.fleet.OrderCalls != 1 {
			t.Fatal("a second order was sent while the first may still arrive")
		}
	}
	s.advance(time.Second)
	s.leasePass(0)
	s.pass(0)
	if s.fleet.OrderCalls != 2 {
		t.Fatalf("%d orders sent", s.fleet.OrderCalls)
	}
}

// Guards against a rollout that takes the last ready runner of a model. Without a
// spare runner the new version is not rolled out, and the reason is recorded for
// the operator; with a spare runner it is rolled out.
func TestRolloutKeepsLastReadyRunner(t *testing.T) {
	s := oneRunner(t, 1, false, "2", "m")
	s.pass(0)
	if s.fleet.OrderCalls != 0 {
		t.Fatal("an order was sent to the last ready runner")
	}
	decisions := s.decisions(0)
	if len(decisions) != 1 || !strings.Contains(decisions[0].Reason, "last ready runner of m") || decisions[0].SubjectID != "a1" {
		t.Fatalf("got decisions %+v, want one refusal of a1 that names the last ready runner of m", decisions)
	}
	s.fleet.Add("b1", false)
	for range 6 {
		s.leasePass(0)
		s.pass(0)
		if serving, _ := s.fleet.Serving("m", "2"); serving == 0 {
			t.Fatal("no runner serves the model")
		}
		s.fleet.FinishLoads()
	}
	if serving, current := s.fleet.Serving("m", "2"); serving != 1 || current != 1 {
		t.Fatalf("%d runners serve the model, %d of them in the new version, want 1 of 1", serving, current)
	}
}

// Guards against two keepers that concurrently take the last two runners, each
// relying on the other's runner. The ledger must allow only one of them.
func TestConcurrentHoldersKeepOneRunnerServing(t *testing.T) {
	s := newSystem(t, 2)
	s.fleet.Add("a1", false, "m")
	s.fleet.Add("b1", false, "m")
	for _, r := range s.fleet.Runners {
		r.InPlace = true
	}
	s.deploy(deploymentRecord("m", "2", 2, 2))
	s.acquireLease(t, 0)
	s.acquireLease(t, 1)
	// There is only one shard, whose lease keeper 1 now holds. Keeper 0 takes its
	// permit without a lease, because the test concerns only the race on the ledger.
	ctx := context.Background()
	runners0 := s.loops[0].runners()
	s.loops[0].readStates(ctx, runners0, true)
	raced := false
	s.platform.onPut = func(kind string) {
		if kind != port.ObjectBudget || raced {
			return
		}
		raced = true
		s.pass(1)
	}
	step := stepFor(t, s, "a1")
	reason := s.loops[0].takePermit(ctx, step, 1, runners0)
	if !raced {
		t.Fatal("the race did not take place")
	}
	if !strings.Contains(reason, "last ready runner") && !strings.Contains(reason, "only") {
		t.Fatalf("no refusal for the second runner, reason %q", reason)
	}
	if serving, _ := s.fleet.Serving("m", "1"); serving != 1 {
		t.Fatalf("%d runners serve the model, want 1", serving)
	}
}

// Guards against orders without a valid lease while the platform is down. The
// holder may send orders until its lease ends by its own clock, and takes the lease
// again once the platform is back.
func TestNoOrdersOnceLeaseExpiresInOutage(t *testing.T) {
	s := oneRunner(t, 1, true, "1", "m")
	s.platform.down = true
	s.advance(testTerms.Duration)
	s.leasePass(0)
	s.deploy(deploymentRecord("m", "1", 0, 1))
	s.pass(0)
	if s.fleet.OrderCalls != 0 {
		t.Fatal("an order was sent without a valid lease")
	}
	s.platform.down = false
	s.acquireLease(t, 0)
	s.pass(0)
	if s.fleet.OrderCalls != 1 {
		t.Fatalf("%d orders after the outage", s.fleet.OrderCalls)
	}
}

// Guards against losing a lease, or changing its fencing number, when a renewal
// took effect but its reply was lost.
func TestRenewalWithLostReplyIsRecognised(t *testing.T) {
	s := newSystem(t, 1)
	s.acquireLease(t, 0)
	fence, _ := s.loops[0].leases.fence(0)
	s.advance(6 * time.Second)
	s.platform.loseReply = true
	s.leasePass(0)
	s.advance(10 * time.Second)
	fenceAfter, holds := s.loops[0].leases.fence(0)
	if !holds || fenceAfter != fence {
		t.Fatalf("lease held: %v, fencing number %d, want %d", holds, fenceAfter, fence)
	}
}

// Guards against one keeper holding all shards because it started first. Once
// another keeper has been live for GiveBackAfter, the holder releases the shards
// for which that keeper is preferred, but not while an order is under way, because
// the successor would not wait for it.
func TestShardReturnsToPreferredKeeper(t *testing.T) {
	s := newSystem(t, 2)
	preferred := 0
	if s.loops[0].leases.preferredKeeper(0) == s.members[1].ID {
		preferred = 1
	}
	other := 1 - preferred
	members := s.members
	s.members = members[other : other+1]
	s.acquireLease(t, other)
	s.members = members
	holds := func(i int) bool { return s.loops[i].leases.holdsAny() }
	runFor := func(d time.Duration) {
		for ; d > 0; d -= 3 * time.Second {
			s.advance(3 * time.Second)
			s.leasePass(other)
			s.leasePass(preferred)
		}
	}
	runFor(DefaultGiveBackAfter - 6*time.Second)
	if !holds(other) || holds(preferred) {
		t.Fatal("the shard was released before GiveBackAfter")
	}
	if _, refusal := s.loops[other].leases.beginOrder(0, &port.Endpoint{}); refusal != "" {
		t.Fatal(refusal)
	}
	runFor(30 * time.Second)
	if !holds(other) {
		t.Fatal("the shard was released while an order is under way")
	}
	s.loops[other].leases.endOrder(0)
	runFor(3 * time.Second)
	if holds(other) || !holds(preferred) {
		t.Fatal("the shard was not released to the preferred keeper")
	}
}

// Guards against frequent polls of runners that are all in their desired state. A
// changed record must still cause a pass at once.
func TestConvergedRunnersArePolledRarely(t *testing.T) {
	s := oneRunner(t, 1, false, "1", "m")
	ctx := context.Background()
	s.loops[0].tick(ctx)
	askedBefore := s.fleet.StateReads
	for range 5 {
		s.advance(DefaultInterval)
		s.leasePass(0)
		s.loops[0].tick(ctx)
	}
	if s.fleet.StateReads != askedBefore {
		t.Fatalf("%d state reads while nothing changed", s.fleet.StateReads-askedBefore)
	}
	s.advance(DefaultIdleInterval)
	s.leasePass(0)
	s.leasePass(0)
	s.loops[0].tick(ctx)
	if s.fleet.StateReads == askedBefore {
		t.Fatal("no state was read after IdleInterval")
	}
	r := deploymentRecord("m", "1", 0, 1)
	r.Version++
	s.deploy(r)
	s.advance(testTerms.OrderTimeout + testTerms.Margin)
	s.leasePass(0)
	s.loops[0].tick(ctx)
	if s.fleet.OrderCalls != 1 {
		t.Fatal("no order was sent after the record changed")
	}
}

// Guards against planning without the versions of runners that other keepers hold.
// Assuming those to be up to date, one keeper would unload the new version that the
// other has just loaded, or no keeper would load the spare replica.
func TestRolloutAcrossKeepers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newShardedSystem(rt, 3, 8)
		n := rapid.IntRange(2, 5).Draw(rt, "runners")
		replicas := rapid.IntRange(1, n-1).Draw(rt, "replicas")
		for i := range n {
			id := fmt.Sprintf("%c%d", 'a'+i, rapid.IntRange(0, 999).Draw(rt, "name"))
			if i < replicas {
				s.fleet.Add(id, false, "m")
			} else {
				s.fleet.Add(id, false)
			}
		}
		s.deploy(deploymentRecord("m", "1", replicas, 1))
		for range 14 {
			s.round() // the leases are taken and their holders may send orders
		}
		s.deploy(deploymentRecord("m", "2", replicas, 1))
		for quietRounds := 0; quietRounds < 3; quietRounds++ {
			sent := s.fleet.OrderCalls
			s.round()
			if s.fleet.OrderCalls > sent {
				quietRounds = 0
			}
			if s.fleet.OrderCalls > 10*n {
				rt.Fatalf("%d orders for %d runners, the rollout does not converge", s.fleet.OrderCalls, n)
			}
			if serving, _ := s.fleet.Serving("m", ""); serving == 0 {
				rt.Fatal("no runner serves the model")
			}
		}
		if serving, current := s.fleet.Serving("m", "2"); serving != replicas || current != replicas {
			rt.Fatalf("%d of %d replicas, %d of them with the new version", serving, replicas, current)
		}
	})
}

func TestRunReleasesLeasesOnExit(t *testing.T) {
	s := newSystem(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.loops[0].Run(ctx); close(done) }()
	eventually.True(t, "a lease", s.loops[0].leases.holdsAny)
	cancel()
	<-done
	o, err := s.platform.Get(context.Background(), port.ObjectLease, shardName(0))
	if err != nil || !strings.Contains(string(o.Value), `"released":true`) {
		t.Fatalf("%s %v", o.Value, err)
	}
}
