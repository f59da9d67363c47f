package routing

import "time"

// Bounds of the prefix hints.
const (
	maxPrefixHolders = 4
	maxPrefixEntries = 8192
	prefixMaxAge     = 2 * time.Minute
)

// holders are the runners that most recently got a prompt with a given
// prefix.
type holders struct {
	runners [maxPrefixHolders]*runner
	next    int
	at      time.Time
}

// prefixHints records the runners that this router sent each prefix to. They
// are only hints: the engine may have evicted the blocks, which costs only
// time.
type prefixHints struct {
	byHash map[uint64]*holders
	// order lists the hashes by insertion; the oldest is evicted first.
	order []uint64
}

// record records a dispatch. Only the depths 1, 2, 4, ... and the full depth
// are kept, so a prompt of any size needs few entries.
func (p *prefixHints) record(now time.Time, hashes []uint64, r *runner) {
	for depth := 1; depth <= len(hashes); depth = nextDepth(depth, len(hashes)) {
		p.add(now, hashes[depth-1], r)
	}
}

func nextDepth(depth, full int) int {
	if depth < full && 2*depth > full {
		return full
	}
	return 2 * depth
}

func (p *prefixHints) add(now time.Time, hash uint64, r *runner) {
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
	for _, known := range h.runners {
		if known == r {
			return
		}
	}
	h.runners[h.next] = r
	h.next = (h.next + 1) % maxPrefixHolders
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

func (h *holders) has(r *runner) bool {
	for _, known := range h.runners {
		if known == r {
			return true
		}
	}
	return false
}
