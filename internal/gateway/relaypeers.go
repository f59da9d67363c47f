package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// avoidPeerFor is how long a peer that did not accept a request is asked last.
const avoidPeerFor = time.Second

// relays tracks the requests that this daemon passes on.
type relays struct {
	mu sync.Mutex
	// open counts the requests under way by the id of the peer.
	open       map[string]int
	avoidUntil map[string]time.Time
}

func (r *relays) begin(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open, r.avoidUntil = make(map[string]int), make(map[string]time.Time)
	}
	r.open[peer]++
}

func (r *relays) end(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[peer]--; r.open[peer] <= 0 {
		delete(r.open, peer)
	}
}

// avoid has a peer asked last for avoidPeerFor.
func (r *relays) avoid(now time.Time, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.avoidUntil {
		if now.After(until) {
			delete(r.avoidUntil, id)
		}
	}
	r.avoidUntil[peer] = now.Add(avoidPeerFor)
}

// choose returns up to n of the peers in the order in which they should be asked: those
// that are not avoided first, and of two drawn the one with fewer requests under way.
func (r *relays) choose(now time.Time, peers []port.Member, n int) []port.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var preferred, avoided []port.Member
	for _, peer := range peers {
		if now.Before(r.avoidUntil[peer.ID]) {
			avoided = append(avoided, peer)
			continue
		}
		preferred = append(preferred, peer)
	}
	if len(preferred) > 1 && r.open[preferred[1].ID] < r.open[preferred[0].ID] {
		preferred[0], preferred[1] = preferred[1], preferred[0]
	}
	peers = append(preferred, avoided...)
	return peers[:min(n, len(peers))]
}

// peersWithPath returns the other daemons that may have a path to a pool.
func (g *Gateway) peersWithPath(pool string) []port.Member {
	var out []port.Member
	for _, m := range g.View.Members() {
		if m.ID != g.options().ID && m.State == port.MemberLive && m.PeerAddress != "" && m.CallerAddress != "" &&
			!slices.Contains(m.LostPools, pool) {
			out = append(out, m)
		}
	}
	return out
}
