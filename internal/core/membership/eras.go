package membership

import "sync"

// EraVerdict classifies a response of the store by its era.
type EraVerdict int

// The verdicts.
const (
	// EraInForce: the response has the current era.
	EraInForce EraVerdict = iota
	// EraConfirmed: the response confirms a new era; the store was restored from a
	// backup.
	EraConfirmed
	// EraAnnounced: the response is the first with this later era. The era takes
	// effect only when the next response has it too, since revisions of a wrong,
	// too large era would take precedence over all later data of the store.
	EraAnnounced
	// EraRegressed: the response has an earlier era than the current one.
	EraRegressed
)

// Eras tracks the era of the platform's store, a number that increases when the
// store is restored from a backup. It learns of eras from the store's responses
// and from other daemons. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	current uint64
	// announced is the unconfirmed later era of the last response, zero for none.
	announced uint64
	// fell is set if the last response had an earlier era.
	fell bool
}

// Current returns the latest confirmed era.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Observe classifies the era of one response of the store. changed is false for
// EraInForce, and for EraRegressed directly after another EraRegressed.
func (e *Eras) Observe(era uint64) (verdict EraVerdict, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	announced, fell := e.announced, e.fell
	e.announced, e.fell = 0, false
	switch {
	case era == e.current:
		return EraInForce, false
	case era < e.current:
		e.fell = true
		return EraRegressed, !fell
	case era == announced:
		e.current = era
		return EraConfirmed, true
	default:
		e.announced = era
		return EraAnnounced, true
	}
}

// Adopt adopts an era received from another daemon if it is later than the
// current one, and reports whether it is.
func (e *Eras) Adopt(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current {
		return false
	}
	e.current = era
	return true
}
