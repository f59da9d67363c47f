package membership

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Heartbeat is one heartbeat of a member.
type Heartbeat struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	// HighestVersion is the highest record version that the member has in force,
	// RecordsDigest the digest of its records.
	HighestVersion uint64
	RecordsDigest  uint64
}

// LastHeartbeat is the last heartbeat that a keeper received from a member directly.
type LastHeartbeat struct {
	Heartbeat
	// At is when the heartbeat arrived.
	At time.Time
	// InForceSince is when a heartbeat first reported HighestVersion.
	InForceSince time.Time
	// StreamClosed is set when the member's stream has ended.
	StreamClosed bool
}

// Heartbeats holds the last heartbeats of the members connected to this keeper. It
// isn't replicated: only the member states derived from it are.
type Heartbeats struct {
	mu    sync.Mutex
	heard map[string]LastHeartbeat
}

// NewHeartbeats returns an empty Heartbeats.
func NewHeartbeats() *Heartbeats { return &Heartbeats{heard: map[string]LastHeartbeat{}} }

// Record records a heartbeat. One with an older incarnation, or with a smaller
// sequence of the same incarnation, is late and ignored.
func (h *Heartbeats) Record(now time.Time, b Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.heard[b.ID]
	if known && (b.Incarnation < old.Incarnation || b.Incarnation == old.Incarnation && b.Sequence < old.Sequence) {
		return
	}
	next := LastHeartbeat{Heartbeat: b, At: now, InForceSince: now}
	if known && old.Incarnation == b.Incarnation && old.HighestVersion == b.HighestVersion {
		next.InForceSince = old.InForceSince
	}
	h.heard[b.ID] = next
}

// StreamClosed records that the stream of an incarnation has ended. It is ignored if a
// heartbeat with a larger sequence than the stream's last has arrived.
func (h *Heartbeats) StreamClosed(id string, incarnation, sequence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.heard[id]
	if known && old.Incarnation == incarnation && old.Sequence <= sequence {
		old.StreamClosed = true
		h.heard[id] = old
	}
}

// Forget removes a member that is connected to another keeper now, or whose
// state has been decided.
func (h *Heartbeats) Forget(id string) {
	h.mu.Lock()
	delete(h.heard, id)
	h.mu.Unlock()
}

// Get returns the last heartbeat of a member.
func (h *Heartbeats) Get(id string) (LastHeartbeat, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.heard[id]
	return v, ok
}

// All returns the last heartbeats of all members, sorted by id.
func (h *Heartbeats) All() []LastHeartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]LastHeartbeat, 0, len(h.heard))
	for _, v := range h.heard {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b LastHeartbeat) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Overdue returns the members whose last heartbeat is at least limit old, or at
// least grace old with a closed stream. Their state has to be determined.
func (h *Heartbeats) Overdue(now time.Time, limit, grace time.Duration) []LastHeartbeat {
	var out []LastHeartbeat
	for _, v := range h.All() {
		age := now.Sub(v.At)
		if age >= limit || v.StreamClosed && age >= grace {
			out = append(out, v)
		}
	}
	return out
}
