package membership

import (
	"cmp"
	"slices"

	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxFullMesh is the largest number of keepers that are connected as a full mesh.
const maxFullMesh = 4

// LiveKeepers returns the keepers that can be connected to, sorted by id.
func LiveKeepers(t *spread.Table[Member]) []Member {
	var out []Member
	for m := range t.All() {
		if m.Role == port.RoleKeeper && m.Reachable() && !m.Left {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ring is the live keepers, sorted by the hashes of their ids.
type Ring struct{ members []Member }

// NewRing returns the ring of the keepers.
func NewRing(keepers []Member) Ring {
	members := slices.Clone(keepers)
	slices.SortFunc(members, func(a, b Member) int { return compareOnRing(a.ID, b.ID) })
	return Ring{members: members}
}

func compareOnRing(a, b string) int {
	return cmp.Or(cmp.Compare(spread.HashKey(a), spread.HashKey(b)), cmp.Compare(a, b))
}

// Neighbours returns the keepers that the keeper with this id connects to: for n
// keepers, the next one on the ring and the one sqrt(n) positions further. Each
// keeper then has about four links whatever n is, a change needs at most about
// 2*sqrt(n) hops, and the loss of one keeper disconnects no other.
func (r Ring) Neighbours(id string) []Member {
	at, found := r.find(id)
	if !found || len(r.members) < 2 {
		return nil
	}
	var out []Member
	for _, step := range ringSteps(len(r.members)) {
		out = append(out, r.members[(at+step)%len(r.members)])
	}
	return out
}

// Connects reports whether keeper "from" connects to keeper "to" as a neighbour. If
// "from" isn't on the ring yet, it is treated as if it were.
func (r Ring) Connects(from, to string) bool {
	at, found := r.find(from)
	n := len(r.members)
	if !found {
		// find returned the position of its successor, which moves one further
		// when the keeper is inserted.
		at--
		n++
	}
	for _, step := range ringSteps(n) {
		if r.members[(at+step+len(r.members))%len(r.members)].ID == to {
			return true
		}
	}
	return false
}

func (r Ring) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.members, id, func(m Member, id string) int { return compareOnRing(m.ID, id) })
}

// Index returns a keeper's index on the ring, or the index at which it would be
// inserted.
func (r Ring) Index(id string) int {
	at, _ := r.find(id)
	return at
}

// Len returns the number of keepers on the ring.
func (r Ring) Len() int { return len(r.members) }

// ringSteps returns the distances on a ring of n keepers from a keeper to the
// neighbours that it connects to.
func ringSteps(n int) []int {
	if n <= maxFullMesh {
		// Each keeper connects to the next half of the ring only. If each
		// connected to all others, each pair would have two links.
		steps := make([]int, 0, n/2)
		for s := 1; s <= n/2; s++ {
			steps = append(steps, s)
		}
		return steps
	}
	root := 2
	for root*root < n {
		root++
	}
	return []int{1, root}
}

// blindPerWatcherInOutage is the number of blind keepers per requested watcher
// from which on the platform is considered down for all keepers. Blind watchers
// are then no longer replaced by other keepers.
const blindPerWatcherInOutage = 3

// Watchers returns the ids of the count keepers that watch the platform. They are
// spread over the failure domains as evenly as possible. Daemons with the same
// list of keepers get the same result. The number of watchers doesn't grow with
// the number of keepers. Keepers that can't reach the platform are excluded while
// there are others.
func Watchers(keepers []Member, count int) []string {
	candidates := slices.DeleteFunc(slices.Clone(keepers), func(m Member) bool { return m.PlatformUnreachable })
	if len(candidates) == 0 || len(keepers)-len(candidates) >= blindPerWatcherInOutage*count {
		candidates = keepers
	}
	byDomain := map[string][]Member{}
	for _, k := range candidates {
		byDomain[k.FailureDomain] = append(byDomain[k.FailureDomain], k)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	// Sorted by hash, so that the choice doesn't favour names that are first in
	// the alphabet.
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(spread.HashKey(a), spread.HashKey(b)), cmp.Compare(a, b))
	})
	for _, d := range domains {
		slices.SortFunc(byDomain[d], func(a, b Member) int {
			return cmp.Or(cmp.Compare(spread.HashKey(a.ID), spread.HashKey(b.ID)), cmp.Compare(a.ID, b.ID))
		})
	}
	var out []string
	for rank := 0; len(out) < count && len(out) < len(candidates); rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) && len(out) < count {
				out = append(out, byDomain[d][rank].ID)
			}
		}
	}
	return out
}

// Owners assigns subjects to keepers by rendezvous hashing: when a keeper is
// removed, only its subjects are reassigned.
type Owners struct{ ring *rendezvous.Rendezvous }

// NewOwners returns the assignment over the keepers. It hashes their ids once, so
// one value should be used for many subjects.
func NewOwners(keepers []Member) Owners {
	ids := make([]string, len(keepers))
	for i := range keepers {
		ids[i] = keepers[i].ID
	}
	return Owners{ring: rendezvous.New(ids, spread.HashKey)}
}

// Owner returns the id of the keeper that owns the subject, "" if there are no
// keepers.
func (o Owners) Owner(subject string) string { return o.ring.Lookup(subject) }
