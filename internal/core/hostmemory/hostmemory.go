// Package hostmemory decides whether a host accepts new requests, by the memory that its
// process uses and the limit at which the operating system kills it, and divides the memory
// in which answers are held whole.
package hostmemory

const (
	// stopPercent is the share of the limit from which on no new requests are accepted,
	// resumePercent the one below which they are accepted again. The gap keeps the state
	// from changing with each reading.
	stopPercent   = 80
	resumePercent = 70
	// growthReadings is the number of readings after which the memory of a request shows in
	// them. At 10 readings a second, 2,000 requests can arrive between two of them, and each
	// grows until its endpoint answers.
	growthReadings = 10
)

// Bound is the bound on the memory of a host. Memory is in bytes. It is not safe for
// concurrent use.
type Bound struct {
	limit   uint64
	inUse   uint64
	stopped bool
	// readings counts the readings. growing holds the memory reserved for settled requests
	// by the reading after which they were settled, unsettled that of all others.
	readings  uint64
	growing   [growthReadings]uint64
	unsettled uint64
	// unseen is what the system holds for the connections of open requests.
	unseen uint64
}

// Reservation is memory that a request is expected to need and that the readings may not
// show yet.
type Reservation struct {
	bytes, unseen uint64
	settled       bool
	// reading is the number of readings at which the reservation was settled.
	reading uint64
}

// New returns a bound without a reading. A limit of zero means that there is no bound.
func New(limit uint64) *Bound { return &Bound{limit: limit} }

// Accepts reports whether new requests are accepted.
func (b *Bound) Accepts() bool { return !b.stopped }

// Percent returns the share of the limit that the last reading shows to be in use, and zero
// without a limit.
func (b *Bound) Percent() float64 {
	if b.limit == 0 {
		return 0
	}
	return 100 * float64(b.inUse) / float64(b.limit)
}

// Observe takes a reading of the memory in use. Zero means that the reading failed, and
// changes nothing.
func (b *Bound) Observe(inUse uint64) {
	if inUse == 0 {
		return
	}
	b.inUse = inUse
	b.readings++
	b.growing[b.readings%growthReadings] = 0
	b.update(0)
}

// Reserve reserves memory for a new request, or refuses the request if the memory in use
// and the reserved memory would reach the bound. bytes is what the readings show some time
// later, unseen what they never show. Only Observe ends the refusal.
func (b *Bound) Reserve(bytes, unseen uint64) (r *Reservation, accepted bool) {
	if b.stopped {
		return nil, false
	}
	if b.update(bytes + unseen); b.stopped {
		return nil, false
	}
	b.unsettled += bytes
	b.unseen += unseen
	return &Reservation{bytes: bytes, unseen: unseen}, true
}

// Settle states that a request has received all that its caller sends. bytes is what the
// readings will show of it, no more than was reserved. Its reservation ends after
// growthReadings more readings, except for what they never show.
func (b *Bound) Settle(r *Reservation, bytes uint64) {
	if r.settled {
		return
	}
	b.unsettled -= r.bytes
	r.bytes = min(r.bytes, bytes)
	r.settled, r.reading = true, b.readings
	b.growing[b.readings%growthReadings] += r.bytes
}

// Release ends the reservation of a request that has ended. It must be called once.
func (b *Bound) Release(r *Reservation) {
	b.unseen -= r.unseen
	switch {
	case !r.settled:
		b.unsettled -= r.bytes
	case b.readings-r.reading < growthReadings:
		b.growing[r.reading%growthReadings] -= r.bytes
	}
}

// update applies the thresholds to the memory in use and the reserved memory, that of a new
// request included.
func (b *Bound) update(bytes uint64) {
	if b.limit == 0 {
		return
	}
	total := b.inUse + b.unsettled + b.unseen + bytes
	for _, reserved := range b.growing {
		total += reserved
	}
	switch {
	case total >= b.limit/100*stopPercent:
		b.stopped = true
	case total < b.limit/100*resumePercent:
		b.stopped = false
	}
}

const (
	// MaxAnswer bounds the bytes of an answer that are held, and MinAnswer is what every
	// answer may hold.
	MaxAnswer = 64 << 10
	MinAnswer = 4 << 10
	// answersDivisor is the part of the limit that all held answers may use together. With
	// stopPercent it leaves a thirteenth of the limit for what the runtime doesn't count.
	answersDivisor = 8
)

// AnswerBudget divides the memory in which answers are held whole before they are passed on.
// Requests are accepted before the size of their answers is known, so the bound on new
// requests doesn't bound it. It is not safe for concurrent use.
type AnswerBudget struct {
	// Total is the memory of all held answers.
	Total int64
	used  int64
}

// AnswersOf returns the memory for held answers of a host with a limit.
func AnswersOf(limit uint64) int64 { return int64(limit / answersDivisor) }

// Take returns how many bytes of an answer may be held, MinAnswer at least, and how many of
// them Return must give back. length is that of the answer, negative if it isn't known.
func (b *AnswerBudget) Take(length int64) (held int, taken int64) {
	want := int64(MaxAnswer)
	if length >= 0 {
		want = min(want, length)
	}
	switch {
	case want <= MinAnswer:
		return MinAnswer, 0
	case b.used+want > b.Total:
		return MinAnswer, 0
	}
	b.used += want
	return int(want), want
}

// Return gives back what Take has taken.
func (b *AnswerBudget) Return(taken int64) { b.used -= taken }
