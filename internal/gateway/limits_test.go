package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
)

// replyWithLimit returns a handler whose answer reports a rate limit.
func replyWithLimit(perSecond float64) func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(200, "fine")(x)
		a.RateLimit = &perSecond
		return a, err
	}
}

// The decision log shows when an endpoint's rate limit is adopted and when it
// is removed.
func TestLimitChangeIsRecorded(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", replyWithLimit(2.6))
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	b.apply()
	id := b.backends.arrivals()[0]
	if got := b.limitReasons(id); len(got) != 1 || !strings.Contains(got[0], "2.6 requests a second") {
		t.Fatalf("decisions about the limit of %s: %q", id, got)
	}
	b.view.PublishLimit(id, 1, 0)
	b.apply()
	if got := b.limitReasons(id); len(got) != 2 || !strings.Contains(got[1], "no limit any more") {
		t.Fatalf("decisions about the limit of %s: %q", id, got)
	}
}

// limitReasons returns the reasons of the decisions about an endpoint's limit.
func (b *harness) limitReasons(endpoint string) []string {
	var out []string
	for _, d := range b.sink.All() {
		if d.Verdict == verdictLimit && d.SubjectID == endpoint {
			out = append(out, d.Reason)
		}
	}
	return out
}

// fakeAdmitter answers admission requests with the function admit.
type fakeAdmitter struct {
	Placer
	mu    sync.Mutex
	admit func(asks []ratelimit.Candidate, maxWait time.Duration) ratelimit.Grant
	calls int
}

func (a *fakeAdmitter) Admit(_ context.Context, _ string, asks []ratelimit.Candidate, maxWait time.Duration) scheduling.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	return scheduling.Admission{Grant: a.admit(asks, maxWait), Coordinator: "c"}
}

// newLimitedHarness returns a gateway that knows the given limits of its
// endpoints and whose coordinator answers with admit.
func newLimitedHarness(t *testing.T, limits []float64, admit func([]ratelimit.Candidate, time.Duration) ratelimit.Grant) (*harness, *fakeAdmitter) {
	t.Helper()
	b := newHarness(t)
	a := &fakeAdmitter{Placer: b.Placer, admit: admit}
	b.Placer = a
	b.setHandlers("s", reply(200, "fine"))
	for i, perSecond := range limits {
		b.view.PublishLimit(fmt.Sprint("s", i), 1, perSecond)
		id := fmt.Sprint("s", i)
		if perSecond > 0 {
			b.backends.handlers[id] = replyWithLimit(perSecond)
		}
	}
	b.apply()
	return b, a
}

func denyAll(wait time.Duration) func([]ratelimit.Candidate, time.Duration) ratelimit.Grant {
	return func([]ratelimit.Candidate, time.Duration) ratelimit.Grant { return ratelimit.Grant{Wait: wait} }
}

func admitFirst(wait time.Duration) func([]ratelimit.Candidate, time.Duration) ratelimit.Grant {
	return func(asks []ratelimit.Candidate, _ time.Duration) ratelimit.Grant {
		return ratelimit.Grant{Endpoint: asks[0].Endpoint, Wait: wait}
	}
}

// Guards against waiting for a limited endpoint, or requesting its admission
// for each call, while another endpoint accepts calls.
func TestCallsAvoidEndpointsAtTheirLimit(t *testing.T) {
	b, a := newLimitedHarness(t, []float64{3, 3, 0}, denyAll(time.Hour))
	for i := range 50 {
		if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
			t.Fatalf("call %d: %v", i, refusal)
		}
	}
	for _, id := range b.backends.arrivals() {
		if id != "s2" {
			t.Fatalf("a call was sent to %s", id)
		}
	}
	if a.calls > 2 {
		t.Errorf("admission was requested %d times", a.calls)
	}
}

// Guards against starving a limited endpoint, and against decisions that don't
// show why it was excluded.
func TestLimitedEndpointGetsAdmittedCallsOnly(t *testing.T) {
	remaining := 5
	b, _ := newLimitedHarness(t, []float64{3, 0, 0}, func(asks []ratelimit.Candidate, _ time.Duration) ratelimit.Grant {
		if remaining == 0 {
			return ratelimit.Grant{Wait: time.Hour}
		}
		remaining--
		return ratelimit.Grant{Endpoint: asks[0].Endpoint}
	})
	for range 100 {
		if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	got := 0
	for _, id := range b.backends.arrivals() {
		if id == "s0" {
			got++
		}
	}
	if got != 5 {
		t.Errorf("s0 got %d calls, 5 were admitted", got)
	}
	excluded := false
	for _, d := range b.sink.All() {
		for _, c := range d.Candidates {
			excluded = excluded || c.Endpoint == "s0" && c.Excluded == routing.ExcludedLimit
		}
	}
	if !excluded {
		t.Error("no decision shows that s0 was excluded for its limit")
	}
	if _, scores, _ := b.balancer.Choose(time.Now(), []port.Endpoint{{ID: "s0"}}); scores[0].Score != 0 {
		t.Errorf("%v calls are counted at s0 after all have ended", scores[0].Score)
	}
}

// If all endpoints are at their limits, a call waits for its turn as long as
// the wait is short.
func TestCallWaitsForAdmission(t *testing.T) {
	const wait = 50 * time.Millisecond
	b, _ := newLimitedHarness(t, []float64{3, 3, 3}, admitFirst(wait))
	began := time.Now()
	if refusal := b.send(t, "/once/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if took := time.Since(began); took < wait {
		t.Errorf("sent after %v, its turn came after %v", took, wait)
	}
}

// A call whose time is over while it waits for its turn is not sent.
func TestCallIsNotSentWhenItTimesOutWaitingForAdmission(t *testing.T) {
	b, _ := newLimitedHarness(t, []float64{3, 3, 3}, admitFirst(time.Minute))
	refusal := b.send(t, "/brief/x", &fakeCaller{})
	if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.Cause != CauseTimeout {
		t.Fatalf("%+v", refusal)
	}
	if got := b.backends.arrivals(); len(got) != 0 {
		t.Fatalf("sent to %v", got)
	}
}

// Guards against refused callers that all retry at the same time, and against
// retry times that are not honoured.
func TestRefusedCallersGetSpacedRetryTimes(t *testing.T) {
	var waits []time.Duration
	b, a := newLimitedHarness(t, []float64{3, 3, 3}, func(_ []ratelimit.Candidate, p time.Duration) ratelimit.Grant {
		waits = append(waits, p)
		return ratelimit.Grant{Wait: 2 * time.Second}
	})
	retryTimes := map[time.Duration]bool{}
	for range 5 {
		refusal := b.send(t, "/once/x", &fakeCaller{})
		if refusal == nil || refusal.Cause != CauseOverloaded || refusal.Outcome != outcome.NotRun || !strings.Contains(refusal.Detail, "at_rate_limit") {
			t.Fatalf("%+v", refusal)
		}
		retryTimes[refusal.RetryAfter] = true
	}
	if len(retryTimes) < 2 || a.calls != 1 {
		t.Errorf("retry times %v, admission was requested %d times", retryTimes, a.calls)
	}
	now := time.Now()
	b.Clock = func() time.Time { return now.Add(1100 * time.Millisecond) }
	a.admit = func(asks []ratelimit.Candidate, p time.Duration) ratelimit.Grant {
		waits = append(waits, p)
		return ratelimit.Grant{Endpoint: asks[0].Endpoint}
	}
	if refusal := b.send(t, "/once/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(waits) != 2 || waits[1] != 2*waits[0] {
		t.Errorf("allowed waits %v", waits)
	}
}

// Once its limit is removed, an endpoint accepts calls at once, regardless of
// earlier refusals.
func TestRemovedLimitFreesTheEndpoint(t *testing.T) {
	b, _ := newLimitedHarness(t, []float64{3, 3, 3}, denyAll(time.Hour))
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal == nil {
		t.Fatal("not refused")
	}
	b.view.PublishLimit("s1", 1, 0)
	b.backends.handlers["s1"] = reply(200, "fine")
	b.apply()
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if got := b.backends.arrivals(); len(got) != 1 || got[0] != "s1" {
		t.Fatalf("sent to %v", got)
	}
}
