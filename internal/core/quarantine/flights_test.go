package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost attempts that are not held against anything when their endpoint ends.
func TestEndOfAnEndpointTellsWhatRanThere(t *testing.T) {
	f, now := NewFlights(), time.Unix(1000, 0)
	e := EndpointKey{ID: "e", Incarnation: 1}
	first, second, late := f.Begin(now, e, fingerprint(1)), f.Begin(now, e, fingerprint(2)), f.Begin(now.Add(time.Second), e, fingerprint(3))
	now = now.Add(2 * time.Second)
	if look, gone := f.Lost(now, first); !look || gone {
		t.Fatalf("the first loss: look %v, gone %v", look, gone)
	}
	if _, doubt := f.Gone(now, e); !doubt {
		t.Fatal("an older attempt is still open, and nothing is in doubt")
	}
	if look, gone := f.Lost(now, second); look || gone {
		t.Fatalf("the second loss: look %v, gone %v", look, gone)
	}
	f.End(late)
	lost, doubt := f.Gone(now, e)
	if doubt || !slices.Equal(lost, []Fingerprint{fingerprint(1), fingerprint(2)}) {
		t.Fatalf("lost %v, doubt %v", lost, doubt)
	}
	after := f.Begin(now, e, fingerprint(4))
	if look, gone := f.Lost(now.Add(time.Second), after); look || !gone {
		t.Fatalf("a loss after the end: look %v, gone %v", look, gone)
	}
}

// Guards against broken connections that are taken for crashes.
func TestLossAtAnEndpointThatLivesIsForgotten(t *testing.T) {
	f, now := NewFlights(), time.Unix(1000, 0)
	e := EndpointKey{ID: "e", Incarnation: 1}
	f.Lost(now, f.Begin(now, e, fingerprint(1)))
	f.Alive(e)
	look, _ := f.Lost(now.Add(time.Second), f.Begin(now, e, fingerprint(2)))
	lost, _ := f.Gone(now.Add(time.Second), e)
	if !look || !slices.Equal(lost, []Fingerprint{fingerprint(2)}) {
		t.Fatalf("look %v, lost %v", look, lost)
	}
}

// Guards against attempts that are reported twice, wrongly, or kept after their end.
func TestFlightsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := NewFlights(), time.Unix(1000, 0)
		e := EndpointKey{ID: "e", Incarnation: 1}
		var open []*Flight
		var unexplained []Fingerprint
		looking, next := false, 0
		take := func() *Flight {
			i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			flight := open[i]
			open = slices.Delete(open, i, i+1)
			return flight
		}
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(10 * time.Second)
			f.Tick(now)
			switch event := rapid.SampledFrom([]string{"begin", "end", "lose", "gone", "alive"}).Draw(t, "event"); {
			case event == "begin":
				next++
				open = append(open, f.Begin(now, e, fingerprint(next)))
			case event == "end" && len(open) > 0:
				flight := take()
				f.End(flight)
				f.End(flight)
			case event == "lose" && len(open) > 0:
				flight := take()
				look, gone := f.Lost(now, flight)
				unexplained = append(unexplained, flight.fingerprint)
				if look == looking || gone {
					t.Fatalf("look %v though somebody looks: %v, gone %v", look, looking, gone)
				}
				looking = true
			case event == "gone" && looking:
				lost, doubt := f.Gone(now, e)
				if doubt {
					break
				}
				if !slices.Equal(lost, unexplained) {
					t.Fatalf("told %v, lost %v", lost, unexplained)
				}
				looking, unexplained = false, nil
			case event == "alive" && looking:
				f.Alive(e)
				looking, unexplained = false, nil
			}
		}
		for len(open) > 0 {
			f.End(take())
		}
		f.Alive(e)
		f.Tick(now.Add(time.Minute))
		if len(f.m) > 0 {
			t.Fatalf("%d endpoints are kept", len(f.m))
		}
	})
}
