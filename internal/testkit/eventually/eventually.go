// Package eventually polls for conditions in tests. Its deadline is long, so that
// a loaded machine does not make a test fail.
package eventually

import "time"

const (
	deadline   = 60 * time.Second
	firstPause = 10 * time.Microsecond
	maxPause   = 2 * time.Millisecond
)

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// True polls until holds returns true, and fails the test if that does not happen
// before the deadline. The pauses start short and grow, because stateful tests
// wait thousands of times for conditions that are almost met.
func True(t testingT, condition string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for pause := firstPause; !holds(); pause = min(2*pause, maxPause) {
		if time.Now().After(end) {
			t.Fatalf("condition not met before the deadline: %s", condition)
		}
		time.Sleep(pause)
	}
}
