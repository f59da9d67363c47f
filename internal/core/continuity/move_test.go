package continuity

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// pass is one copy as a driver saw it.
type pass struct {
	result   Result
	from, to int
	want     Step
}

func TestMove(t *testing.T) {
	cases := []struct {
		name   string
		ends   int
		passes []pass
	}{
		{"an idle link: one copy of all, one of what is new", 1500, []pass{
			{Copied, 0, 200, StepCopy}, {Copied, 200, 205, StepStop},
		}},
		// Five runs are copied over one link. A run that stopped behind the
		// first copies of the others would pause for as long as those take.
		{"others wait on the link: the run goes on until it is quiet", 2000, []pass{
			{Copied, 0, 400, StepCopy}, {Copied, 400, 900, StepCopy}, {Copied, 900, 930, StepStop},
		}},
		{"a small run is copied at once, and once more", 1500, []pass{
			{Copied, 0, 20, StepCopy}, {Copied, 20, 22, StepStop},
		}},
		{"the runner is about to end: a pause is better than a loss", 1000, []pass{
			{Copied, 0, 800, StepStop},
		}},
		{"a destination without room: the next one, from the beginning", 1500, []pass{
			{Full, 0, 1, StepElsewhere}, {Copied, 1, 10, StepCopy}, {Copied, 10, 12, StepStop},
		}},
		{"three destinations without room", 1500, []pass{
			{Full, 0, 1, StepElsewhere}, {Full, 1, 2, StepElsewhere}, {Full, 2, 3, StepLeave},
		}},
		{"the run has ended", 1500, []pass{{Ended, 0, 1, StepLeave}}},
		{"a lost answer, then one that comes", 1500, []pass{
			{Failed, 0, 500, StepCopy}, {Copied, 500, 520, StepCopy}, {Copied, 520, 522, StepStop},
		}},
		{"no answer at all", 1500, []pass{{Failed, 0, 500, StepCopy}, {Failed, 500, 1000, StepLeave}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMove(at(c.ends))
			for i, p := range c.passes {
				if got := m.Next(p.result, at(p.from), at(p.to)); got != p.want {
					t.Fatalf("step %d after pass %d, want %d", got, i, p.want)
				}
			}
		})
	}
}

// Whatever comes of the copies, a move ends, and a run is stopped only when a
// copy of it lies somewhere.
func TestMoveEndsAndStopsOnlyWithACopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMove(at(rapid.IntRange(0, 3000).Draw(t, "ends")))
		now, copied := 0, false
		for range maxDestinations*maxPasses + maxFailures {
			r := rapid.SampledFrom([]Result{Copied, Full, Ended, Failed}).Draw(t, "result")
			took := rapid.IntRange(1, 600).Draw(t, "took")
			step := m.Next(r, at(now), at(now+took))
			now += took
			copied = r == Copied || copied && r == Failed
			switch step {
			case StepStop:
				if !copied {
					t.Fatal("stopped without a copy")
				}
				return
			case StepLeave:
				return
			}
		}
		t.Fatal("a move without end")
	})
}
