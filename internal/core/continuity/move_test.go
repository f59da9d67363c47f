package continuity

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// pass is one copy, with its start and end in milliseconds and the expected step.
type pass struct {
	result   Result
	from, to int
	want     Step
}

func TestMove(t *testing.T) {
	cases := []struct {
		name     string
		deadline int
		passes   []pass
	}{
		{"idle link: one copy of everything, one of the new tokens", 1500, []pass{
			{Copied, 0, 200, StepCopy}, {Copied, 200, 205, StepStop},
		}},
		// Five runs are copied over one link. A run that is stopped behind the first
		// copies of the others would pause until these are done.
		{"busy link: the run continues until the link is idle", 2000, []pass{
			{Copied, 0, 400, StepCopy}, {Copied, 400, 900, StepCopy}, {Copied, 900, 930, StepStop},
		}},
		{"small run: one fast copy, then one of the new tokens", 1500, []pass{
			{Copied, 0, 20, StepCopy}, {Copied, 20, 22, StepStop},
		}},
		{"runner about to shut down: the run is stopped after one slow copy", 1000, []pass{
			{Copied, 0, 800, StepStop},
		}},
		{"destination without room: the next one gets a full copy", 1500, []pass{
			{Full, 0, 1, StepNextDestination}, {Copied, 1, 10, StepCopy}, {Copied, 10, 12, StepStop},
		}},
		{"three destinations without room", 1500, []pass{
			{Full, 0, 1, StepNextDestination}, {Full, 1, 2, StepNextDestination}, {Full, 2, 3, StepStay},
		}},
		{"the run has ended", 1500, []pass{{Ended, 0, 1, StepStay}}},
		{"one lost answer, then copies succeed", 1500, []pass{
			{Failed, 0, 500, StepCopy}, {Copied, 500, 520, StepCopy}, {Copied, 520, 522, StepStop},
		}},
		{"no answers", 1500, []pass{{Failed, 0, 500, StepCopy}, {Failed, 500, 1000, StepStay}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMove(at(c.deadline))
			for i, p := range c.passes {
				if got := m.Next(p.result, at(p.from), at(p.to)); got != p.want {
					t.Fatalf("step %d after pass %d, want step %d", got, i, p.want)
				}
			}
		})
	}
}

// For any results of the copies, a move terminates, and a run is stopped only when a
// destination has a copy of it.
func TestMoveTerminatesAndStopsOnlyAfterCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMove(at(rapid.IntRange(0, 3000).Draw(t, "deadline")))
		now, copied := 0, false
		for range maxDestinations*maxPasses + maxFailures {
			r := rapid.SampledFrom([]Result{Copied, Full, Ended, Failed}).Draw(t, "result")
			took := rapid.IntRange(1, 600).Draw(t, "copy time")
			step := m.Next(r, at(now), at(now+took))
			now += took
			copied = r == Copied || copied && r == Failed
			switch step {
			case StepStop:
				if !copied {
					t.Fatal("the run was stopped without a copy")
				}
				return
			case StepStay:
				return
			}
		}
		t.Fatal("the move did not end")
	})
}
