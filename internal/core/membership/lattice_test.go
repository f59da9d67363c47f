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

// checkLattice draws three states of one key and checks the laws on which the
// spread rests: daemons that hear the same in any order, any number of times,
// hold the same; and a join never loses either side.
func checkLattice[T any](t *testing.T, order spread.Order[T], draw *rapid.Generator[T]) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		same := func(law string, x, y T) {
			if order.Hash(x) != order.Hash(y) {
				t.Fatalf("%s:\n%+v\n%+v", law, x, y)
			}
		}
		same("commutative", order.Join(a, b), order.Join(b, a))
		same("idempotent", order.Join(a, a), a)
		same("associative", order.Join(order.Join(a, b), c), order.Join(a, order.Join(b, c)))
		same("keeps the left side", order.Join(a, order.Join(a, b)), order.Join(a, b))
		same("keeps the right side", order.Join(order.Join(a, b), b), order.Join(a, b))
	})
}

func few[T any](values ...T) *rapid.Generator[T] { return rapid.SampledFrom(values) }

var anyMember = rapid.Custom(func(t *rapid.T) Member {
	return Member{
		ID: "m", Incarnation: few[uint64](1, 2).Draw(t, "incarnation"),
		Sequence:  few[uint64](1, 2).Draw(t, "sequence"),
		State:     few(port.MemberJoining, port.MemberLive, port.MemberSuspect, port.MemberDead).Draw(t, "state"),
		Condition: few(ConditionNone, ConditionFrozen, ConditionRefused).Draw(t, "condition"),
		HeardBy:   few("", "k1", "k2").Draw(t, "heard by"),
		Left:      rapid.Bool().Draw(t, "left"),
		Blind:     rapid.Bool().Draw(t, "blind"),
		Host:      few("h1", "h2").Draw(t, "host"),
	}
})

var anyEndpoint = rapid.Custom(func(t *rapid.T) Endpoint {
	e := Endpoint{
		Endpoint: port.Endpoint{
			ID: "e", Incarnation: few[uint64](1, 2).Draw(t, "incarnation"),
			State:       few(port.EndpointLive, port.EndpointLeaving, port.EndpointGone).Draw(t, "state"),
			Unreachable: rapid.Bool().Draw(t, "unreachable"),
			Address:     few("a", "b").Draw(t, "address"),
		},
		Confirmed:   rapid.Bool().Draw(t, "confirmed"),
		Observation: few[uint64](0, 1, 2).Draw(t, "observation"),
	}
	if changes := few[uint64](0, 1, 2).Draw(t, "limit changes"); changes > 0 {
		e.ColdFor = few(time.Duration(0), time.Second, time.Minute).Draw(t, "cold")
		e.LimitChanges, e.RateLimit = changes, few(0, 2.5, 4).Draw(t, "limit")
	}
	if rapid.Bool().Draw(t, "has model") {
		e.Models = []string{"m"}
	}
	return e
})

// largeBody is passed on in parts.
func largeBody(fill byte) []byte { return bytes.Repeat([]byte{fill}, 10<<10) }

var anyRecord = rapid.Custom(func(t *rapid.T) spread.Revision {
	r := port.Record{
		Kind: "k", Name: "n", Version: few[uint64](1, 2).Draw(t, "version"),
		Deleted: rapid.Bool().Draw(t, "deleted"),
	}
	if !r.Deleted {
		r.Body = few([]byte("1"), []byte("2"), largeBody('1'), largeBody('2')).Draw(t, "body")
	}
	revision, _ := spread.Divide(r)
	return revision
})

func TestMembersAreASemilattice(t *testing.T)   { checkLattice(t, MemberOrder{}, anyMember) }
func TestEndpointsAreASemilattice(t *testing.T) { checkLattice(t, EndpointOrder{}, anyEndpoint) }
func TestRecordsAreASemilattice(t *testing.T)   { checkLattice(t, spread.RecordOrder{}, anyRecord) }

// An endpoint has said that it leaves. The platform's list still shows it
// live, other keepers' messages from before arrive late, probes fail and
// succeed. Within its incarnation nothing makes it live again.
func TestLeavingIsStickyWithinAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := anyEndpoint.Draw(t, "start")
		e.State = port.EndpointLeaving
		incarnation := e.Incarnation
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				late := anyEndpoint.Draw(t, "late message")
				late.Incarnation = min(late.Incarnation, incarnation)
				e = EndpointOrder{}.Join(e, late)
			case 1:
				e = EndpointOrder{}.Join(e, Listed(port.Endpoint{ID: "e", Incarnation: incarnation, State: port.EndpointLive}))
			case 2:
				e = Missed(e)
			case 3:
				e = Said(e, &port.LoadReport{EndpointID: "e", Incarnation: incarnation, State: port.EndpointLive})
			}
			if e.State == port.EndpointLive {
				t.Fatalf("live again: %+v", e)
			}
		}
	})
}

// The endpoint restarts and names a larger incarnation: it is live again, and
// a late word about its former life changes nothing.
func TestNewIncarnationStartsAnew(t *testing.T) {
	old := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointGone, Unreachable: true}, Observation: 4}
	e := Said(old, &port.LoadReport{EndpointID: "e", Incarnation: 2, State: port.EndpointLive})
	if e.State != port.EndpointLive || e.Unreachable || e.Incarnation != 2 {
		t.Fatalf("not anew: %+v", e)
	}
	if late := Said(e, &port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointGone}); late.State != port.EndpointLive || late.Incarnation != 2 {
		t.Fatalf("a late report of the former life counted: %+v", late)
	}
	if joined := (EndpointOrder{}).Join(e, old); joined.State != port.EndpointLive {
		t.Fatalf("the former life came back: %+v", joined)
	}
}

// A probe fails for a while because of a cut link, not because the endpoint
// is gone. When it answers again it takes new work again; and a keeper that
// still says "unreachable" from before does not undo that.
func TestUnreachableIsTakenBack(t *testing.T) {
	live := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive}}
	missed := Missed(live)
	if !missed.Unreachable || missed.State != port.EndpointLive {
		t.Fatalf("after failed probes: %+v", missed)
	}
	back := Said(missed, &port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLive})
	if joined := (EndpointOrder{}).Join(missed, back); joined.Unreachable {
		t.Fatalf("still unreachable: %+v", joined)
	}
}

// The list lags and flaps: an endpoint that it leaves out but that answers
// probes stays; one that does neither is gone.
func TestDelistedAloneIsNotGone(t *testing.T) {
	live := Endpoint{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive}}
	if e := Delisted(live); e.State != port.EndpointLive {
		t.Fatalf("given up although it answers: %+v", e)
	}
	if e := Delisted(Missed(live)); e.State != port.EndpointGone {
		t.Fatalf("kept although neither listed nor reachable: %+v", e)
	}
}

// A member that leaves is leaving at every daemon, although a keeper that did
// not hear it yet passes on a newer heartbeat without the word.
func TestMemberLeavingIsSticky(t *testing.T) {
	left := Member{ID: "m", Incarnation: 1, Sequence: 3, State: port.MemberLive, Left: true}
	newer := Member{ID: "m", Incarnation: 1, Sequence: 4, State: port.MemberLive}
	joined := MemberOrder{}.Join(left, newer)
	if joined.Effective() != port.MemberLeaving || joined.Sequence != 4 {
		t.Fatalf("got %+v", joined)
	}
	again := MemberOrder{}.Join(joined, Member{ID: "m", Incarnation: 2, State: port.MemberLive})
	if again.Effective() != port.MemberLive {
		t.Fatalf("the next incarnation leaves too: %+v", again)
	}
}

// A frozen process was taken for dead and resumes. Its next heartbeat says so,
// and the late message of its death does not win.
func TestHeartbeatRefutesDeath(t *testing.T) {
	dead := Member{ID: "m", Incarnation: 1, Sequence: 3, State: port.MemberDead, Condition: ConditionFrozen}
	beat := Member{ID: "m", Incarnation: 1, Sequence: 4, State: port.MemberLive}
	if joined := (MemberOrder{}).Join(dead, beat); joined.State != port.MemberLive {
		t.Fatalf("still dead: %+v", joined)
	}
	same := beat
	same.Sequence = 3
	if joined := (MemberOrder{}).Join(dead, same); joined.State != port.MemberDead {
		t.Fatalf("the heartbeat before its silence revived it: %+v", joined)
	}
}

// Guards against daemons that hold different limits after concurrent changes.
func TestTheStricterOfTwoLimitsOfOneAgeStands(t *testing.T) {
	known := Listed(port.Endpoint{ID: "e", Incarnation: 1})
	a, b := Limited(known, 4), Limited(known, 2.5)
	both := EndpointOrder{}.Join(a, b)
	if both.RateLimit != 2.5 {
		t.Fatalf("a limit of %v", both.RateLimit)
	}
	if lifted := (EndpointOrder{}).Join(both, Limited(both, 0)); lifted.RateLimit != 0 {
		t.Fatalf("a limit of %v after it was lifted", lifted.RateLimit)
	}
	if relisted := (EndpointOrder{}).Join(both, Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 9})); relisted.RateLimit != 2.5 {
		t.Fatalf("a limit of %v after the registry listed the endpoint again", relisted.RateLimit)
	}
	if next := Said(both, &port.LoadReport{EndpointID: "e", Incarnation: 2}); next.RateLimit != 0 {
		t.Fatalf("the next incarnation has a limit of %v", next.RateLimit)
	}
}
