package keeper

import (
	"sync"
	"time"
)

// fallbackFactor times FallbackAfter is how long a keeper watches once it has
// found the relayed answers too old. Without a minimum, the first loop that is
// answered would make the age young again and send all others off duty before
// they have read anything.
const fallbackFactor = 4

// duty is whether this keeper calls the platform by itself, and whether that
// works.
type duty struct {
	fallbackAfter time.Duration
	started       time.Time

	mu sync.Mutex
	// since is when the present turn began; zero while off duty.
	since     time.Time
	until     time.Time
	answered  time.Time
	isBlinded bool
}

// ownAnswer notes that the platform answered this keeper.
func (k *Keeper) ownAnswer(at time.Time) {
	k.platformAnswered(at)
	k.duty.mu.Lock()
	defer k.duty.mu.Unlock()
	if at.After(k.duty.answered) {
		k.duty.answered = at
	}
}

// onDuty reports whether this keeper should watch. While the chosen watchers
// are heard to have fresh answers, the others hear all through the relay. A
// watcher that can't reach the platform says that it is blind, and the next
// in line takes its place. An age that grows although nobody is blind may mean
// that this side is cut off from the watchers: it is met by watching too.
func (k *Keeper) onDuty(now time.Time) bool {
	return k.duty.turn(now, k.standing().watcher, k.PlatformAge(now))
}

// onHostDuty is onDuty for the list of hosts, which fewer keepers read.
func (k *Keeper) onHostDuty(now time.Time) bool {
	if k.standing().hostPoller {
		return true
	}
	return k.duty.inFallback(now)
}

// turn decides, and remembers since when this keeper is on duty.
func (d *duty) turn(now time.Time, chosen bool, age time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if age < 0 {
		// Never heard of any answer: a keeper that has just started waits
		// for the relay as long as for an old answer.
		age = now.Sub(d.started)
	}
	if age > d.fallbackAfter {
		d.until = now.Add(fallbackFactor * d.fallbackAfter)
	}
	on := chosen || d.isBlinded || now.Before(d.until)
	switch {
	case !on:
		d.since = time.Time{}
	case d.since.IsZero():
		d.since = now
	}
	return on
}

// inFallback reports whether the keeper watches without being chosen.
func (d *duty) inFallback(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isBlinded || now.Before(d.until)
}

// blind reports whether the platform is out of this keeper's reach: it is on
// duty, and has not been answered for too long.
func (d *duty) blind(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.answered
	if d.since.After(last) {
		last = d.since
	}
	d.isBlinded = !d.since.IsZero() && now.Sub(last) > d.fallbackAfter
	return d.isBlinded
}
