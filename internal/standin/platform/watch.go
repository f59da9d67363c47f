package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// watchKind responds as soon as objects of the kind have changed after the
// revision, or with an empty list when the wait time has passed.
func (p *Platform) watchKind(w http.ResponseWriter, r *http.Request) {
	p.counters.watches.Add(1)
	after, wait, ok := watchQuery(w, r)
	if !ok {
		return
	}
	p.counters.waitingWatches.Add(1)
	defer p.counters.waitingWatches.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		faultsChanged := p.faults.Changed()
		if p.faults.Get().Down {
			switches.Refuse(w, http.StatusServiceUnavailable, "down", "")
			return
		}
		objects, revision, changed := p.store.changedAfter(r.PathValue("kind"), after)
		if after > revision || revision-after > p.history {
			switches.Refuse(w, http.StatusGone, "revision_too_old", "list again")
			return
		}
		if len(objects) > 0 {
			switches.WriteJSON(w, http.StatusOK, listing{Objects: objects, Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-r.Context().Done():
			return
		case <-timer.C:
			switches.WriteJSON(w, http.StatusOK, listing{Objects: []port.Object{}, Revision: revision})
			return
		}
	}
}

func watchQuery(w http.ResponseWriter, r *http.Request) (after uint64, wait time.Duration, ok bool) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		switches.Refuse(w, http.StatusBadRequest, "bad_query", "after must be a revision")
		return 0, 0, false
	}
	wait, err = time.ParseDuration(q.Get("wait"))
	if err != nil || wait < 0 || wait > MaxWatchWait {
		switches.Refuse(w, http.StatusBadRequest, "bad_query", "wait must be a duration of at most "+MaxWatchWait.String())
		return 0, 0, false
	}
	return after, wait, true
}
