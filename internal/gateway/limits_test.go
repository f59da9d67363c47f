package gateway

import (
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
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
