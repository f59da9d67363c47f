package crashwatch

import (
	"sync"
	"time"
)

// waiting holds the attempts whose endpoints have not begun to answer. A request that
// waits at an endpoint when it is quarantined crashes it as soon as it begins.
type waiting struct {
	mu       sync.Mutex
	attempts map[*Attempt]struct{}
	// revision is that of the quarantine at the last call of withdrawQuarantined.
	revision uint64
}

func (w *waiting) add(a *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempts == nil {
		w.attempts = make(map[*Attempt]struct{})
	}
	w.attempts[a] = struct{}{}
}

func (w *waiting) remove(a *Attempt) {
	if a.withdraw == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, a)
}

// withdrawQuarantined withdraws the attempts whose requests are quarantined, if that may
// have changed.
func (w *waiting) withdrawQuarantined(now time.Time, q Quarantine) {
	for _, a := range w.takeQuarantined(now, q) {
		a.withdraw()
	}
}

func (w *waiting) takeQuarantined(now time.Time, q Quarantine) []*Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := q.Revision()
	if revision == w.revision {
		return nil
	}
	w.revision = revision
	var out []*Attempt
	for a := range w.attempts {
		if _, quarantined := q.Quarantined(now, a.request); quarantined {
			delete(w.attempts, a)
			out = append(out, a)
		}
	}
	return out
}
