package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Every refusal of a request that has not run gives a retry time, unless the
// caller's time is over. A refusal of one that may have run and must not run
// twice gives none.
func TestRefusalRetryAfter(t *testing.T) {
	retryAfter := 70 * time.Millisecond
	cases := []struct {
		name       string
		refusal    Refusal
		idempotent bool
		want       time.Duration
	}{
		{"not run, no retry time given", Refusal{Cause: CauseTooManyOpen, Outcome: outcome.NotRun}, false, retrySoon},
		{"not run, retry time given", Refusal{Cause: CauseOverloaded, Outcome: outcome.NotRun, RetryAfter: retryAfter}, false, retryAfter},
		{"another daemon serves", Refusal{Cause: CauseStopping, Outcome: outcome.NotRun}, false, retryElsewhere},
		{"may have run, not idempotent", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown, RetryAfter: retryAfter}, false, 0},
		{"may have run, idempotent", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown}, true, retrySoon},
		{"the caller's time limit has passed", Refusal{Cause: CauseTimeout, Outcome: outcome.NotRun, RetryAfter: retryAfter}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.refusal.setRetryAfter(c.idempotent)
			if c.refusal.RetryAfter != c.want {
				t.Fatalf("%v, want %v", c.refusal.RetryAfter, c.want)
			}
		})
	}
}

// Guards against calls that keep going to an endpoint which refuses all of them, because it has the fewest open ones, until the retry budget is spent.
func TestEndpointThatRefusesAllCallsIsAvoided(t *testing.T) {
	const refusalsInRow, openFor = 3, time.Second
	b := newHarness(t)
	b.refusals = breaker.NewSet(breaker.Options{Failures: refusalsInRow, OpenFor: openFor, MaxOpenFor: openFor, MaxEndpoints: 10})
	advance := b.useFakeClock()
	countSends(b)
	b.backends.handlers["s0"] = failure(port.ErrRefused)
	sendAll := func() {
		t.Helper()
		for _, path := range []string{"/safe/x", "/once/x"} {
			for range 60 {
				if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
		}
	}
	sendAll()
	if n := b.countArrivals("s0"); n != refusalsInRow {
		t.Errorf("%d calls reached the endpoint that refuses them, want %d", n, refusalsInRow)
	}
	advance(openFor)
	sendAll()
	if n := b.countArrivals("s0"); n != refusalsInRow+1 {
		t.Errorf("%d calls reached it, want one more", n)
	}
	b.backends.handlers["s0"] = reply(200, "fine")
	advance(openFor)
	sendAll()
	if n := b.countArrivals("s0"); n < 20 {
		t.Errorf("%d calls reached it although it accepts them again", n)
	}
}

// Guards against placing one generation after the other at a runner that refuses all of them and is therefore the emptiest.
func TestRefusedGenerationCountsForTheBreaker(t *testing.T) {
	for status, want := range map[int]port.FinishKind{
		http.StatusServiceUnavailable: port.FinishNotStarted,
		// The rate limit is accounted for by the admission of requests.
		http.StatusTooManyRequests: port.FinishCancelled,
	} {
		b := newHarness(t)
		countSends(b)
		b.useStaleCoordinator("e0", "e1")
		b.backends.handlers["e0"] = refuse(status)
		if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
		if got := b.Placer.(*staleCoordinator).finished; !slices.Equal(got, []port.FinishKind{want, port.FinishDone}) {
			t.Errorf("status %d: the scheduler got the ends %v, want %v first", status, got, want)
		}
	}
}

// refuse returns a handler that refuses requests with a status.
func refuse(status int) func(*port.Exchange) (*port.Answer, error) {
	return func(*port.Exchange) (*port.Answer, error) { return &port.Answer{Status: status}, port.ErrRefused }
}

// Guards against avoiding an endpoint because of its rate limit, for which it gets its share of the requests.
func TestRefusalByRateLimitOpensNoBreaker(t *testing.T) {
	b := newHarness(t)
	b.refusals = breaker.NewSet(breaker.Options{Failures: 1, OpenFor: time.Hour, MaxOpenFor: time.Hour, MaxEndpoints: 10})
	countSends(b)
	b.backends.handlers["s0"] = sequence(refuse(http.StatusTooManyRequests), reply(200, "fine"))
	if n := b.sendMany(t, 60, "/safe/x", "s0"); n < 2 {
		t.Errorf("%d of 60 calls reached it", n)
	}
}

// Guards against refusing calls without an attempt when all endpoints have refused the last ones.
func TestCallsAreTriedWhenAllEndpointsRefused(t *testing.T) {
	b := newHarness(t)
	b.refusals = breaker.NewSet(breaker.Options{Failures: 1, OpenFor: time.Hour, MaxOpenFor: time.Hour, MaxEndpoints: 10})
	b.setHandlers("s", failure(port.ErrRefused))
	for range 3 {
		_ = b.send(t, "/once/x", &fakeCaller{})
	}
	b.setHandlers("s", reply(200, "fine"))
	if refusal := b.send(t, "/once/x", &fakeCaller{}); refusal != nil {
		t.Error(refusal)
	}
}
