package gateway

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// newUnevenHarness returns a gateway that compares endpoints of plain services by the
// expected time of a call.
func newUnevenHarness(t *testing.T) *harness {
	b := newHarness(t)
	b.balancer = balance.New(balance.Options{Draw: rand.New(rand.NewPCG(1, 0)).IntN, ReportMaxAge: time.Second, UnevenEndpoints: true})
	return b
}

// statedReply returns a handler that answers with a status and a load after a delay.
func statedReply(status int, delay time.Duration, load port.LoadHint) func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		time.Sleep(delay)
		a, err := reply(status, "x")(x)
		a.Load = &load
		return a, err
	}
}

// Guards against an endpoint that answers 500 within a millisecond and draws the calls of
// its pool, because its failures count as fast calls and the load it states with them as its
// own.
func TestEndpointThatFailsAtOnceDrawsNoCalls(t *testing.T) {
	b := newUnevenHarness(t)
	// Only calls take time, so that the load of the machine has no part in the result.
	var elapsed atomic.Int64
	start := time.Now()
	b.Clock = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	answer := func(status int, took time.Duration, load port.LoadHint) func(*port.Exchange) (*port.Answer, error) {
		send := statedReply(status, 0, load)
		return func(x *port.Exchange) (*port.Answer, error) {
			elapsed.Add(int64(took))
			return send(x)
		}
	}
	const calls = 400
	// countCalls returns how many calls are sent to s0, at the rate of one daemon.
	countCalls := func() int {
		n := 0
		for range calls {
			elapsed.Add(int64(670 * time.Millisecond))
			before := len(b.backends.arrivals())
			if refusal := b.send(t, "/once/", &fakeCaller{}); refusal != nil {
				t.Fatal(refusal)
			}
			if b.backends.arrivals()[before] == "s0" {
				n++
			}
		}
		return n
	}
	b.setHandlers("s", answer(200, 20*time.Millisecond, port.LoadHint{Running: 1, Slots: 6, Slowness: 1}))
	countCalls()
	was := countCalls()
	b.backends.handlers["s0"] = answer(500, time.Millisecond, port.LoadHint{Running: 1, Slots: 6, Slowness: 0.1})
	is := countCalls()
	t.Logf("the endpoint got %d of %d calls, while it failed %d", was, calls, is)
	if is > was || was == 0 {
		t.Errorf("the endpoint got %d of %d calls, while it failed %d", was, calls, is)
	}
}

// Guards against a decision whose record doesn't show that the expected time decided, and
// by which inputs.
func TestDecisionShowsExpectedTime(t *testing.T) {
	b := newUnevenHarness(t)
	b.setHandlers("s", statedReply(200, time.Millisecond, port.LoadHint{Running: 1, Slots: 6, Slowness: 1.7}))
	for range 10 {
		if refusal := b.send(t, "/safe/", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	shown := false
	for _, d := range b.sink.All() {
		shown = shown || strings.Contains(d.Reason, "shortest expected time of two drawn in pool plain: service time") && d.Candidates[0].Slowness > 0
	}
	if !shown || b.metrics.balancedByTime.Count() == 0 {
		t.Errorf("no decision shows the expected time; %d are counted", b.metrics.balancedByTime.Count())
	}
}

// Guards against connections that are kept for longer for calls that must not run twice or
// in pools that the rules on speed don't apply to, and against daemons that fill an endpoint
// with unused connections.
func TestOnlyRepeatableCallsKeepConnections(t *testing.T) {
	b := newUnevenHarness(t)
	b.setHandlers("s", reply(200, "x"))
	sent := func(path string) bool {
		t.Helper()
		if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
		return b.backends.sent[len(b.backends.sent)-1].Repeatable
	}
	for range 10 {
		if sent("/safe/") {
			t.Fatal("endpoints that state no slowness are served as without the setting")
		}
	}
	b.setHandlers("s", statedReply(200, 0, port.LoadHint{Running: 1, Slots: 6, Slowness: 1}))
	for range 10 {
		sent("/safe/")
	}
	if !sent("/safe/") || sent("/once/") {
		t.Error("exactly the calls that may run twice may use connections that were unused for long")
	}
	table := testTable(2)
	table.Pools[0].MaxConnections = 3
	b.view.records = []port.Record{recordOf(table)}
	b.view.members = []port.Member{{ID: "g", State: port.MemberLive}, {ID: "h", State: port.MemberLive}}
	b.apply()
	if sent("/safe/") {
		t.Error("two daemons may keep connections to an endpoint that accepts three")
	}
}
