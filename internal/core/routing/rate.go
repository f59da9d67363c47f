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
}

func (r *rate) add(now time.Time, amount float64) {
	if r.window == 0 {
		r.window = rateWindow
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
