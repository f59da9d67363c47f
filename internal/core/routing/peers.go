package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// peerMaxAge is the age past which a peer's word on its runs says nothing: a
// peer repeats it every second, so it is gone or cut off by then.
const peerMaxAge = 5 * time.Second

// peerLoad is what one peer has running at a runner.
type peerLoad struct {
	daemon  string
	tokens  float64
	unread  float64
	runs    float64
	heardAt time.Time
}

// OwnLoads implements port.PeerScheduler.
func (s *Scheduler) OwnLoads() []port.RunnerLoad {
	var out []port.RunnerLoad
	for _, sh := range s.allShards() {
		out = sh.ownLoads(out)
	}
	return out
}

func (s *shard) ownLoads(out []port.RunnerLoad) []port.RunnerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		if r.ownCount == 0 {
			continue
		}
		out = append(out, port.RunnerLoad{
			EndpointID: r.endpoint.ID, Runs: r.ownCount,
			Tokens: int(max(0, r.ownContext)), Unread: int(max(0, r.ownPrefill)),
		})
	}
	return out
}

// SetPeerLoad implements port.PeerScheduler.
func (s *Scheduler) SetPeerLoad(now time.Time, l *port.DaemonLoad) {
	byEndpoint := make(map[string]*port.RunnerLoad, len(l.Runners))
	for i := range l.Runners {
		byEndpoint[l.Runners[i].EndpointID] = &l.Runners[i]
	}
	for _, sh := range s.allShards() {
		sh.setPeerLoad(now, l.Daemon, byEndpoint)
	}
}

func (s *shard) setPeerLoad(now time.Time, daemon string, loads map[string]*port.RunnerLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	for _, r := range s.runners {
		r.setPeer(now, daemon, loads[r.endpoint.ID])
	}
	s.release(now)
}

// setPeer replaces what a peer has at the runner; nil is nothing. What peers
// say goes before what a late report leaves over for others.
func (r *runner) setPeer(now time.Time, daemon string, l *port.RunnerLoad) {
	kept := r.peers[:0]
	for _, p := range r.peers {
		if p.daemon != daemon && now.Sub(p.heardAt) < peerMaxAge {
			kept = append(kept, p)
		}
	}
	if l != nil {
		kept = append(kept, peerLoad{
			daemon: daemon, tokens: float64(l.Tokens), unread: float64(l.Unread), runs: float64(l.Runs), heardAt: now,
		})
	}
	r.peers = kept
	r.elseContext, r.elsePrefill, r.elseCount = 0, 0, 0
	for _, p := range r.peers {
		r.elseContext += p.tokens
		r.elsePrefill += p.unread
		r.elseCount += p.runs
	}
	r.peered = now
	r.reportNanos = now.UnixNano()
}

// hearsPeers reports whether what others have at the runner is heard from them.
func (r *runner) hearsPeers(now time.Time) bool {
	return !r.peered.IsZero() && now.Sub(r.peered) < peerMaxAge
}
