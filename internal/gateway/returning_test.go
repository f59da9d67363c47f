package gateway

import (
	"testing"
)

// Guards against events that a returning caller has already, and against a caller that is
// refused because its id is none of this system: the endpoint decides about that.
func TestReturningCallerGetsTheRest(t *testing.T) {
	for _, c := range []struct{ path, id, answer, want string }{
		{"/resume/", "3", events(4, 6), events(4, 6)},
		{"/resume/", "foreign", events(1, 2), events(1, 2)},
		{"/two/", "3", events(1, 2), events(1, 2)},
	} {
		b := newHarness(t)
		b.setHandlers("e", wholeStream(c.answer))
		got := &fakeCaller{}
		if refusal := b.sendAfter(t, c.id, c.path, got); refusal != nil || got.text() != c.want {
			t.Errorf("%s after %s: %v, %q", c.path, c.id, refusal, got.text())
		}
		if got := b.backends.sent[0].Header.Get("Last-Event-Id"); got != c.id {
			t.Errorf("%s after %s: the endpoint got %q", c.path, c.id, got)
		}
	}
	b := newHarness(t)
	b.setHandlers("e", wholeStream(events(1, 6)))
	got := &fakeCaller{}
	if refusal := b.sendAfter(t, "3", "/resume/", got); refusal == nil || refusal.ResponseStarted || got.text() != "" {
		t.Errorf("%v after %q: the events before the caller's last one were passed on", refusal, got.text())
	}
	b = newHarness(t)
	b.setHandlers("e", sequence(cutStream(events(4, 5)), wholeStream(events(6, 8))))
	got = &fakeCaller{}
	if refusal := b.sendAfter(t, "3", "/resume/", got); refusal != nil || got.text() != events(4, 8) {
		t.Errorf("%v after %q", refusal, got.text())
	}
	checkSent(t, b, "5")
}

// Guards against an answer to a returning caller that is cut, and run a second time, because
// of a block after its first event whose id is none or doesn't grow by the same step.
func TestOnlyFirstEventIsCheckedForReturningCaller(t *testing.T) {
	for name, answer := range map[string]string{
		"an end without an id":        events(4, 6) + "data: [DONE]\n\n",
		"a comment at the beginning":  ": ping\n\n" + events(4, 6),
		"a comment in between":        event(4) + ": ping\n\n" + events(5, 6),
		"ids that grow unevenly":      event(8) + event(12) + event(14),
		"an id that isn't a number":   event(4) + "id: end\ndata: x\n\n",
		"a beginning without an id":   "data: x\n\n" + events(4, 6),
		"no id at all, with comments": ": ping\n\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.setHandlers("e", wholeStream(answer))
			got := &fakeCaller{}
			if refusal := b.sendAfter(t, "3", "/resume/", got); refusal != nil || got.text() != answer {
				t.Errorf("%v after %q", refusal, got.text())
			}
			checkSent(t, b)
		})
	}
}

// Guards against an event before the caller's place that passes because blocks without an id
// come before it.
func TestFirstEventWithIDIsCheckedForReturningCaller(t *testing.T) {
	for _, before := range []string{": ping\n\n", "data: x\n\n"} {
		b := newHarness(t)
		b.setHandlers("e", sequence(wholeStream(before+events(1, 6)), reply(500, "x")))
		got := &fakeCaller{}
		checkIncomplete(t, b.sendAfter(t, "3", "/resume/", got), got, before)
	}
}
