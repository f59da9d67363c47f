package continuity

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against two runs that are joined with a gap or a repeated event, or at an event of
// another stream.
func TestOnlySuccessorContinuesSequence(t *testing.T) {
	for _, c := range []struct {
		delivered []string
		next      string
		want      bool
	}{
		{[]string{"1", "2", "3"}, "4", true},
		{[]string{"1", "2", "3"}, "3", false},
		{[]string{"1", "2", "3"}, "1", false},
		{[]string{"1", "2", "3"}, "5", false},
		{[]string{"1", "2", "3"}, "", false},
		{[]string{"1", "2", "3"}, "x", false},
		{[]string{"a-1", "a-2"}, "a-3", true},
		{[]string{"a-1", "a-2"}, "b-3", false},
		{[]string{"a-1", "a-2"}, "3", false},
		{[]string{"4", "8"}, "12", true},
		{[]string{"4", "8"}, "9", false},
		{[]string{"4", "8"}, "16", false},
		{[]string{"4"}, "5", true},
		{[]string{"4"}, "8", false},
		{[]string{"9", "10"}, "11", true},
		{[]string{"18446744073709551615"}, "0", false},
	} {
		var s Sequence
		for _, id := range c.delivered {
			s.Add(id)
		}
		if got := s.IsNext(c.next); got != c.want {
			t.Errorf("%q after %v: %v, want %v", c.next, c.delivered, got, c.want)
		}
	}
}

// Guards against a continuation at the wrong place after events without a usable id.
func TestPlaceIsUnknownAfterUnusableID(t *testing.T) {
	for _, ids := range [][]string{{}, {""}, {"x"}, {"1", ""}, {"1", "2", "4"}, {"2", "1"}, {"1", "1"}, {"1", "a2"}, {"1", "", "2"}} {
		var s Sequence
		for _, id := range ids {
			s.Add(id)
		}
		if id, known := s.LastID(); known {
			t.Errorf("after %q the place is taken to be %q", ids, id)
		}
	}
}

// Guards against a caller whose id is not one of a stream and that gets no answer for it.
func TestCallersUnusableIDIsLeftToEndpoint(t *testing.T) {
	s := After("x")
	if !s.IsNext("1") {
		t.Error("no event follows an id that names no place")
	}
	s = After("7")
	if s.IsNext("7") || s.IsNext("1") || s.IsNext("") || !s.IsNext("8") || !s.IsNext("11") {
		t.Error("exactly the events after the caller's id follow it")
	}
}

// Guards against a joined stream that repeats or lacks events, for any cuts and any events
// that endpoints continue with.
func TestJoinedStreamIsUnbroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sequence
		next := 1
		step := rapid.IntRange(1, 4).Draw(t, "step")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			id := fmt.Sprint(next * step)
			if next > 2 {
				id = fmt.Sprint((next - 1 + rapid.IntRange(0, 2).Draw(t, "offset")) * step)
			}
			if next > 2 && !s.IsNext(id) {
				if id == fmt.Sprint(next*step) {
					t.Fatalf("the successor %s is rejected", id)
				}
				continue
			}
			if id != fmt.Sprint(next*step) {
				t.Fatalf("%s is delivered in place of %d", id, next*step)
			}
			s.Add(id)
			next++
		}
		if last, known := s.LastID(); next > 1 && (!known || last != fmt.Sprint((next-1)*step)) {
			t.Fatalf("the place is %q after %d events", last, next-1)
		}
	})
}

// Guards against continuations that the route, the limits or the state of the request
// forbid, and against a retry that is taken from the budget for none.
func TestDecideContinuation(t *testing.T) {
	allowed := Interruption{Resumable: true, Attempts: 1, MaxAttempts: 2, MaxRefusals: 3, HasPlace: true}
	for name, c := range map[string]struct {
		change func(*Interruption)
		want   string
	}{
		"allowed":        {func(*Interruption) {}, ContinueElsewhere},
		"not resumable":  {func(i *Interruption) { i.Resumable = false }, StopNotResumable},
		"one attempt":    {func(i *Interruption) { i.Attempts, i.MaxAttempts = 0, 1 }, StopNotResumable},
		"attempts used":  {func(i *Interruption) { i.Attempts = 2 }, StopMaxAttempts},
		"refusals":       {func(i *Interruption) { i.Refusals = 3 }, StopMaxRefusals},
		"no place":       {func(i *Interruption) { i.HasPlace = false }, StopNoPlace},
		"the caller":     {func(i *Interruption) { i.Ending = "the caller has gone" }, "the caller has gone"},
		"budget is gone": {func(i *Interruption) { i.Withdraw = func() bool { return false } }, StopNoBudget},
	} {
		withdrawn := 0
		i := allowed
		i.Withdraw = func() bool { withdrawn++; return true }
		c.change(&i)
		if got := i.Decide(); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
		if c.want != ContinueElsewhere && withdrawn > 0 {
			t.Errorf("%s: a retry was taken from the budget", name)
		}
	}
}
