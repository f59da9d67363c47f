package continuity

import (
	"strconv"
	"strings"
)

// Sequence follows the ids of the events of a stream that a caller has. Ids are a prefix,
// which may be empty, and a decimal number that grows by the same step with each event. The
// zero value is a stream without events. It is not safe for concurrent use.
type Sequence struct {
	lastID string
	prefix string
	number uint64
	// step is zero until two ids are known.
	step uint64
	// events counts the ids in the sequence; broken is set if one was not a successor, so
	// that the position in the stream is unknown from then on.
	events int
	broken bool
	// anyStep is set if the step is not known and need not be 1.
	anyStep bool
}

// After returns the sequence of a caller that has all events up to the one with an id. Any
// greater id follows it: by what steps the ids of its stream grow isn't known, and that no
// event is left out is up to the endpoint, which read the caller's id.
func After(id string) Sequence {
	s := Sequence{anyStep: true}
	if id != "" {
		s.Add(id)
	}
	if s.broken {
		// The id is none that can be continued from; the endpoint decides about it.
		return Sequence{}
	}
	return s
}

// LastID returns the id of the last event, and whether a stream can be continued after it.
func (s *Sequence) LastID() (id string, known bool) { return s.lastID, s.events > 0 && !s.broken }

// IsNext reports whether an event with the id follows the last one. While nothing is known,
// any event does.
func (s *Sequence) IsNext(id string) bool {
	if s.events == 0 {
		return true
	}
	prefix, number, ok := splitID(id)
	switch {
	case s.broken, !ok, prefix != s.prefix, number <= s.number:
		return false
	case s.step > 0:
		return number-s.number == s.step
	}
	// With a single known id a greater step can't be distinguished from a missing event.
	return s.anyStep || number-s.number == 1
}

// Add adds the id of an event that was delivered completely.
func (s *Sequence) Add(id string) {
	prefix, number, ok := splitID(id)
	switch {
	case s.broken:
		return
	case !ok, s.events > 0 && (prefix != s.prefix || number <= s.number),
		s.step > 0 && number-s.number != s.step:
		s.broken = true
		return
	case s.events > 0:
		s.step = number - s.number
	}
	s.events++
	s.lastID, s.prefix, s.number = id, prefix, number
}

// splitID splits an id into its prefix and its number.
func splitID(id string) (prefix string, number uint64, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	number, err := strconv.ParseUint(id[len(prefix):], 10, 64)
	return prefix, number, err == nil
}

// Interruption is a stream that broke off after its first event and that no copy continues.
type Interruption struct {
	// Resumable is set if the route allows a new run to continue a stream.
	Resumable bool
	// Attempts is the number of endpoints that may have run the request, MaxAttempts the
	// bound on it. Refusals is the number of those that have not, MaxRefusals the bound.
	Attempts, MaxAttempts int
	Refusals, MaxRefusals int
	// HasPlace is set if the id of the last event that was delivered is known.
	HasPlace bool
	// Ending is the reason why the request must not be sent any more, empty for none: its
	// caller has gone, its time is over, the daemon stops, or it is quarantined.
	Ending string
	// Withdraw takes a retry from the budget of the pool. It is called last.
	Withdraw func() bool
}

// The reasons why a stream is not continued; ContinueElsewhere means that it is.
const (
	ContinueElsewhere = ""
	StopNotResumable  = "its route is not resumable"
	StopMaxAttempts   = "max_attempts are used"
	StopMaxRefusals   = "too many endpoints have refused it"
	StopNoPlace       = "the ids of its events don't determine its position"
	StopNoBudget      = "the retry budget is spent"
)

// AllowsResumption reports whether streams of a route are continued by new runs.
func AllowsResumption(resumable bool, maxAttempts int) bool { return resumable && maxAttempts > 1 }

// Decide returns ContinueElsewhere, or the reason why the stream ends.
func (i *Interruption) Decide() string {
	switch {
	case !AllowsResumption(i.Resumable, i.MaxAttempts):
		return StopNotResumable
	case i.Ending != "":
		return i.Ending
	case !i.HasPlace:
		return StopNoPlace
	case i.Attempts >= i.MaxAttempts:
		return StopMaxAttempts
	case i.Refusals >= i.MaxRefusals:
		return StopMaxRefusals
	case !i.Withdraw():
		return StopNoBudget
	}
	return ContinueElsewhere
}
