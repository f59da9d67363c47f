package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

var testStart = time.Unix(1_700_000_000, 0)

func newUnevenBalancer() *Balancer {
	r := rand.New(rand.NewPCG(1, 0))
	return New(Options{Draw: r.IntN, ReportMaxAge: 2 * time.Second, UnevenEndpoints: true})
}

// answer plays one successful call to an endpoint.
func answer(b *Balancer, now time.Time, e *port.Endpoint, took time.Duration, load *port.LoadHint) {
	b.Choose(now, []port.Endpoint{*e})
	b.Observe(now, e, load, false)
	b.EndSuccess(now, e, Sample{Took: took, Load: load})
}

// learn plays calls that take the given time at an idle endpoint.
func learn(b *Balancer, now time.Time, e *port.Endpoint, took time.Duration, slowness float64) {
	for range meanCalls {
		answer(b, now, e, took, &port.LoadHint{Running: 1, Slots: 6, Slowness: slowness})
	}
}

// scoresOf returns the expected times at two endpoints.
func scoresOf(b *Balancer, now time.Time, pool []port.Endpoint) (first, second float64) {
	chosen, scores, _ := b.Choose(now, pool)
	b.End(chosen.ID)
	for _, s := range scores {
		if s.Endpoint == pool[0].ID {
			first = s.Score
		} else {
			second = s.Score
		}
	}
	return first, second
}

func expectRatio(t *testing.T, b *Balancer, now time.Time, pool []port.Endpoint, what string, want float64) {
	t.Helper()
	first, second := scoresOf(b, now, pool)
	if got := second / first; got < 0.95*want || got > 1.05*want {
		t.Errorf("%s: expected times %.1f and %.1f ms, want a ratio of %.2f", what, first, second, want)
	}
}

// Guards against a change of the choice for deployments that don't ask for it: without the
// option, and in pools that don't state their slowness, it follows the number of calls.
func TestChoiceByCallsIsUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		uneven   bool
		slowness float64
	}{
		"without the option":      {false, 2.4},
		"without stated slowness": {true, 0},
	} {
		draws, formerDraws := rand.New(rand.NewPCG(7, 0)), rand.New(rand.NewPCG(7, 0))
		events := rand.New(rand.NewPCG(8, 0))
		b := New(Options{Draw: draws.IntN, ReportMaxAge: time.Second, UnevenEndpoints: c.uneven})
		former := New(Options{Draw: formerDraws.IntN, ReportMaxAge: time.Second})
		pool := endpoints(4)
		now := testStart
		var open []port.Endpoint
		for i := range 5000 {
			now = now.Add(time.Duration(events.IntN(40)) * time.Millisecond)
			e := &pool[events.IntN(len(pool))]
			switch events.IntN(4) {
			case 0, 1:
				got, scores, _ := b.Choose(now, pool)
				want, wantScores, _ := former.Choose(now, pool)
				if got.ID != want.ID || scores[0] != wantScores[0] || scores[1] != wantScores[1] {
					t.Fatalf("%s, event %d: chose %s of %+v, want %s of %+v", name, i, got.ID, scores, want.ID, wantScores)
				}
				open = append(open, got)
			case 2:
				hint := &port.LoadHint{Running: events.IntN(9), Waiting: events.IntN(5), Slots: 6, Slowness: c.slowness}
				b.Observe(now, e, hint, events.IntN(3) == 0)
				former.Report(now, &port.LoadReport{EndpointID: e.ID, Running: hint.Running, Waiting: hint.Waiting})
			default:
				if len(open) == 0 {
					continue
				}
				ended := open[0]
				open = open[1:]
				former.End(ended.ID)
				if events.IntN(3) == 0 {
					b.EndFailure(now, &ended, time.Millisecond)
				} else {
					b.EndSuccess(now, &ended, Sample{Took: 20 * time.Millisecond})
				}
			}
		}
	}
}

// Guards against a slow endpoint that gets calls because a fast one has one more of them.
func TestExpectedTimeDecidesOverNumberOfCalls(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	learn(b, testStart, &pool[1], 48*time.Millisecond, 2.4)
	b.Observe(testStart, &pool[0], &port.LoadHint{Running: 6, Waiting: 3, Slots: 6, Slowness: 1}, false)
	for range 2 {
		if e, _, _ := b.Choose(testStart, pool); e.ID != "0" {
			t.Fatal("a call goes to the slow endpoint although it ends sooner at the fast one")
		}
	}
	slow := 0
	for range 10 {
		if e, _, _ := b.Choose(testStart, pool); e.ID == "1" {
			slow++
		}
	}
	if slow == 0 {
		t.Error("all calls wait at the fast endpoint although some end sooner at the slow one")
	}
}

// Guards against an endpoint without calls that is chosen always or never.
func TestUnknownEndpointCountsAsPoolMedian(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	expectRatio(t, b, testStart, pool, "an endpoint without calls", 1)
	b.Observe(testStart, &pool[1], &port.LoadHint{Running: 1, Slots: 6, Slowness: 2.4}, false)
	expectRatio(t, b, testStart, pool, "an endpoint that has stated its slowness only", 2.4)
}

// Guards against waiting times that count as the endpoint's own, after which a fast
// endpoint that was full once counts as slow.
func TestWaitForSlotIsNotLearned(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	for range meanCalls {
		answer(b, testStart, &pool[1], 60*time.Millisecond, &port.LoadHint{Running: 6, Waiting: 12, Slots: 6, Slowness: 1})
	}
	expectRatio(t, b, testStart.Add(3*time.Second), pool, "an endpoint that was full", 1)
}

// Guards against reports and slow moments that decide about calls seconds later.
func TestReportAndSlownessLoseWeightWithAge(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	learn(b, testStart, &pool[1], 20*time.Millisecond, 1)
	b.Observe(testStart, &pool[1], &port.LoadHint{Running: 6, Waiting: 5, Slots: 6, Slowness: 2.5}, false)
	expectRatio(t, b, testStart, pool, "a slow moment and a full endpoint", 5)
	expectRatio(t, b, testStart.Add(300*time.Millisecond), pool, "300 ms later", 1.75*(11*0.85+1)/6)
	expectRatio(t, b, testStart.Add(2*time.Second), pool, "2 s later", 1)
}

// Guards against an estimate that is wrong for all time, because an endpoint that counts
// as slow gets no calls that would correct it.
func TestEstimateIsForgottenWithoutCalls(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[1], 48*time.Millisecond, 2.4)
	for at := time.Duration(0); at <= rememberFor; at += time.Second {
		learn(b, testStart.Add(at), &pool[0], 20*time.Millisecond, 1)
	}
	expectRatio(t, b, testStart.Add(rememberFor), pool, "a slow endpoint without calls", 1)
}

// Guards against an endpoint that fails within a millisecond and counts as the fastest and
// least loaded one.
func TestFailedCallIsNoSample(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	learn(b, testStart, &pool[1], 48*time.Millisecond, 2.4)
	b.Observe(testStart, &pool[1], &port.LoadHint{Running: 12, Slots: 6, Slowness: 2.4}, false)
	first, second := scoresOf(b, testStart, pool)
	now := testStart
	for range 50 {
		now = now.Add(time.Millisecond)
		b.Choose(now, pool[1:])
		b.Observe(now, &pool[1], &port.LoadHint{Running: 1, Slots: 6, Slowness: 0.1}, true)
		b.EndFailure(now, &pool[1], time.Millisecond)
	}
	if firstNow, secondNow := scoresOf(b, now, pool); secondNow/firstNow < second/first {
		t.Errorf("expected time %.1f ms beside %.1f, before the failures %.1f beside %.1f", secondNow, firstNow, second, first)
	}
}

// Guards against an endpoint that fails and draws the calls of its pool when the others turn
// slower, because its own estimate stays as it was.
func TestFailingEndpointGainsNothingFromSlowerPool(t *testing.T) {
	for _, n := range []int{2, 3} {
		b, pool := newUnevenBalancer(), endpoints(n)
		for i := range pool {
			learn(b, testStart, &pool[i], 20*time.Millisecond, 1)
		}
		b.Choose(testStart, pool[:1])
		b.EndFailure(testStart, &pool[0], time.Millisecond)
		now := testStart.Add(time.Second)
		for i := range pool[1:] {
			learn(b, now, &pool[1+i], 200*time.Millisecond, 1)
		}
		for range 30 {
			e, _, _ := b.Choose(now, pool)
			b.End(e.ID)
			if e.ID == "0" {
				t.Fatalf("the endpoint of %d that fails is chosen because the others have turned slower", n)
			}
		}
	}
}

// Guards against an endpoint that has restarted under its id, at another speed, and is
// judged by its former incarnation, and against late answers of that one.
func TestRestartedEndpointStartsWithoutHistory(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(2)
	pool[1].Incarnation = 1
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	learn(b, testStart, &pool[1], 48*time.Millisecond, 2.4)
	before := pool[1]
	pool[1].Incarnation = 2
	expectRatio(t, b, testStart, pool, "after the restart", 1)
	learn(b, testStart, &before, 480*time.Millisecond, 24)
	b.Choose(testStart, []port.Endpoint{before})
	b.EndFailure(testStart, &before, time.Millisecond)
	expectRatio(t, b, testStart, pool, "after late answers of the former incarnation", 1)
	learn(b, testStart, &pool[1], 14*time.Millisecond, 0.7)
	expectRatio(t, b, testStart, pool, "after calls", 0.7)
}

// Guards against new connections where one is open to an endpoint that is as fast, and
// against calls to a slow endpoint because a connection to it is open.
func TestOpenConnectionDecidesBetweenSimilarTimes(t *testing.T) {
	b, pool := newUnevenBalancer(), endpoints(3)
	b.o.HasConnection = func(e *port.Endpoint) bool { return e.ID != "0" }
	learn(b, testStart, &pool[0], 20*time.Millisecond, 1)
	learn(b, testStart, &pool[1], 21*time.Millisecond, 1)
	learn(b, testStart, &pool[2], 48*time.Millisecond, 2.4)
	now := testStart.Add(2 * time.Second)
	for range 20 {
		e, _, _ := b.Choose(now, pool[:2])
		b.End(e.ID)
		if e.ID != "1" {
			t.Fatal("a new connection is used although one is open to an endpoint that is as fast")
		}
		e, _, _ = b.Choose(now, []port.Endpoint{pool[0], pool[2]})
		b.End(e.ID)
		if e.ID != "0" {
			t.Fatal("the slow endpoint is chosen because a connection to it is open")
		}
	}
}
