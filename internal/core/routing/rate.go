package routing

import (
	"math"
	"time"
)

// rateWindow is the default window of a rate.
const rateWindow = 10 * time.Second

// rate is an exponentially decaying rate in amount per second.
type rate struct {
	value  float64
	at     time.Time
	window time.Duration
	// start is the time of the first amount.
	start time.Time
}

// settledWindows is the number of windows after which the time before the start no longer
// shows in a rate.
const settledWindows = 10

// minRateSpan is the shortest time over which readSinceStart takes a rate.
const minRateSpan = time.Second

// readSinceStart returns the rate over the time since the first amount if that is shorter
// than the window. read counts the time before as idle, which makes the rate far too low
// at first.
func (r *rate) readSinceStart(now time.Time) float64 {
	v := r.read(now)
	if v == 0 {
		return 0
	}
	span := max(minRateSpan, now.Sub(r.start)).Seconds()
	return v / (1 - math.Exp(-span/r.window.Seconds()))
}

func (r *rate) add(now time.Time, amount float64) {
	if r.window == 0 {
		r.window = rateWindow
	}
	if r.start.IsZero() {
		r.start = now
	}
	r.value = r.read(now) + amount/r.window.Seconds()
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/r.window.Seconds())
}
