package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// A verdict on parts of prompts ends when a request with them completes, which needs one to
// be sent: the verdict may be wrong, or the weights that it was about replaced. So at
// growing intervals one request is sent, by one daemon for all.

// trials holds when this daemon sent requests in spite of a verdict on their parts.
type trials struct {
	mu    sync.Mutex
	parts map[quarantine.Fingerprint]partTrials
}

// partTrials are the trials of one part since it was last cleared.
type partTrials struct {
	last    time.Time
	count   int
	cleared uint32
}

// trialRetention is how long trials are remembered. It is longer than the longest time
// between two of them.
const trialRetention = time.Hour

// take reports whether a trial is due, and records it.
func (t *trials) take(now time.Time, hold *quarantine.Hold) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, tried := range t.parts {
		if now.Sub(tried.last) > trialRetention {
			delete(t.parts, f)
		}
	}
	lead := hold.Parts[0].Fingerprint
	tried, wasTried := t.parts[lead]
	if wasTried && tried.cleared != hold.Cleared {
		tried, wasTried = partTrials{}, false
	}
	interval := hold.TrialInterval(tried.count)
	if now.Sub(hold.LastCrash) < interval || wasTried && now.Sub(tried.last) < interval {
		return false
	}
	if t.parts == nil {
		t.parts = make(map[quarantine.Fingerprint]partTrials)
	}
	t.parts[lead] = partTrials{last: now, count: tried.count + 1, cleared: hold.Cleared}
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
