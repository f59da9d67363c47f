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

// limited is an answer that names a limit.
func limited(perSecond float64) func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(200, "fine")(x)
		a.RateLimit = &perSecond
		return a, err
	}
}

// An operator sees when an endpoint's limit was believed, and when not any more.
func TestChangeOfALimitIsLogged(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", limited(2.6))
	if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	b.apply()
	id := b.world.arrivals()[0]
	if got := b.limitLines(id); len(got) != 1 || !strings.Contains(got[0], "2.6 requests a second") {
		t.Fatalf("lines on %s: %q", id, got)
	}
	b.view.TellLimit(id, 1, 0)
	b.apply()
	if got := b.limitLines(id); len(got) != 2 || !strings.Contains(got[1], "no limit any more") {
		t.Fatalf("lines on %s: %q", id, got)
	}
}

// limitLines are the reasons of the lines on an endpoint's limit.
func (b *bench) limitLines(endpoint string) []string {
	var out []string
	for _, d := range b.sink.All() {
		if d.Verdict == verdictLimit && d.SubjectID == endpoint {
			out = append(out, d.Reason)
		}
	}
	return out
}

// admitting answers asks for leave to send.
type admitting struct {
	Placer
	mu    sync.Mutex
	admit func(asks []ratelimit.Ask, patience time.Duration) ratelimit.Grant
	asked int
}

func (a *admitting) Admit(_ context.Context, _ string, asks []ratelimit.Ask, patience time.Duration) scheduling.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	return scheduling.Admission{Grant: a.admit(asks, patience), Coordinator: "c"}
}

// newLimitedBench is a gateway that knows limits of endpoints, over a coordinator
// that answers as told.
func newLimitedBench(t *testing.T, limits []float64, admit func([]ratelimit.Ask, time.Duration) ratelimit.Grant) (*bench, *admitting) {
	t.Helper()
	b := newBench(t)
	a := &admitting{Placer: b.Placer, admit: admit}
	b.Placer = a
	b.everywhere("s", reply(200, "fine"))
	for i, perSecond := range limits {
		b.view.TellLimit(fmt.Sprint("s", i), 1, perSecond)
		id := fmt.Sprint("s", i)
		if perSecond > 0 {
			b.world.on[id] = limited(perSecond)
		}
	}
	b.apply()
	return b, a
}

func none(wait time.Duration) func([]ratelimit.Ask, time.Duration) ratelimit.Grant {
	return func([]ratelimit.Ask, time.Duration) ratelimit.Grant { return ratelimit.Grant{Wait: wait} }
}

func first(wait time.Duration) func([]ratelimit.Ask, time.Duration) ratelimit.Grant {
	return func(asks []ratelimit.Ask, _ time.Duration) ratelimit.Grant {
		return ratelimit.Grant{Endpoint: asks[0].Endpoint, Wait: wait}
	}
}

// Guards against waiting for a limited endpoint, or asking for it at each call, while another has room.
func TestCallsGoToTheEndpointThatTakesThem(t *testing.T) {
	b, a := newLimitedBench(t, []float64{3, 3, 0}, none(time.Hour))
	for i := range 50 {
		if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
			t.Fatalf("call %d: %v", i, refusal)
		}
	}
	for _, id := range b.world.arrivals() {
		if id != "s2" {
			t.Fatalf("a call went to %s", id)
		}
	}
	if a.asked > 2 {
		t.Errorf("asked %d times", a.asked)
	}
}

// Guards against starving a limited endpoint, and against log lines that don't show why it was passed over.
func TestLimitedEndpointGetsWhatIsAdmitted(t *testing.T) {
	left := 5
	b, _ := newLimitedBench(t, []float64{3, 0, 0}, func(asks []ratelimit.Ask, _ time.Duration) ratelimit.Grant {
		if left == 0 {
			return ratelimit.Grant{Wait: time.Hour}
		}
		left--
		return ratelimit.Grant{Endpoint: asks[0].Endpoint}
	})
	for range 100 {
		if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	got := 0
	for _, id := range b.world.arrivals() {
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
		t.Error("no line shows that s0 took no more")
	}
	if _, scores, _ := b.balancer.Choose(time.Now(), []port.Endpoint{{ID: "s0"}}); scores[0].Score != 0 {
		t.Errorf("%v calls are counted at s0 after all have ended", scores[0].Score)
	}
}

// All endpoints are in need: a call waits for its turn, as long as that is short.
func TestCallWaitsForItsTurn(t *testing.T) {
	const wait = 50 * time.Millisecond
	b, _ := newLimitedBench(t, []float64{3, 3, 3}, first(wait))
	began := time.Now()
	if refusal := b.ask(t, "/once/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if took := time.Since(began); took < wait {
		t.Errorf("sent after %v, its turn came after %v", took, wait)
	}
}

// A caller who leaves while the call waits gets nothing sent.
func TestCallWhoseCallerLeavesBeforeItsTurnIsNotSent(t *testing.T) {
	b, _ := newLimitedBench(t, []float64{3, 3, 3}, first(time.Minute))
	refusal := b.ask(t, "/brief/x", &caller{})
	if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.Cause != CauseTimeout {
		t.Fatalf("%+v", refusal)
	}
	if got := b.world.arrivals(); len(got) != 0 {
		t.Fatalf("sent to %v", got)
	}
}

// Guards against a herd of refused callers, and promised times that mean nothing.
func TestCallersBeyondAllLimitsComeBackInTurn(t *testing.T) {
	var patience []time.Duration
	b, a := newLimitedBench(t, []float64{3, 3, 3}, func(_ []ratelimit.Ask, p time.Duration) ratelimit.Grant {
		patience = append(patience, p)
		return ratelimit.Grant{Wait: 2 * time.Second}
	})
	told := map[time.Duration]bool{}
	for range 5 {
		refusal := b.ask(t, "/once/x", &caller{})
		if refusal == nil || refusal.Cause != CauseOverloaded || refusal.Outcome != outcome.NotRun || !strings.Contains(refusal.Detail, "at_rate_limit") {
			t.Fatalf("%+v", refusal)
		}
		told[refusal.RetryAfter] = true
	}
	if len(told) < 2 || a.asked != 1 {
		t.Errorf("told %v, the coordinator was asked %d times", told, a.asked)
	}
	now := time.Now()
	b.Clock = func() time.Time { return now.Add(1100 * time.Millisecond) }
	a.admit = func(asks []ratelimit.Ask, p time.Duration) ratelimit.Grant {
		patience = append(patience, p)
		return ratelimit.Grant{Endpoint: asks[0].Endpoint}
	}
	if refusal := b.ask(t, "/once/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(patience) != 2 || patience[1] != 2*patience[0] {
		t.Errorf("patience %v", patience)
	}
}

// The lifted limit frees the endpoint at once, whatever was refused before.
func TestLiftedLimitFreesTheEndpoint(t *testing.T) {
	b, _ := newLimitedBench(t, []float64{3, 3, 3}, none(time.Hour))
	if refusal := b.ask(t, "/safe/x", &caller{}); refusal == nil {
		t.Fatal("not refused")
	}
	b.view.TellLimit("s1", 1, 0)
	b.world.on["s1"] = reply(200, "fine")
	b.apply()
	if refusal := b.ask(t, "/safe/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if got := b.world.arrivals(); len(got) != 1 || got[0] != "s1" {
		t.Fatalf("sent to %v", got)
	}
}
