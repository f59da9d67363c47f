package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// partHistory builds the suspects of a series of crashes and completions.
type partHistory struct {
	now      time.Time
	requests int
	crashes  CrashID
	table    map[string]PartSuspect
}

func newPartHistory() *partHistory {
	return &partHistory{now: time.Unix(1000, 0), table: map[string]PartSuspect{}}
}

// lostRequest is a request with the named parts that ran for a while when its endpoint
// ended. The same number is the same request; zero is a new one.
type lostRequest struct {
	parts  []uint64
	ran    time.Duration
	number int
}

// request returns a request with the given parts and a last part of its own.
func (h *partHistory) request(number int, ids ...uint64) *Request {
	if number == 0 {
		h.requests++
		number = 1000 + h.requests
	}
	scope := Scope{Organisation: "o", Pool: "p", Model: "m"}
	return &Request{
		Fingerprint: FingerprintOf("o", "POST", "h", fmt.Sprint(number), nil), Organisation: "o",
		Parts: scope.Parts(append(slices.Clone(ids), 1<<32+uint64(number))),
	}
}

// crash ends an endpoint at which the requests ran, and returns the id of the crash.
func (h *partHistory) crash(lost ...lostRequest) CrashID {
	h.crashes++
	for _, l := range lost {
		r := h.request(l.number, l.parts...)
		for _, p := range r.Parts {
			s, held := h.table[string(p.Fingerprint[:])]
			added := PartSuspect{
				Part: p, Organisation: "o", Cleared: s.Cleared, Completed: s.Completed,
				Crashes: []PartCrash{{ID: h.crashes, Request: r.Fingerprint.short(), Ran: l.ran, At: h.now}},
			}
			for _, other := range r.Parts {
				if other != p {
					added.Companions = append(added.Companions, other.Fingerprint.short())
				}
			}
			slices.Sort(added.Companions)
			if held {
				added = PartOrder{}.Join(s, added)
			}
			h.table[string(p.Fingerprint[:])] = added
		}
	}
	return h.crashes
}

// complete records that a request with the parts completed.
func (h *partHistory) complete(ids ...uint64) {
	for _, p := range h.request(0, ids...).Parts {
		s := h.table[string(p.Fingerprint[:])]
		s.Part, s.Completed = p, true
		if len(s.Crashes) > 0 {
			s.Cleared++
			s.Crashes, s.Companions = nil, nil
		}
		h.table[string(p.Fingerprint[:])] = s
	}
}

func (h *partHistory) suspects() []PartSuspect {
	var out []PartSuspect
	for _, s := range h.table {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b PartSuspect) int { return cmp.Compare(a.Part.ID, b.Part.ID) })
	return out
}

// pass lets half a second pass.
func (h *partHistory) pass() { h.now = h.now.Add(500 * time.Millisecond) }

// Parts of the prompts below: dead crashes endpoints.
const (
	first, dead, twin, other, third uint64 = 1, 0xdead, 0x7714, 0x500, 0x501
)

func TestEvaluateParts(t *testing.T) {
	brief := 100 * time.Millisecond
	cases := []struct {
		name  string
		build func(h *partHistory)
		want  [][]uint64
	}{
		{"nothing", func(*partHistory) {}, nil},
		{"two crashes are not enough", func(h *partHistory) {
			for range 2 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief})
			}
		}, nil},
		{"three crashes under different requests", func(h *partHistory) {
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief})
			}
		}, [][]uint64{{dead}}},
		{"three crashes under one request are those of the request", func(h *partHistory) {
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief, number: 7})
			}
		}, nil},
		{"parts that always come together", func(h *partHistory) {
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead, twin}, ran: brief})
			}
		}, [][]uint64{{dead, twin}}},
		{"a shared part that completed since the crashes is cleared", func(h *partHistory) {
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{first, dead}, ran: brief})
			}
			h.complete(first, other)
		}, [][]uint64{{dead}}},
		{"a shared part that completed before the crashes is less likely the cause", func(h *partHistory) {
			h.complete(first, other)
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{first, dead}, ran: brief})
			}
		}, [][]uint64{{dead}}},
		{"a shared part with an unrelated crash is not the cause", func(h *partHistory) {
			h.crash(lostRequest{parts: []uint64{first, other}, ran: time.Second})
			for range 4 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{first, dead}, ran: brief})
			}
		}, [][]uint64{{dead, first}}},
		{"a part of requests beside it is ambiguous at three crashes", func(h *partHistory) {
			for range 3 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief}, lostRequest{parts: []uint64{other}, ran: 3 * brief})
			}
		}, nil},
		{"a part of requests beside it, at five crashes", func(h *partHistory) {
			for range 5 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief}, lostRequest{parts: []uint64{other}, ran: 3 * brief})
			}
		}, [][]uint64{{dead}}},
		{"endpoints that end at once have one cause", func(h *partHistory) {
			for range 8 {
				h.crash(lostRequest{parts: []uint64{first, other}, ran: 3 * time.Second}, lostRequest{parts: []uint64{first, third}, ran: brief})
			}
		}, nil},
		{"brief requests lost one after the other at a moment", func(h *partHistory) {
			h.complete(first)
			for range 8 {
				h.now = h.now.Add(10 * time.Millisecond)
				h.crash(lostRequest{parts: []uint64{first}, ran: 5 * time.Millisecond})
			}
		}, nil},
		{"presumed ends of endpoints in one failure", func(h *partHistory) {
			h.complete(first)
			for range 8 {
				h.now = h.now.Add(250 * time.Millisecond)
				h.crash(lostRequest{parts: []uint64{first}, ran: presumedSpan})
			}
		}, nil},
		{"many endpoints that end at once, twice", func(h *partHistory) {
			for range 2 {
				for range 3 {
					h.crash(lostRequest{parts: []uint64{dead}, ran: brief})
				}
				h.pass()
			}
		}, [][]uint64{{dead}}},
		{"a part that completed lately needs five", func(h *partHistory) {
			h.complete(dead)
			for range 4 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief})
			}
		}, nil},
		{"a part that was harmless before", func(h *partHistory) {
			h.complete(dead)
			for range 5 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: brief})
			}
		}, [][]uint64{{dead}}},
		{"attempts that had lasted longer than the time between crashes", func(h *partHistory) {
			for range 5 {
				h.pass()
				h.crash(lostRequest{parts: []uint64{dead}, ran: 5 * time.Second})
			}
		}, [][]uint64{{dead}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newPartHistory()
			c.build(h)
			if got := combinationIDs(EvaluateParts(h.suspects(), nil)); !slices.EqualFunc(got, c.want, slices.Equal) {
				t.Fatalf("quarantined %x, want %x", got, c.want)
			}
		})
	}
}

func combinationIDs(cs []Combination) [][]uint64 {
	var out [][]uint64
	for i := range cs {
		out = append(out, cs[i].partIDs())
	}
	return out
}

// Guards against blaming the parts of requests that ran beside a request which crashes endpoints by itself.
func TestCrashesOfQuarantinedRequestDontCountAgainstParts(t *testing.T) {
	h := newPartHistory()
	fatal := Suspect{Fingerprint: h.request(7).Fingerprint}
	for range 4 {
		h.pass()
		id := h.crash(lostRequest{number: 7, ran: 100 * time.Millisecond}, lostRequest{parts: []uint64{first, other}, ran: 200 * time.Millisecond})
		fatal.Crashes = append(fatal.Crashes, id)
	}
	if got := EvaluateParts(h.suspects(), []Suspect{fatal}); len(got) > 0 {
		t.Fatalf("quarantined %x", combinationIDs(got))
	}
	if got := EvaluateParts(h.suspects(), nil); len(got) == 0 {
		t.Fatal("nothing is quarantined although no request explains the crashes")
	}
}

// Guards against blaming a part that all requests share while a request and another part crash endpoints at the same time.
func TestSharedPartIsNotTheCauseOfTwoSeriesOfCrashes(t *testing.T) {
	h := newPartHistory()
	h.complete(first, other)
	fatal := Suspect{Fingerprint: h.request(7).Fingerprint}
	crash := func(lost lostRequest) CrashID {
		h.pass()
		return h.crash(lost, lostRequest{parts: []uint64{first, other}, ran: 200 * time.Millisecond})
	}
	crashOfRequest := func() {
		fatal.Crashes = append(fatal.Crashes, crash(lostRequest{number: 7, ran: 100 * time.Millisecond}))
	}
	crashOfPart := func() { crash(lostRequest{parts: []uint64{first, dead}, ran: 100 * time.Millisecond}) }
	crashOfPart()
	for range 3 {
		crashOfRequest()
	}
	crashOfPart()
	crash(lostRequest{parts: []uint64{first, third}, ran: time.Second})
	crashOfRequest()
	if got := EvaluateParts(h.suspects(), []Suspect{fatal}); len(got) > 0 {
		t.Fatalf("quarantined %x before any part alone explains three crashes", combinationIDs(got))
	}
	crashOfPart()
	if got := combinationIDs(EvaluateParts(h.suspects(), []Suspect{fatal})); len(got) != 1 || !slices.Equal(got[0], []uint64{dead}) {
		t.Fatalf("quarantined %x", got)
	}
}

// Guards against the same while two parts crash endpoints.
func TestSharedPartIsNotTheCauseOfTheCrashesOfTwoParts(t *testing.T) {
	h := newPartHistory()
	h.complete(first, other)
	for range 5 {
		for _, part := range []uint64{dead, twin} {
			h.pass()
			h.crash(lostRequest{parts: []uint64{first, part}, ran: 100 * time.Millisecond})
		}
	}
	got := EvaluateParts(h.suspects(), nil)
	if sound := h.request(0, first, other).Parts; len(got) != 2 || slices.ContainsFunc(got, func(c Combination) bool { return c.matches(sound) }) {
		t.Errorf("quarantined %x", combinationIDs(got))
	}
}

// Guards against a crashing part that is sent on and on, and against refusing other requests once it is known.
func TestCrashingPartAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newPartHistory()
		part := rapid.Uint64Range(1, 6)
		draw := func(crashing bool) []uint64 {
			ids := rapid.SliceOfNDistinct(part, 1, 4, rapid.ID[uint64]).Draw(t, "parts")
			if crashing {
				ids = append(ids, dead)
			}
			return ids
		}
		refused := func(ids []uint64) bool {
			verdict := EvaluateParts(h.suspects(), nil)
			return slices.ContainsFunc(verdict, func(c Combination) bool { return c.matches(h.request(0, ids...).Parts) })
		}
		crashes := 0
		for range rapid.IntRange(10, 60).Draw(t, "requests") {
			h.pass()
			ids := draw(rapid.Bool().Draw(t, "crashing"))
			if refused(ids) {
				continue
			}
			beside := lostRequest{parts: draw(false), ran: time.Second}
			if !slices.Contains(ids, dead) {
				h.complete(ids...)
				continue
			}
			crashes++
			h.crash(lostRequest{parts: ids, ran: 100 * time.Millisecond}, beside)
		}
		if crashes > convictAmbiguousAfter+3 {
			t.Fatalf("%d crashes", crashes)
		}
		h.complete(1, 2, 3, 4, 5, 6)
		if verdict := combinationIDs(EvaluateParts(h.suspects(), nil)); len(verdict) > 1 || len(verdict) == 1 && !slices.Equal(verdict[0], []uint64{dead}) {
			t.Fatalf("quarantined %x", verdict)
		}
	})
}
