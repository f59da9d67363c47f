package membership

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// checkLattice draws three states of one key and checks the semilattice laws
// that replication depends on: daemons that receive the same states in any order
// and any number of times converge, and a join never loses either side.
func checkLattice[T any](t *testing.T, order spread.Order[T], draw *rapid.Generator[T]) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		checkEqual := func(law string, x, y T) {
			if order.Hash(x) != order.Hash(y) {
				t.Fatalf("%s:\n%+v\n%+v", law, x, y)
			}
		}
		checkEqual("commutative", order.Join(a, b), order.Join(b, a))
		checkEqual("idempotent", order.Join(a, a), a)
		checkEqual("associative", order.Join(order.Join(a, b), c), order.Join(a, order.Join(b, c)))
		checkEqual("absorbs the left side", order.Join(a, order.Join(a, b)), order.Join(a, b))
		checkEqual("absorbs the right side", order.Join(order.Join(a, b), b), order.Join(a, b))
	})
}

func oneOf[T any](values ...T) *rapid.Generator[T] { return rapid.SampledFrom(values) }

var memberGenerator = rapid.Custom(func(t *rapid.T) Member {
	return Member{
		ID: "m", Incarnation: oneOf[uint64](1, 2).Draw(t, "incarnation"),
		Sequence:            oneOf[uint64](1, 2).Draw(t, "sequence"),
		State:               oneOf(port.MemberJoining, port.MemberLive, port.MemberSuspect, port.MemberDead).Draw(t, "state"),
		Condition:           oneOf(ConditionNone, ConditionFrozen, ConditionRefused).Draw(t, "condition"),
		DecidedBy:           oneOf("", "k1", "k2").Draw(t, "heard by"),
		Left:                rapid.Bool().Draw(t, "left"),
		PlatformUnreachable: rapid.Bool().Draw(t, "blind"),
		Host:                oneOf("h1", "h2").Draw(t, "host"),
		LostPools:           oneOf(nil, []string{"p"}, []string{"p", "q"}).Draw(t, "lost pools"),
		Capacity:            capacityGenerator.Draw(t, "capacity"),
		LoadPercent:         oneOf[uint32](0, 25, 100).Draw(t, "load"),
	}
})

var capacityGenerator = oneOf(
	port.HostCapacity{}, port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000},
	port.HostCapacity{ProcessorMilli: 800, LinkKbps: 1}, port.HostCapacity{ProcessorMilli: 800},
)

var endpointGenerator = rapid.Custom(func(t *rapid.T) Endpoint {
	e := Endpoint{
		Endpoint: port.Endpoint{
			ID: "e", Incarnation: oneOf[uint64](1, 2).Draw(t, "incarnation"),
			State:       oneOf(port.EndpointLive, port.EndpointLeaving, port.EndpointGone).Draw(t, "state"),
			Unreachable: rapid.Bool().Draw(t, "unreachable"),
			Address:     oneOf("a", "b").Draw(t, "address"),
		},
		Confirmed:   rapid.Bool().Draw(t, "confirmed"),
		Observation: oneOf[uint64](0, 1, 2).Draw(t, "observation"),
	}
	if changes := oneOf[uint64](0, 1, 2).Draw(t, "limit changes"); changes > 0 {
		e.ColdFor = oneOf(time.Duration(0), time.Second, time.Minute).Draw(t, "cold")
		e.LimitChanges, e.RateLimit = changes, oneOf(0, 2.5, 4).Draw(t, "limit")
	}
	if rapid.Bool().Draw(t, "has model") {
		e.Models = []string{"m"}
	}
	return e
})

// largeBody returns a body that is large enough to be replicated in parts.
func largeBody(fill byte) []byte { return bytes.Repeat([]byte{fill}, 10<<10) }

var recordGenerator = rapid.Custom(func(t *rapid.T) spread.Revision {
	r := port.Record{
		Kind: "k", Name: "n", Version: oneOf[uint64](1, 2).Draw(t, "version"),
		Deleted: rapid.Bool().Draw(t, "deleted"),
	}
	if !r.Deleted {
		r.Body = oneOf([]byte("1"), []byte("2"), largeBody('1'), largeBody('2')).Draw(t, "body")
	}
	revision, _ := spread.Divide(r)
	return revision
})

func TestMembersAreASemilattice(t *testing.T)   { checkLattice(t, MemberOrder{}, memberGenerator) }
func TestEndpointsAreASemilattice(t *testing.T) { checkLattice(t, EndpointOrder{}, endpointGenerator) }

func TestRecordsAreASemilattice(t *testing.T) { checkLattice(t, spread.RecordOrder{}, recordGenerator) }

// Guards against a capacity that is lost, or comes back and forth, while daemons of an
// earlier build, which drop it and the load, pass entries on.
func TestCapacitySurvivesEntriesOfEarlierBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := memberGenerator.Draw(t, "own entry")
		held := own
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			passedOn := memberGenerator.Draw(t, "passed on")
			passedOn.Incarnation = min(passedOn.Incarnation, own.Incarnation)
			passedOn.Capacity, passedOn.LoadPercent = port.HostCapacity{}, 0
			held = MemberOrder{}.Join(held, passedOn)
			if held.Capacity != own.Capacity {
				t.Fatalf("capacity %+v, want %+v", held.Capacity, own.Capacity)
			}
		}
		next := memberGenerator.Draw(t, "next incarnation")
		next.Incarnation = own.Incarnation + 1
		if joined := (MemberOrder{}).Join(held, next); joined.Capacity != next.Capacity {
			t.Fatalf("capacity %+v after a restart, want %+v", joined.Capacity, next.Capacity)
		}
	})
}

// Guards against daemons of different builds that never agree: entries are exchanged
// between daemons in any order, some of which drop the capacity and the load. Then all
// daemons must hold the same state, and those of the new build the same capacity and
// load.
func TestMixedBuildsConverge(t *testing.T) {
	earlier := func(m Member) Member {
		m.Capacity, m.LoadPercent = port.HostCapacity{}, 0
		return m
	}
	rapid.Check(t, func(t *rapid.T) {
		numNew, numEarlier := rapid.IntRange(1, 3).Draw(t, "new"), rapid.IntRange(1, 3).Draw(t, "earlier")
		n := numNew + numEarlier
		held := make([]Member, n)
		receive := func(to int, m Member) {
			if to >= numNew {
				held[to] = earlier(MemberOrder{}.Join(held[to], earlier(m)))
				return
			}
			held[to] = MemberOrder{}.Join(held[to], m)
		}
		base := memberGenerator.Draw(t, "base")
		for i := range held {
			// Entries that differ in many fields are hardly ever equal up to the load.
			held[i] = memberGenerator.Draw(t, "entry")
			if rapid.Bool().Draw(t, "similar") {
				similar := base
				similar.Host, similar.Left = held[i].Host, held[i].Left
				similar.Capacity, similar.LoadPercent = held[i].Capacity, held[i].LoadPercent
				held[i] = similar
			}
			if i >= numNew {
				held[i] = earlier(held[i])
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "messages") {
			receive(rapid.IntRange(0, n-1).Draw(t, "to"), held[rapid.IntRange(0, n-1).Draw(t, "from")])
		}
		// Two rounds in which each sends to each suffice for any state.
		for range 2 {
			for from := range n {
				for to := range n {
					receive(to, held[from])
				}
			}
		}
		hash := MemberOrder{}.Hash
		for i := range held {
			if hash(earlier(held[i])) != hash(earlier(held[0])) {
				t.Fatalf("different states:\n%+v\n%+v", held[0], held[i])
			}
			if i < numNew && hash(held[i]) != hash(held[0]) {
				t.Fatalf("different capacities or loads:\n%+v\n%+v", held[0], held[i])
			}
		}
	})
}

// Guards against repairs between daemons of different builds for entries that state no
// capacity: the hash must be that of the earlier build.
func TestCapacityChangesTheHashOnlyWhileSet(t *testing.T) {
	const hashOfEarlierBuild = 0xbae62676f9839d5
	m := Member{
		ID: "m", Role: port.RoleKeeper, Incarnation: 7, FailureDomain: "d", Host: "127.0.0.1", CallerAddress: "a:1", PeerAddress: "a:2",
		Sequence: 3, State: port.MemberLive, DecidedBy: "k",
	}
	plain := MemberOrder{}.Hash(m)
	if plain != hashOfEarlierBuild {
		t.Errorf("hash %#x without a capacity", plain)
	}
	seen := map[uint64]bool{plain: true}
	for _, change := range []func(){
		func() { m.LoadPercent = 25 },
		func() { m.Capacity.ProcessorMilli = 25 },
		func() { m.LoadPercent = 0 },
		func() { m.Capacity = port.HostCapacity{LinkKbps: 25} },
	} {
		change()
		if hash := (MemberOrder{}).Hash(m); seen[hash] {
			t.Errorf("the hash doesn't distinguish %+v from another", m)
		} else {
			seen[hash] = true
		}
	}
}

// An endpoint is leaving. The platform's list still shows it as live, older
// messages from other keepers arrive late, probes fail and succeed. Within its
// incarnation none of these may make it live again.
func TestLeavingEndpointStaysLeavingWithinIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := endpointGenerator.Draw(t, "start")
		e.State = port.EndpointLeaving
		incarnation := e.Incarnation
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				late := endpointGenerator.Draw(t, "late message")
				late.Incarnation = min(late.Incarnation, incarnation)
				e = EndpointOrder{}.Join(e, late)
			case 1:
				e = EndpointOrder{}.Join(e, Listed(port.Endpoint{ID: "e", Incarnation: incarnation, State: port.EndpointLive}))
			case 2:
				e = WithUnreachable(e)
			case 3:
				e = WithReport(e, &port.LoadReport{EndpointID: "e", Incarnation: incarnation, State: port.EndpointLive})
			}
			if e.State == port.EndpointLive {
				t.Fatalf("live after leaving: %+v", e)
			}
		}
	})
}

// The endpoint restarts and reports a larger incarnation: it is live again, and
// late messages about the former incarnation change nothing.
func TestNewIncarnationResetsState(t *testing.T) {
	old := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointGone, Unreachable: true}, Observation: 4}
	e := WithReport(old, &port.LoadReport{EndpointID: "e", Incarnation: 2, State: port.EndpointLive})
	if e.State != port.EndpointLive || e.Unreachable || e.Incarnation != 2 {
		t.Fatalf("state not reset for the new incarnation: %+v", e)
	}
	if late := WithReport(e, &port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointGone}); late.State != port.EndpointLive || late.Incarnation != 2 {
		t.Fatalf("a late report of the former incarnation changed the state: %+v", late)
	}
	if joined := (EndpointOrder{}).Join(e, old); joined.State != port.EndpointLive {
		t.Fatalf("the former incarnation replaced the new one: %+v", joined)
	}
}

// Guards against taking a runner for warm whose load report shows that it has just restarted.
func TestRestartKeepsTheColdTimeOfTheEntry(t *testing.T) {
	known := WithColdTime(Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 3}), time.Minute)
	e := WithReport(known, &port.LoadReport{EndpointID: "e", Incarnation: 2, State: port.EndpointLive})
	if e.ColdFor != time.Minute || e.ColdReports != 0 {
		t.Fatalf("cold for %v after %d reports", e.ColdFor, e.ColdReports)
	}
}

// Probes fail for a while because a link is broken. When the endpoint answers
// again it must be reachable again, and an older state "unreachable" from another
// keeper must not undo that.
func TestReportClearsUnreachable(t *testing.T) {
	live := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive}}
	missed := WithUnreachable(live)
	if !missed.Unreachable || missed.State != port.EndpointLive {
		t.Fatalf("after failed probes: %+v", missed)
	}
	recovered := WithReport(missed, &port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLive})
	if joined := (EndpointOrder{}).Join(missed, recovered); joined.Unreachable {
		t.Fatalf("still unreachable: %+v", joined)
	}
}

// The platform's list may be out of date or unstable: an endpoint that it omits
// but that answers probes stays live; an omitted and unreachable one is gone.
func TestDelistedEndpointIsGoneOnlyIfUnreachable(t *testing.T) {
	live := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive}}
	if e := Delisted(live); e.State != port.EndpointLive {
		t.Fatalf("not live although it answers probes: %+v", e)
	}
	if e := Delisted(WithUnreachable(live)); e.State != port.EndpointGone {
		t.Fatalf("not gone although neither listed nor reachable: %+v", e)
	}
}

// A member that announced its shutdown must stay leaving even if a keeper that
// hasn't received the announcement replicates a newer heartbeat without it.
func TestMemberLeavingSurvivesNewerHeartbeat(t *testing.T) {
	left := Member{ID: "m", Incarnation: 1, Sequence: 3, State: port.MemberLive, Left: true}
	newer := Member{ID: "m", Incarnation: 1, Sequence: 4, State: port.MemberLive}
	joined := MemberOrder{}.Join(left, newer)
	if joined.Effective() != port.MemberLeaving || joined.Sequence != 4 {
		t.Fatalf("got %+v", joined)
	}
	next := MemberOrder{}.Join(joined, Member{ID: "m", Incarnation: 2, State: port.MemberLive})
	if next.Effective() != port.MemberLive {
		t.Fatalf("the next incarnation isn't live: %+v", next)
	}
}

// A frozen process was declared dead and resumes. Its next heartbeat must make it
// live again, and a late message with the dead state must not override that.
func TestHeartbeatOverridesDeadState(t *testing.T) {
	dead := Member{ID: "m", Incarnation: 1, Sequence: 3, State: port.MemberDead, Condition: ConditionFrozen}
	beat := Member{ID: "m", Incarnation: 1, Sequence: 4, State: port.MemberLive}
	if joined := (MemberOrder{}).Join(dead, beat); joined.State != port.MemberLive {
		t.Fatalf("still dead: %+v", joined)
	}
	oldBeat := beat
	oldBeat.Sequence = 3
	if joined := (MemberOrder{}).Join(dead, oldBeat); joined.State != port.MemberDead {
		t.Fatalf("the last heartbeat before the freeze made it live: %+v", joined)
	}
}

// Guards against daemons with different rate limits after concurrent changes.
func TestStricterOfConcurrentLimitsWins(t *testing.T) {
	known := Listed(port.Endpoint{ID: "e", Incarnation: 1})
	a, b := WithRateLimit(known, 4), WithRateLimit(known, 2.5)
	both := EndpointOrder{}.Join(a, b)
	if both.RateLimit != 2.5 {
		t.Fatalf("limit %v, want the stricter one, 2.5", both.RateLimit)
	}
	if lifted := (EndpointOrder{}).Join(both, WithRateLimit(both, 0)); lifted.RateLimit != 0 {
		t.Fatalf("limit %v after it was removed", lifted.RateLimit)
	}
	if relisted := (EndpointOrder{}).Join(both, Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 9})); relisted.RateLimit != 2.5 {
		t.Fatalf("limit %v after the registry listed the endpoint again", relisted.RateLimit)
	}
	if next := WithReport(both, &port.LoadReport{EndpointID: "e", Incarnation: 2}); next.RateLimit != 0 {
		t.Fatalf("the next incarnation has limit %v", next.RateLimit)
	}
}
