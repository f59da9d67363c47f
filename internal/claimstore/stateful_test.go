package claimstore

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const (
	machineKeepers = 3
	machineKeys    = 4
	machineSteps   = 120
)

// setup holds the parameters of a run of the machine.
type setup struct {
	keys     int
	actions  []string
	timeStep time.Duration
	limits   claim.Limits
	// keysExpire: claims and tombstones expire within a run, and their keys
	// may then run again.
	keysExpire bool
}

// noExpirySetup keeps every claim: no key expires.
var noExpirySetup = setup{
	keys: machineKeys, actions: actions, timeStep: time.Minute,
	// Longer than any freeze in a run: after this time, a frozen keeper that
	// doesn't know that the claim's context has ended can leave its key
	// claimed forever.
	limits: claim.Limits{NotRunRetention: time.Hour},
}

// attempt is one try of a call at one router.
type attempt struct {
	id     string
	key    byte
	keeper int
	// result receives the keeper's result.
	result chan claim.Result
	cancel context.CancelFunc
	// granted, dispatched and reportedNotRun are what the router has done.
	granted        bool
	dispatched     bool
	reportedNotRun bool
	// requestedAt and answeredAt are the times of the claim's request and
	// response.
	requestedAt, answeredAt time.Time
	// routerDied: the router died, so the attempt will not be settled.
	routerDied bool
	lastResult claim.Result
}

// machine drives several keepers and routers over one platform. The oracle is
// dispatches, which counts the dispatches per key, and reportedNotRun of each
// attempt, which holds whether the caller was told that it did not run.
type machine struct {
	setup
	t          *rapid.T
	platform   *fakePlatform
	now        time.Time
	stores     []*Store
	frozen     []bool
	faults     [][]fault
	pending    []*attempt
	grants     []*attempt
	unsettled  []port.ClaimState
	attempts   []*attempt
	dispatches map[byte]int
	steps      int
}

// Checks claims against an oracle: callers retry at other routers, keepers
// freeze and resume, replies are lost, writes are delayed, the platform is
// unavailable, and routers die between grant and dispatch. In any order of
// events, no key may run twice, an attempt that was reported as not_run must
// not run, and a key that neither ran nor is held must be granted.
//
// TestBarringAttemptFailsItsPendingWrite covers one such order: an attempt is
// settled as not_run while its key has the not_run of another attempt. If that
// left the shard unchanged, a blocked write could still claim the key for the
// settled attempt.
func TestClaimsAgainstOracle(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt, &noExpirySetup)
		for range machineSteps {
			m.step()
		}
		m.heal()
		m.checkKeysAreFree()
		total += m.steps
	})
	t.Logf("%d steps", total)
	if total < 10_000 {
		t.Fatalf("only %d steps", total)
	}
}

func newMachine(t *rapid.T, options *setup) *machine {
	m := &machine{
		setup: *options, t: t, platform: newFakePlatform(), now: time.UnixMilli(1_800_000_000_000),
		frozen: make([]bool, machineKeepers), faults: make([][]fault, machineKeepers),
		dispatches: map[byte]int{},
	}
	m.platform.faultFor = m.nextFault
	for i := range machineKeepers {
		m.stores = append(m.stores, nil)
		m.restartKeeper(i)
	}
	return m
}

func (m *machine) nextFault(keeper int, _ bool) fault {
	if len(m.faults[keeper]) == 0 {
		return faultNone
	}
	f := m.faults[keeper][0]
	m.faults[keeper] = m.faults[keeper][1:]
	return f
}

func (m *machine) restartKeeper(i int) {
	m.stores[i] = New(Options{
		Platform: m.platform.client(i), Shards: 1, WritesPerSecond: testRate, WriteBurst: testRate,
		SettleDelay: time.Millisecond, Now: func() time.Time { return m.now },
		Limits: m.limits,
	})
}

func (m *machine) step() {
	m.steps++
	switch rapid.SampledFrom(m.actions).Draw(m.t, "action") {
	case "submit":
		m.submit()
	case "freeze":
		m.freeze()
	case "wake":
		m.wake(m.drawKeeper())
	case "give up":
		m.giveUp()
	case "dispatch":
		m.dispatch()
	case "hand back":
		m.handBack()
	case "router dies":
		m.routerDies()
	case "settle":
		m.settle()
	case "late":
		m.platform.applyDelayed()
	case "restart":
		if i := m.drawKeeper(); !m.frozen[i] {
			m.restartKeeper(i)
		}
	case "time":
		m.now = m.now.Add(m.timeStep)
	}
	m.check()
}

var actions = []string{
	"submit", "submit", "submit", "freeze", "wake", "give up", "dispatch", "dispatch",
	"hand back", "router dies", "settle", "settle", "late", "restart", "time",
}

func (m *machine) drawKeeper() int {
	return rapid.IntRange(0, machineKeepers-1).Draw(m.t, "keeper")
}

func (m *machine) drawFaults(keeper int) {
	m.faults[keeper] = rapid.SliceOfN(rapid.SampledFrom([]fault{
		faultNone, faultNone, faultUnavailable, faultLoseReply, faultLoseCall, faultDelayWrite,
	}), 0, 4).Draw(m.t, "faults")
}

func (m *machine) newAttempt() *attempt {
	a := &attempt{
		id:     fmt.Sprint("a", len(m.attempts)),
		key:    byte(rapid.IntRange(0, m.keys-1).Draw(m.t, "key")),
		result: make(chan claim.Result, 1),
	}
	m.attempts = append(m.attempts, a)
	return a
}

// startClaim sends a claim to a keeper; a.result receives the result.
func (m *machine) startClaim(a *attempt, keeper int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	a.cancel = cancel
	a.keeper = keeper
	a.requestedAt = m.now
	store := m.stores[keeper]
	go func() { a.result <- store.Claim(ctx, []port.ClaimEntry{entry(a.key, a.id)})[0] }()
}

func (m *machine) submit() {
	keeper := m.drawKeeper()
	a := m.newAttempt()
	if m.frozen[keeper] {
		m.queueClaim(a, keeper)
		return
	}
	m.drawFaults(keeper)
	m.startClaim(a, keeper)
	m.handleResult(a, <-a.result)
	m.faults[keeper] = nil
}

// queueClaim queues a claim at a frozen keeper, behind the call that is
// blocked.
func (m *machine) queueClaim(a *attempt, keeper int) {
	shards := m.stores[keeper].openedShards()
	if shards == nil {
		return
	}
	before := queueLength(shards[0])
	m.startClaim(a, keeper)
	eventually.True(m.t, "the claim in the queue", func() bool { return queueLength(shards[0]) != before })
	m.pending = append(m.pending, a)
}

func queueLength(s *shard) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// freeze blocks a keeper in its first or second call to the platform for a
// claim.
func (m *machine) freeze() {
	keeper := m.drawKeeper()
	if m.frozen[keeper] || m.stores[keeper].openedShards() == nil {
		return
	}
	m.faults[keeper] = []fault{faultBlock}
	if rapid.Bool().Draw(m.t, "after a read") {
		m.faults[keeper] = []fault{faultNone, faultBlock}
	}
	a := m.newAttempt()
	m.startClaim(a, keeper)
	select {
	case <-m.platform.blocked:
		m.frozen[keeper] = true
		m.pending = append(m.pending, a)
	case r := <-a.result:
		m.faults[keeper] = nil
		m.handleResult(a, r)
	}
}

func (m *machine) wake(keeper int) {
	if !m.frozen[keeper] {
		return
	}
	m.frozen[keeper] = false
	m.platform.release[keeper] <- struct{}{}
	shard := m.stores[keeper].openedShards()[0]
	eventually.True(m.t, "the end of the woken keeper's run", func() bool { return !running(shard) })
	var remaining []*attempt
	for _, a := range m.pending {
		if a.keeper == keeper {
			m.handleResult(a, <-a.result)
			continue
		}
		remaining = append(remaining, a)
	}
	m.pending = remaining
}

func running(s *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// handleResult does what a router's grpcclaim.Client does with the result of a
// claim.
func (m *machine) handleResult(a *attempt, r claim.Result) {
	a.cancel()
	a.lastResult = r
	a.answeredAt = m.now
	switch {
	case r.Verdict == port.ClaimGranted && a.reportedNotRun:
		m.unsettled = append(m.unsettled, notRun(a.key, a.id))
	case r.Verdict == port.ClaimGranted && !a.routerDied:
		a.granted = true
		m.grants = append(m.grants, a)
	case r.Verdict == port.ClaimUnavailable:
		a.reportedNotRun = true
		if r.Reason == claim.ReasonUnsettled {
			m.unsettled = append(m.unsettled, notRun(a.key, a.id))
		}
	case r.Verdict == port.ClaimHeld:
		if r.Holder.Outcome == port.ClaimDone && m.dispatches[a.key] == 0 {
			m.t.Fatalf("key %d is reported as done but did not run", a.key)
		}
	}
}

// giveUp abandons an attempt: the caller's deadline passes before the keeper
// has responded.
func (m *machine) giveUp() {
	if len(m.pending) == 0 {
		return
	}
	a := rapid.SampledFrom(m.pending).Draw(m.t, "attempt")
	if a.reportedNotRun {
		return
	}
	a.reportedNotRun = true
	m.unsettled = append(m.unsettled, notRun(a.key, a.id))
	if rapid.Bool().Draw(m.t, "keeper gets the cancellation") {
		a.cancel()
		a.result <- <-a.result
	}
}

func (m *machine) drawGrant() *attempt {
	if len(m.grants) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(m.t, "grant")
	a := m.grants[i]
	m.grants = append(m.grants[:i:i], m.grants[i+1:]...)
	return a
}

// dispatch dispatches a granted call. This may come long after the grant if
// the router was frozen.
func (m *machine) dispatch() {
	a := m.drawGrant()
	if a == nil {
		return
	}
	a.dispatched = true
	m.dispatches[a.key]++
	done := notRun(a.key, a.id)
	done.Outcome = port.ClaimDone
	if rapid.Bool().Draw(m.t, "settled") {
		m.unsettled = append(m.unsettled, done)
	}
}

// handBack reports a granted call as not_run: the endpoint refused it.
func (m *machine) handBack() {
	if a := m.drawGrant(); a != nil {
		a.reportedNotRun = true
		m.unsettled = append(m.unsettled, notRun(a.key, a.id))
	}
}

func (m *machine) routerDies() {
	if a := m.drawGrant(); a != nil {
		a.routerDied = true
	}
}

func (m *machine) settle() {
	keeper := m.drawKeeper()
	if len(m.unsettled) == 0 || m.frozen[keeper] {
		return
	}
	m.drawFaults(keeper)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	st := m.unsettled[0]
	if m.stores[keeper].Settle(ctx, []port.ClaimState{st}) == 1 || st.Outcome != port.ClaimNotRun {
		m.unsettled = m.unsettled[1:]
	}
	m.faults[keeper] = nil
}

func (m *machine) check() {
	if m.keysExpire {
		m.checkGrants()
	} else {
		m.checkRuns()
	}
	for _, a := range m.attempts {
		if a.reportedNotRun && a.dispatched {
			m.t.Fatalf("attempt %s of key %d was reported as not_run but ran", a.id, a.key)
		}
	}
}

func (m *machine) checkRuns() {
	for key, n := range m.dispatches {
		if n > 1 {
			m.t.Fatalf("key %d ran %d times", key, n)
		}
	}
}

// heal ends all faults and records the outcomes that the routers have not
// settled yet.
func (m *machine) heal() {
	for i := range machineKeepers {
		m.faults[i] = nil
		m.wake(i)
	}
	m.platform.applyDelayed()
	for _, st := range m.unsettled {
		m.stores[0].Settle(context.Background(), []port.ClaimState{st})
	}
	m.unsettled = nil
	m.check()
}

// checkKeysAreFree checks that a key that did not run and that no attempt
// holds is granted, and that a key that ran is not.
func (m *machine) checkKeysAreFree() {
	for key := range byte(m.keys) {
		inUse := m.dispatches[key] > 0
		for _, a := range m.attempts {
			inUse = inUse || (a.key == key && (a.routerDied || (a.granted && !a.reportedNotRun)))
		}
		r := m.stores[0].Claim(context.Background(), []port.ClaimEntry{entry(key, "last")})[0]
		if m.dispatches[key] > 0 && r.Verdict == port.ClaimGranted {
			m.t.Fatalf("key %d ran and was granted again", key)
		}
		if !inUse && r.Verdict != port.ClaimGranted {
			m.t.Fatalf("key %d never ran and no attempt holds it, but its claim got %+v\n%s", key, r, m.history(key))
		}
	}
}

func (m *machine) history(key byte) string {
	var b strings.Builder
	for _, a := range m.attempts {
		if a.key == key {
			fmt.Fprintf(&b, "%s at keeper %d: granted %v, dispatched %v, reported not_run %v, router died %v, last result %+v\n",
				a.id, a.keeper, a.granted, a.dispatched, a.reportedNotRun, a.routerDied, a.lastResult)
		}
	}
	return b.String()
}
