// Package unread decides whether an endpoint that broke off an answer may have done so
// because the answer was not read.
package unread

import "time"

const (
	// heldUpFrom is the time without a read from which on an endpoint may abort an answer.
	// Endpoints do so after some seconds; a part of that passes before the buffers between
	// them and the relay are full.
	heldUpFrom = time.Second
	// waitedFor is the time of waiting for the endpoint after which an answer that was held
	// up counts as read again. What the endpoint's host still holds after an abort is read
	// first, and 2.5 MB take 2 s on a link of 10 Mbit/s.
	waitedFor = 2 * time.Second
)

// Answer is what is known of the reads of one answer. Its zero value is an answer that was
// not held up.
type Answer struct {
	// blocked is the time of the writes to the caller since the last read.
	blocked time.Duration
	// heldFor is the longest time without a read since the answer was last read without
	// being held up.
	heldFor time.Duration
	waited  time.Duration
}

// Wrote states that a write to the caller has taken some time.
func (a *Answer) Wrote(took time.Duration) { a.blocked += took }

// Read states that a read from the endpoint has taken some time, whether or not it failed.
func (a *Answer) Read(took time.Duration) {
	if a.blocked >= heldUpFrom {
		a.heldFor, a.waited = max(a.heldFor, a.blocked), 0
	}
	a.blocked = 0
	if a.waited += took; a.waited >= waitedFor {
		a.heldFor = 0
	}
}

// HeldFor returns for how long the answer was not read because its caller didn't read, zero
// if the end of the answer has nothing to do with that.
func (a *Answer) HeldFor() time.Duration { return a.heldFor }
