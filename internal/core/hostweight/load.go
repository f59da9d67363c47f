package hostweight

import (
	"math"
	"time"
)

const (
	// LoadStep is the step of announced loads, in percent.
	LoadStep = 25
	fullLoad = 100
	// announceInterval is the shortest time between two announcements.
	announceInterval = 2 * time.Second
	// announceDifference is the difference from the announced load, in percent, from
	// which the nearest step is announced. It is above half a step, so that a load
	// between two steps isn't announced again and again.
	announceDifference = 20
	// readingWeight is the weight of a new reading in the mean. Each announcement
	// reaches all daemons and makes them recompute what depends on the members. With
	// 0.4, hosts whose readings vary by 50 announce 7 changes a minute, with 0.2 they
	// announce 2.
	readingWeight = 0.2
)

// Load is the share of a host's processors in use, as announced to other daemons, or the
// full load while its memory is short. Its
// zero value is a host without load. It is not safe for concurrent use.
type Load struct {
	// Percent is the mean of the last seconds, Announced the last announcement.
	Percent   float64
	Announced uint32
	// full: the host accepts no new requests, whatever its processors do.
	full        bool
	announcedAt time.Time
	readAt      time.Time
	used        time.Duration
}

// Observe takes a reading of the processor time that the process has used since its
// start. It returns true if Announced has changed.
func (l *Load) Observe(now time.Time, used time.Duration, processorMilli uint32) bool {
	elapsed := now.Sub(l.readAt)
	first := l.readAt.IsZero()
	before := l.used
	if first || elapsed <= 0 {
		l.readAt, l.used = now, used
		return false
	}
	l.readAt, l.used = now, used
	granted := elapsed.Seconds() * float64(processorMilli) / 1000
	if granted <= 0 || used < before {
		return false
	}
	percent := min(fullLoad, 100*(used-before).Seconds()/granted)
	l.Percent += readingWeight * (percent - l.Percent)
	return l.announce(now)
}

// SetFull states whether the host accepts no new requests because of its memory. While it
// accepts none, the announced load is that of a full host. It returns true if Announced has
// changed.
func (l *Load) SetFull(now time.Time, full bool) bool {
	l.full = full
	// A load that falls is announced with the next reading of the processor time.
	return full && l.announce(now)
}

func (l *Load) announce(now time.Time) bool {
	percent := l.Percent
	if l.full {
		percent = fullLoad
	}
	if math.Abs(percent-float64(l.Announced)) < announceDifference || now.Sub(l.announcedAt) < announceInterval {
		return false
	}
	l.Announced, l.announcedAt = uint32(math.Round(percent/LoadStep))*LoadStep, now
	return true
}
