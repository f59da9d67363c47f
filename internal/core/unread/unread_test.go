package unread

import (
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// Guards against answers that an endpoint aborted because nobody read them and that count as
// its failure, and against failures of endpoints that are put down to the caller.
func TestOnlyAnswersThatWereNotReadCountAsHeldUp(t *testing.T) {
	type step struct{ wrote, read time.Duration }
	for name, c := range map[string]struct {
		steps []step
		want  time.Duration
	}{
		"read all the time":                        {[]step{{2 * ms, 7 * ms}, {2 * ms, 7 * ms}}, 0},
		"endpoint silent for long":                 {[]step{{2 * ms, 5 * s}}, 0},
		"held up for less than 1 s":                {[]step{{999 * ms, 0}}, 0},
		"held up in many short writes":             {[]step{{900 * ms, ms}, {900 * ms, ms}}, 0},
		"held up for 1 s":                          {[]step{{s, 0}}, s},
		"held up twice":                            {[]step{{3 * s, 0}, {2 * s, 1900 * ms}, {s, 1900 * ms}}, 3 * s},
		"endpoint went on sending":                 {[]step{{3 * s, 0}, {ms, 1300 * ms}, {ms, 700 * ms}}, 0},
		"failed long after it was read again":      {[]step{{3 * s, 0}, {0, 4 * s}}, 0},
		"several writes between two reads add up":  {[]step{{600 * ms, -1}, {600 * ms, 0}}, 1200 * ms},
		"held up, and the failing read takes long": {[]step{{3 * s, 1999 * ms}}, 3 * s},
	} {
		var a Answer
		for _, step := range c.steps {
			a.Wrote(step.wrote)
			if step.read >= 0 {
				a.Read(step.read)
			}
		}
		if got := a.HeldFor(); got != c.want {
			t.Errorf("%s: held up for %v, want %v", name, got, c.want)
		}
	}
}
