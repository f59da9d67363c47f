package routing

import (
	"slices"
	"time"
)

// Bounds of the prefix hints.
const (
	maxPrefixHolders = 4
	maxPrefixEntries = 8192
	prefixMaxAge     = 2 * time.Minute
	// maxSharedHolders replaces maxPrefixHolders where the load of holders is bounded.
	maxSharedHolders = 16
	// sharedRunsFactor and sharedRunsSlack bound the requests with one prefix that run at a
	// holder, relative to the mean over its holders.
	sharedRunsFactor = 1.25
	sharedRunsSlack  = 1
)

// holder is a runner that got a prompt with a given prefix.
type holder struct {
	runner *runner
	at     time.Time
	// runs counts the requests with the prefix that run there. It is kept only where the
	// load of holders is bounded.
	runs int
}

// holders are the runners that most recently got a prompt with a given
// prefix.
type holders struct {
	known []*holder
	next  int
	at    time.Time
}

// prefixHints records the runners that this router sent each prefix to. They
// are only hints: the engine may have evicted the blocks, which costs only
// time.
type prefixHints struct {
	byHash map[uint64]*holders
	// order lists the hashes by insertion; the oldest is evicted first.
	order []uint64
	// marks is the mark that the runners which count as holders of the last request's
	// prefix have.
	marks uint64
}

// record records a dispatch. Only the depths 1, 2, 4, ... and the full depth
// are kept, so a prompt of any size needs few entries. If the load of holders is bounded,
// it returns the holders that the run counts at, for release.
func (p *prefixHints) record(now time.Time, hashes []uint64, r *runner, bounded bool) []*holder {
	var counted []*holder
	for depth := 1; depth <= len(hashes); depth = nextDepth(depth, len(hashes)) {
		h := p.add(now, hashes[depth-1], r, bounded)
		if bounded {
			h.runs++
			counted = append(counted, h)
		}
	}
	return counted
}

// releaseHolders reverses what record counted.
func releaseHolders(counted []*holder) {
	for _, h := range counted {
		h.runs--
	}
}

func nextDepth(depth, full int) int {
	if depth < full && 2*depth > full {
		return full
	}
	return 2 * depth
}

func (p *prefixHints) add(now time.Time, hash uint64, r *runner, bounded bool) *holder {
	if p.byHash == nil {
		p.byHash = make(map[uint64]*holders)
	}
	h := p.byHash[hash]
	if h == nil {
		if len(p.order) >= maxPrefixEntries {
			delete(p.byHash, p.order[0])
			p.order = p.order[1:]
		}
		h = &holders{}
		p.byHash[hash] = h
		p.order = append(p.order, hash)
	}
	h.at = now
	for _, known := range h.known {
		if known.runner == r {
			known.at = now
			return known
		}
	}
	added := &holder{runner: r, at: now}
	if bounded {
		h.addShared(now, added)
	} else {
		h.addRecent(added)
	}
	return added
}

// addRecent adds a holder in place of the one that was added first.
func (h *holders) addRecent(added *holder) {
	if len(h.known) > maxPrefixHolders {
		h.known, h.next = h.known[:maxPrefixHolders], 0
	}
	if len(h.known) < maxPrefixHolders {
		h.known = append(h.known, added)
		return
	}
	h.known[h.next] = added
	h.next = (h.next + 1) % maxPrefixHolders
}

// addShared adds a holder and drops those that are gone or were not used recently. If
// there are too many, it drops the one that was not used for the longest time.
func (h *holders) addShared(now time.Time, added *holder) {
	h.known = slices.DeleteFunc(h.known, func(k *holder) bool { return !k.holds(now) })
	if len(h.known) >= maxSharedHolders {
		oldest := 0
		for i, k := range h.known {
			if k.at.Before(h.known[oldest].at) {
				oldest = i
			}
		}
		h.known = slices.Delete(h.known, oldest, oldest+1)
	}
	h.known = append(h.known, added)
}

// holds reports whether the runner may still hold the prefix and accepts new work.
func (k *holder) holds(now time.Time) bool {
	return !k.runner.dropped && k.runner.listed && k.runner.index != notLive && now.Sub(k.at) <= prefixMaxAge
}

// find returns the holders of the deepest known prefix, and its depth in
// blocks.
func (p *prefixHints) find(now time.Time, hashes []uint64) (*holders, int) {
	var found *holders
	depth := 0
	for d := 1; d <= len(hashes); d = nextDepth(d, len(hashes)) {
		h := p.byHash[hashes[d-1]]
		if h == nil || now.Sub(h.at) > prefixMaxAge {
			break
		}
		found, depth = h, d
	}
	return found, depth
}

// markHolders marks the runners that count as holders for a request, and returns the mark.
func (s *shard) markHolders(now time.Time, h *holders, model string) uint64 {
	s.prefixes.marks++
	mark := s.prefixes.marks
	if !s.boundsHolders() {
		for _, k := range h.known {
			k.runner.prefixMark = mark
		}
		return mark
	}
	runs, count := 0, 0
	for _, k := range h.known {
		if k.holds(now) {
			runs += k.runs
			count++
		}
	}
	limit := sharedRunsFactor*float64(runs)/float64(max(1, count)) + sharedRunsSlack
	meanBacklog := -1.0
	for _, k := range h.known {
		if !k.holds(now) {
			continue
		}
		if float64(k.runs) > limit {
			if meanBacklog < 0 {
				meanBacklog = meanPrefillBacklog(s.byModel[model])
			}
			if k.runner.prefillBacklog() > meanBacklog {
				continue
			}
		}
		k.runner.prefixMark = mark
	}
	return mark
}

// boundsHolders reports whether the load of a prefix's holders is bounded.
func (s *shard) boundsHolders() bool { return s.uneven && s.scheduler.options.HotPrefixes }

// prefillBacklog returns the prompt tokens that wait for prefill at the runner, in those
// that a runner of the pool's median speed prefills in the same time.
func (r *runner) prefillBacklog() float64 { return (r.ownPrefill + r.othersPrefill) * r.usual }

func meanPrefillBacklog(runners []*runner) float64 {
	sum := 0.0
	for _, r := range runners {
		sum += r.prefillBacklog()
	}
	return sum / float64(max(1, len(runners)))
}
