package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// A verdict on parts of prompts ends when a request with them completes, which needs one to
// be sent: the verdict may be wrong, or the weights that it was about replaced. So at long
// intervals one request is sent, by one daemon for all.

// trials holds when this daemon last sent a request in spite of a verdict on its parts.
type trials struct {
	mu   sync.Mutex
	last map[quarantine.Fingerprint]time.Time
}

// take reports whether a trial is due, and records it.
func (t *trials) take(now time.Time, hold *quarantine.Hold) bool {
	interval := hold.TrialInterval()
	if now.Sub(hold.LastCrash) < interval {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, at := range t.last {
		if now.Sub(at) > quarantine.SuspectRetention {
			delete(t.last, f)
		}
	}
	lead := hold.Parts[0].Fingerprint
	if at, tried := t.last[lead]; tried && now.Sub(at) < interval {
		return false
	}
	if t.last == nil {
		t.last = make(map[quarantine.Fingerprint]time.Time)
	}
	t.last[lead] = now
	return true
}

// ownsTrials reports whether this is the daemon that makes the trials of a part. Daemons
// whose views differ may both do so for a while.
func (g *Gateway) ownsTrials(part quarantine.Fingerprint) bool {
	weight := func(member string) uint64 { return xxhash.Sum64String(member + string(part[:])) }
	own := weight(g.options().ID)
	for _, m := range g.View.Members() {
		if m.State == port.MemberLive && m.CallerAddress != "" && weight(m.ID) > own {
			return false
		}
	}
	return true
}

// beginTrial reports whether the request is sent in spite of the verdict on its parts.
func (x *exchange) beginTrial(hold *quarantine.Hold) bool {
	if len(hold.Parts) == 0 || x.reachedEndpoint {
		return false
	}
	if !x.isTrial {
		x.isTrial = x.g.ownsTrials(hold.Parts[0].Fingerprint) && x.g.trials.take(x.g.Clock(), hold)
		if x.isTrial {
			x.record(verdictTrial, "sent to find out whether endpoints still crash when they run a prompt with "+partList(hold.Parts), "", nil)
		}
	}
	return x.isTrial
}
