package routing

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// learnSpeed places a run on a scheduler with a single free runner and lets its stream
// show a speed.
func learnSpeed(s *Scheduler, now time.Time, runner int, stated float64, step time.Duration) {
	id := fmt.Sprint("sample-", runner, "-", now.UnixNano())
	r := request(id, 10)
	s.Adopt(now, &port.RunningRequest{Request: *r, EndpointID: fmt.Sprint("runner-", runner)})
	for range 5 {
		s.ObserveStream(now, id, port.StreamSample{Slowness: stated, PerToken: step})
	}
	s.Finished(now, id, 0, port.FinishUntracked)
}

func speedsByEndpoint(h *port.HandOver) map[string]port.EndpointSpeed {
	out := make(map[string]port.EndpointSpeed)
	for _, e := range h.Speeds {
		out[e.Endpoint] = e
	}
	return out
}

// Guards against a successor that starts without what the former coordinator has learned.
func TestSuccessorKnowsWhatWasHandedOver(t *testing.T) {
	former, successor := newTestScheduler(t, 3, nil), newTestScheduler(t, 3, nil)
	learnSpeed(former, start, 0, 1, 8*time.Millisecond)
	learnSpeed(former, start, 1, 2.4, 19*time.Millisecond)
	wantVerdict(t, former.Submit(start, request("placed", 1000)), port.VerdictPlace, ReasonPlaced)
	now := at(time.Second)
	h := former.HandOver(now, "pool")
	if len(h.Speeds) != 2 || len(h.Organisations) != 1 || h.Organisations[0].Work <= 0 || h.Organisations[0].Demand <= 0 {
		t.Fatalf("handed over: %+v", h)
	}
	counts := successor.ApplyHandOver(now, &h)
	if counts != (port.HandOverCounts{Speeds: 2, Organisations: 1}) {
		t.Fatalf("applied: %+v", counts)
	}
	if got := successor.HandOver(now, "pool"); !reflect.DeepEqual(got, h) {
		t.Fatalf("the successor knows %+v, want %+v", got, h)
	}
}

// Guards against a successor whose first decision, before its next tick, doesn't use the
// speeds that were handed over.
func TestFirstDecisionUsesHandedOverSpeeds(t *testing.T) {
	former, successor := unevenScheduler(t, 2.4, 1, 1), unevenScheduler(t, 0, 0, 0)
	h := former.HandOver(start, "pool")
	successor.ApplyHandOver(start, &h)
	for _, c := range successor.Submit(start, longRequest("first")).Candidates {
		if c.Endpoint == runnerID(0) && c.Slowness != 2.4 {
			t.Errorf("slowness %v in the decision, want 2.4", c.Slowness)
		}
	}
}

// Guards against a successor that forgets the retry times that callers were given, or
// refuses the callers who return at these times.
func TestSuccessorHonoursBookedRetries(t *testing.T) {
	former, successor := newTestScheduler(t, 1, nil), newTestScheduler(t, 1, nil)
	former.shard("pool").organisation(start, "o").retryBookings[admission.LaneLong].Book(start, 0, 1)
	h := former.HandOver(start, "pool")
	if len(h.Bookings) != 1 || !h.Bookings[0].Long || h.Bookings[0].Organisation != "o" {
		t.Fatalf("handed over: %+v", h.Bookings)
	}
	if counts := successor.ApplyHandOver(start, &h); counts.Bookings != 1 {
		t.Fatalf("applied: %+v", counts)
	}
	if !successor.shard("pool").organisations["o"].retryBookings[admission.LaneLong].Redeem(h.Bookings[0].Due) {
		t.Fatal("the booking can't be redeemed")
	}
}

// Guards against a message that replaces what the receiver measured itself, and against
// samples from long ago that shut out newer figures.
func TestOwnSamplesTakePrecedence(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want time.Duration
	}{{staleSpeed, 10 * time.Millisecond}, {staleSpeed + time.Millisecond, 30 * time.Millisecond}} {
		s := newTestScheduler(t, 2, nil)
		learnSpeed(s, start, 0, 1, 10*time.Millisecond)
		h := port.HandOver{Pool: "pool", At: at(c.age), Speeds: []port.EndpointSpeed{
			{Endpoint: "runner-0", Incarnation: 1, Stated: 3, Step: 30 * time.Millisecond},
		}}
		s.ApplyHandOver(at(c.age), &h)
		known := s.HandOver(at(c.age), "pool")
		got := speedsByEndpoint(&known)["runner-0"].Step
		if (got - c.want).Abs() > 2*time.Millisecond {
			t.Errorf("own samples of %v ago: step %v, want about %v", c.age, got, c.want)
		}
	}
}

// Guards against the speed of a process that has ended being taken for that of its
// successor on another host, and against unknown endpoints and pools being created.
func TestOtherIncarnationsAndUnknownEndpointsAreIgnored(t *testing.T) {
	s := newTestScheduler(t, 2, nil)
	h := port.HandOver{Pool: "pool", At: start, Speeds: []port.EndpointSpeed{
		{Endpoint: "runner-0", Incarnation: 2, Stated: 2},
		{Endpoint: "runner-1", Incarnation: 0, Stated: 2},
		{Endpoint: "unknown", Incarnation: 1, Stated: 2},
	}}
	if counts := s.ApplyHandOver(start, &h); counts != (port.HandOverCounts{}) {
		t.Fatalf("applied: %+v", counts)
	}
	h.Pool = "another"
	s.ApplyHandOver(start, &h)
	if pools := s.Pools(); !reflect.DeepEqual(pools, []string{"pool"}) {
		t.Fatalf("pools: %q", pools)
	}
}

// Guards against invalid figures that would exclude a runner or an organisation permanently.
func TestInvalidFiguresAreIgnored(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2 * maxHandedRate} {
		h := port.HandOver{
			Pool: "pool", At: start, Speeds: []port.EndpointSpeed{{Endpoint: "runner-0", Incarnation: 1, Stated: v, Step: -1}},
			Organisations: []port.OrganisationUse{{Organisation: "o", Work: v, Demand: v, ShortPerSecond: v, LongPerSecond: v}},
		}
		s.ApplyHandOver(start, &h)
	}
	got := s.HandOver(start, "pool")
	if len(got.Speeds) != 0 || len(got.Organisations) != 1 || got.Organisations[0] != (port.OrganisationUse{Organisation: "o"}) {
		t.Fatalf("known: %+v", got)
	}
}

// Guards against messages beyond the maximum size. Speeds are kept, as a successor can't
// place well without them.
func TestHandOverIsBounded(t *testing.T) {
	s := newTestScheduler(t, 4, nil)
	learnSpeed(s, start, 0, 1.3, 9*time.Millisecond)
	sh := s.shard("pool")
	for i := range 3000 {
		o := sh.organisation(start, strings.Repeat("x", 100)+fmt.Sprint(i))
		o.work.add(start, float64(i))
		for range 4 {
			o.retryBookings[admission.LaneShort].Book(start, 0, 100)
		}
	}
	h := s.HandOver(start, "pool")
	if n := estimatedBytes(&h); n > MaxHandOverBytes || n < MaxHandOverBytes*9/10 {
		t.Fatalf("%d bytes, want just below %d", n, MaxHandOverBytes)
	}
	if len(h.Speeds) != 1 || h.Organisations[0].Work < h.Organisations[len(h.Organisations)-1].Work {
		t.Fatalf("%d speeds, first work %v", len(h.Speeds), h.Organisations[0].Work)
	}
}

func estimatedBytes(h *port.HandOver) int {
	n := headBytes + len(h.Pool)
	for i := range h.Speeds {
		n += speedBytes + len(h.Speeds[i].Endpoint)
	}
	for i := range h.Organisations {
		n += organisationBytes + len(h.Organisations[i].Organisation)
	}
	for i := range h.Bookings {
		n += bookingBytes + len(h.Bookings[i].Organisation)
	}
	return n
}

// drawHandOver returns a value about endpoints and organisations that partly exist.
func drawHandOver(t *rapid.T, now time.Time) port.HandOver {
	figure := rapid.OneOf(rapid.Float64Range(0, 1e6), rapid.Just(-1.0), rapid.Just(math.NaN()))
	name := rapid.SampledFrom([]string{"o", "p", "q"})
	h := port.HandOver{Pool: "pool", At: now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)}
	for range rapid.IntRange(0, 6).Draw(t, "speeds") {
		h.Speeds = append(h.Speeds, port.EndpointSpeed{
			Endpoint: fmt.Sprint("runner-", rapid.IntRange(0, 4).Draw(t, "runner")), Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			Stated: figure.Draw(t, "stated"), Step: time.Duration(rapid.IntRange(-1, 100_000).Draw(t, "step")) * time.Microsecond,
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "organisations") {
		h.Organisations = append(h.Organisations, port.OrganisationUse{
			Organisation: name.Draw(t, "organisation"), Work: figure.Draw(t, "work"), Demand: figure.Draw(t, "demand"),
			ShortPerSecond: figure.Draw(t, "short"), LongPerSecond: figure.Draw(t, "long"),
		})
	}
	for range rapid.IntRange(0, 6).Draw(t, "bookings") {
		h.Bookings = append(h.Bookings, port.RetryBooking{
			Organisation: name.Draw(t, "organisation"), Long: rapid.Bool().Draw(t, "lane"),
			Due: now.Add(time.Duration(rapid.IntRange(-12_000, 700_000).Draw(t, "due")) * time.Millisecond),
		})
	}
	return h
}

// A value that is applied twice, or passed back by the scheduler that got it, must change
// nothing more. Endpoints with own samples keep them, and no rate falls.
func TestApplyingTwiceChangesNothingMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := NewScheduler(Options{RouterID: "a"}), NewScheduler(Options{RouterID: "b"})
		s.SetEndpoints(start, endpoints(4))
		other.SetEndpoints(start, endpoints(4))
		own := rapid.IntRange(0, 3).Draw(t, "own")
		learnSpeed(s, start, own, 1.7, 12*time.Millisecond)
		s.Submit(start, request("placed", 500))
		now := at(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond)
		before := s.HandOver(now, "pool")
		h := drawHandOver(t, now)
		s.ApplyHandOver(now, &h)
		once := s.HandOver(now, "pool")
		id := fmt.Sprint("runner-", own)
		if was, is := speedsByEndpoint(&before)[id], speedsByEndpoint(&once)[id]; was != is {
			t.Fatalf("own speed %+v became %+v", was, is)
		}
		rates := make(map[string]port.OrganisationUse)
		for _, u := range once.Organisations {
			rates[u.Organisation] = u
		}
		for _, u := range before.Organisations {
			if is := rates[u.Organisation]; is.Work < u.Work || is.Demand < u.Demand || is.ShortPerSecond < u.ShortPerSecond || is.LongPerSecond < u.LongPerSecond {
				t.Fatalf("use %+v became %+v", u, is)
			}
		}
		if counts := s.ApplyHandOver(now, &h); counts != (port.HandOverCounts{}) {
			t.Fatalf("applied the second time: %+v", counts)
		}
		other.ApplyHandOver(now, &once)
		back := other.HandOver(now, "pool")
		if counts := s.ApplyHandOver(now, &back); counts != (port.HandOverCounts{}) {
			t.Fatalf("applied when passed back: %+v", counts)
		}
		if again := s.HandOver(now, "pool"); !reflect.DeepEqual(once, again) {
			t.Fatalf("%+v became %+v", once, again)
		}
	})
}
