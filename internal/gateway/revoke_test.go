package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// newFullHarness returns a harness whose runners are full and the refusal of a generation
// that is held for them.
func newFullHarness(t *testing.T, scarceRoom bool) (*harness, chan *Refusal) {
	t.Helper()
	b := newHarness(t)
	o := *b.options()
	o.ScarceRoom = scarceRoom
	b.SetOptions(o)
	for i := range 200 {
		now := b.Clock()
		r := port.GenerationRequest{
			RequestID: fmt.Sprint("full", i), Organisation: "p", Pool: "engines", Model: "m", PromptTokens: 1000, MaxTokens: 400,
			Attempt: 1, Arrived: now, Deadline: now.Add(time.Minute),
		}
		if d := b.scheduler().Submit(now, &r); d.Verdict != port.VerdictPlace {
			b.scheduler().Withdraw(now, r.RequestID)
			break
		}
	}
	refused := make(chan *Refusal, 1)
	go func() { refused <- b.sendWithID(t, "held", "/stream/x", &fakeCaller{}) }()
	eventually.True(t, "the request is held", func() bool {
		return slices.ContainsFunc(b.sink.All(), func(d port.DecisionRecord) bool { return d.SubjectID == "held" && d.Verdict == "hold" })
	})
	return b, refused
}

func (b *harness) scheduler() *routing.Scheduler { return b.Scheduler.(*routing.Scheduler) }

// isHeld reports whether the scheduler holds a request that isn't placed.
func (b *harness) isHeld(id string) bool {
	select {
	case <-b.scheduler().Ready(id):
		return false
	default:
		return true
	}
}

// changeOrganisations applies a table with other organisations.
func (b *harness) changeOrganisations(organisations ...route.Organisation) {
	table := testTable(2)
	table.Organisations = organisations
	b.view.mu.Lock()
	b.view.records = []port.Record{recordOf(table)}
	b.view.mu.Unlock()
	b.apply()
}

// Guards against requests that stay held, and keep their places in the queue, after their
// key was removed or their organisation deleted.
func TestHeldRequestsOfRemovedKeysAreRefusedAtOnce(t *testing.T) {
	for name, organisations := range map[string][]route.Organisation{
		"key removed":               {{Name: "o", KeySHA256: []string{"bb"}}},
		"organisation deleted":      {{Name: "p", KeySHA256: []string{"cc"}}},
		"key given to another":      {{Name: "o", KeySHA256: []string{"bb"}}, {Name: "p", KeySHA256: []string{"aa"}}},
		"organisation without keys": {{Name: "o"}},
	} {
		t.Run(name, func(t *testing.T) {
			b, refused := newFullHarness(t, true)
			b.changeOrganisations(organisations...)
			select {
			case refusal := <-refused:
				if refusal == nil || refusal.Cause != CauseNoKey || refusal.Outcome != "not_run" || refusal.RetryAfter != 0 {
					t.Errorf("%+v", refusal)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the request is still held")
			}
			if b.isHeld("held") {
				t.Error("the request keeps its place in the queue")
			}
			if n := len(b.waiting.ends); n != 0 {
				t.Errorf("%d requests are left among those that wait", n)
			}
			if !slices.ContainsFunc(b.sink.All(), func(d port.DecisionRecord) bool { return d.SubjectID == "held" && d.Reason == reasonKeyRemoved }) {
				t.Errorf("no decision has the reason %s", reasonKeyRemoved)
			}
		})
	}
}

// Guards against refusals of held requests whose keys stay valid, and of any where scarce
// room isn't set.
func TestHeldRequestsOfOtherKeysStayHeld(t *testing.T) {
	for _, scarceRoom := range []bool{false, true} {
		b, refused := newFullHarness(t, scarceRoom)
		o := route.Organisation{Name: "o", KeySHA256: []string{"bb", "AA"}}
		if !scarceRoom {
			o.KeySHA256 = o.KeySHA256[:1]
		}
		b.changeOrganisations(o)
		select {
		case refusal := <-refused:
			t.Errorf("scarce room %v: %+v", scarceRoom, refusal)
		case <-time.After(100 * time.Millisecond):
		}
		b.scheduler().Withdraw(b.Clock(), "held")
	}
}

// Guards against a request that waits on because its key was removed between its admission
// and the beginning of its wait.
func TestKeyRemovedBeforeTheWaitEndsIt(t *testing.T) {
	b := newHarness(t)
	o := *b.options()
	o.ScarceRoom = true
	b.SetOptions(o)
	pass, _ := b.Admit("h", "/stream/x", "aa")
	b.changeOrganisations(route.Organisation{Name: "p", KeySHA256: []string{"cc"}})
	x := b.newExchange(&Request{Admission: pass, KeySHA256: "aa"}, &fakeCaller{})
	ctx, stop := x.revocableContext(t.Context())
	defer stop()
	if ctx.Err() == nil {
		t.Error("the wait has begun")
	}
}

// Guards against a request that is placed at a free runner although its key was removed
// after its admission.
func TestRequestOfRemovedKeyIsNotPlaced(t *testing.T) {
	for _, scarceRoom := range []bool{false, true} {
		b := newHarness(t)
		o := *b.options()
		o.ScarceRoom = scarceRoom
		b.SetOptions(o)
		pass, _ := b.Admit("h", "/stream/x", "aa")
		b.changeOrganisations(route.Organisation{Name: "p", KeySHA256: []string{"cc"}})
		x := b.newExchange(&Request{
			ID: "late", Admission: pass, KeySHA256: "aa", Arrived: b.Clock(), Generation: &GenerationParams{Model: "m", PromptTokens: 100, MaxTokens: 10},
		}, &fakeCaller{})
		p, refusal := x.schedule(t.Context())
		if !scarceRoom {
			if p == nil {
				t.Errorf("without scarce room: %+v, want it placed", refusal)
			}
			continue
		}
		if refusal == nil || refusal.Cause != CauseNoKey {
			t.Errorf("placed at %+v, refusal %+v", p, refusal)
		}
		if n := b.scheduler().RunCount(); n != 0 {
			t.Errorf("the scheduler counts %d runs", n)
		}
	}
}
