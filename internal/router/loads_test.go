package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fakePreferences is a scheduler that prefers the endpoints of its list.
type fakePreferences struct {
	port.Scheduler
	ids []string
}

func (p fakePreferences) Preferred() []string { return p.ids }

func newTestPoller(runners int, preferred ...string) *loadPoller {
	r := &Router{o: Options{ID: "router-1", LoadMaxAge: time.Second, LoadSubset: 64, LoadPollsPerSecond: 3}}
	r.Scheduler = fakePreferences{ids: preferred}
	t := &eligibleEndpoints{}
	for i := range runners {
		t.runners = append(t.runners, port.Endpoint{ID: fmt.Sprint("runner-", i), Kind: port.KindRunner})
	}
	r.eligible.Store(t)
	return newLoadPoller(r)
}

// No frame delivers a report for a minute. Polling every stale endpoint in every
// round would exceed the control budget several times over. The poll rate must stay
// bounded, and the endpoints with the oldest reports must be polled first, so that
// each is polled in turn.
func TestPollsRespectRateLimitAndRotate(t *testing.T) {
	const runners, seconds = 40, 60
	ids := make([]string, runners)
	for i := range ids {
		ids[i] = fmt.Sprint("runner-", i)
	}
	l := newTestPoller(runners, ids...)
	now := time.Unix(1000, 0)
	polls := map[string]int{}
	total := 0
	for range 4 * seconds {
		for _, e := range l.due(now) {
			polls[e.ID]++
			total++
			l.lastReport[e.ID] = now
		}
		now = now.Add(250 * time.Millisecond)
	}
	if limit := 3*seconds + loadPollBurst; total > limit {
		t.Fatalf("%d polls in %d s, want at most %d", total, seconds, limit)
	}
	for _, id := range ids {
		if polls[id] < 2 {
			t.Errorf("%s was polled %d times in a minute", id, polls[id])
		}
	}
}

func TestPollsGoToPreferredRunners(t *testing.T) {
	l := newTestPoller(100, "runner-7", "runner-93")
	got := l.due(time.Unix(1000, 0))
	if len(got) != 2 || got[0].ID != "runner-7" || got[1].ID != "runner-93" {
		t.Fatalf("due endpoints are %v, want the two preferred ones", got)
	}
}

func TestSubsetsOverlapEvenly(t *testing.T) {
	const routers, endpoints, size = 60, 100, 20
	all := make([]port.Endpoint, endpoints)
	for i := range all {
		all[i].ID = fmt.Sprint("e", i)
	}
	chosen := map[string]int{}
	for r := range routers {
		got := subset(fmt.Sprint("router-", r), all, size)
		if len(got) != size {
			t.Fatalf("the subset has %d endpoints", len(got))
		}
		for _, e := range got {
			chosen[e.ID]++
		}
	}
	for _, e := range all {
		// On average each endpoint is in 12 subsets. The hash is fixed, so the result
		// is the same in every run.
		if n := chosen[e.ID]; n < 3 || n > 24 {
			t.Errorf("%s is in %d subsets of %d", e.ID, n, routers)
		}
	}
}

func BenchmarkDue(b *testing.B) {
	for _, runners := range []int{15, 100, 500, 1900} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			l := newTestPoller(runners, "runner-1", "runner-2", "runner-3", "runner-4")
			now := time.Unix(1000, 0)
			for range b.N {
				now = now.Add(250 * time.Millisecond)
				l.due(now)
			}
		})
	}
}
