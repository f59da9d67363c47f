package hostweight

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// turnPeriod is the time in which each host that is left out at times has its turn.
	// A turn costs the callers of the host a new connection, so turns are rare.
	turnPeriod = 2 * time.Minute
	// changeRate bounds the hosts that enter or leave the selection in a second, as a
	// share of the selection. With a burst of the same size, at most a quarter changes
	// within any second.
	changeRate = 1.0 / 8
	// recomputeInterval is the time for which a selection is used while only loads
	// change. A computation for 90 hosts takes 0.1 ms, and there is one selection for
	// each failure domain.
	recomputeInterval = 500 * time.Millisecond
	// minGroup is the number of hosts of each group that are selected at least, so that
	// callers have a second address when a host ends.
	minGroup = 2
)

// Selection is the set of hosts in one daemon's answers to the callers of one failure
// domain. It changes at once when hosts come or go, and slowly when their loads change.
// It is not safe for concurrent use.
type Selection struct {
	limit int
	start func(id string) float64

	hosts      []Host
	computedAt time.Time
	// starts holds the positions of the current hosts at the beginning of a turn,
	// selected those of them that are selected.
	starts   map[string]float64
	selected map[string]bool
	// allowance is the number of changes that may be made now.
	allowance float64
	result    Result
}

// Result is the result of Update.
type Result struct {
	// Uneven is false if all near hosts have the same capacity and all others have, so
	// that the answer doesn't depend on it. All hosts are selected then.
	Uneven bool
	// Selected says for each host whether it is in the answer.
	Selected []bool
	// Entered and Left are the ids of hosts that entered or left the selection in this
	// update, not counting those that came or went themselves. Waiting is the number
	// of further changes, which would exceed the bound.
	Entered, Left []string
	Waiting       int
}

// NewSelection returns a selection for answers of at most limit addresses. start returns
// a random number in [0, 1) for each host, always the same for one host. Different
// daemons must use different numbers, so that their answers leave out different hosts.
func NewSelection(limit int, start func(id string) float64) *Selection {
	return &Selection{limit: limit, start: start, starts: map[string]float64{}, selected: map[string]bool{}}
}

// Update returns the selection among the hosts, which accept new callers now.
func (s *Selection) Update(now time.Time, hosts []Host) Result {
	same := slices.EqualFunc(hosts, s.hosts, func(a, b Host) bool {
		return a.ID == b.ID && a.Near == b.Near && a.Capacity == b.Capacity
	})
	if elapsed := now.Sub(s.computedAt); same && elapsed >= 0 && elapsed < recomputeInterval {
		s.result.Entered, s.result.Left = nil, nil
		return s.result
	}
	s.hosts = slices.Clone(hosts)
	s.refill(now)
	t := s.computeTargets(now)
	s.result = Result{Uneven: t.uneven}
	s.adoptHosts(t)
	s.applyChanges(t)
	s.fill(t, s.selected)
	s.result.Selected = make([]bool, len(s.hosts))
	for i := range s.hosts {
		s.result.Selected[i] = s.selected[s.hosts[i].ID]
	}
	return s.result
}

// refill adds the changes that may be made since the last update.
func (s *Selection) refill(now time.Time) {
	rate := changeRate * float64(len(s.selected))
	elapsed := max(0, now.Sub(s.computedAt).Seconds())
	s.allowance = min(max(1, rate), s.allowance+rate*elapsed)
	s.computedAt = now
}

// targets is the selection that the loads ask for.
type targets struct {
	uneven   bool
	selected map[string]bool
	// positions are the positions of the hosts in their turns, from 0 to 1, divided by
	// the probability of the host. Hosts below 1 are to be selected.
	positions []float64
}

func (s *Selection) computeTargets(now time.Time) targets {
	size := sizes(s.hosts)
	free := freeSizes(s.hosts, size)
	t := targets{selected: make(map[string]bool, len(s.hosts)), positions: make([]float64, len(s.hosts))}
	near, far := s.newGroup(true, size, free), s.newGroup(false, size, free)
	t.uneven = near.uneven || far.uneven
	if !t.uneven {
		for i := range s.hosts {
			t.selected[s.hosts[i].ID] = true
		}
		return t
	}
	nearScale, farScale := scales(&near, &far, s.limit)
	turn := math.Mod(float64(now.UnixNano())/float64(turnPeriod), 1)
	place := func(g *group, scale float64) {
		for n, i := range g.members {
			_, position := math.Modf(s.startOf(s.hosts[i].ID) + turn)
			t.positions[i] = position / max(g.shares[n]*scale, math.SmallestNonzeroFloat32)
			if t.positions[i] < 1 {
				t.selected[s.hosts[i].ID] = true
			}
		}
	}
	place(&near, nearScale)
	place(&far, farScale)
	s.fill(t, t.selected)
	s.cut(t)
	return t
}

// group is the near hosts or the others.
type group struct {
	// members are indexes of hosts.
	members []int
	uneven  bool
	// shares are the probabilities by free capacity, usual the sum of those by
	// capacity alone, which doesn't change with the loads.
	shares []float64
	usual  float64
}

func (s *Selection) newGroup(near bool, size, free []float64) group {
	var g group
	var groupSizes, groupFree []float64
	for i := range s.hosts {
		if s.hosts[i].Near == near {
			g.members = append(g.members, i)
			groupSizes, groupFree = append(groupSizes, size[i]), append(groupFree, free[i])
		}
	}
	usual := shares(groupSizes)
	g.uneven = !areEqual(groupSizes)
	g.shares = usual
	if g.uneven {
		g.shares = shares(groupFree)
	}
	for _, p := range usual {
		g.usual += p
	}
	return g
}

// scales returns the factors of the probabilities of both groups that keep the answer
// within the limit, and the near hosts' part of it at least as large as if none were
// left out.
func scales(near, far *group, limit int) (nearScale, farScale float64) {
	nearCount, farCount := len(near.members), len(far.members)
	nearScale = 1
	if near.usual > float64(limit) {
		nearScale = float64(limit) / near.usual
	}
	if farCount == 0 {
		return nearScale, 1
	}
	wanted := float64(min(farCount, max(0, limit-nearCount)))
	if nearCount > 0 {
		wanted *= near.usual / float64(nearCount)
	}
	return nearScale, min(1, wanted/far.usual)
}

func (s *Selection) startOf(id string) float64 {
	if start, known := s.starts[id]; known {
		return start
	}
	return s.start(id)
}

// fill selects further hosts of a group with fewer than minGroup.
func (s *Selection) fill(t targets, selected map[string]bool) {
	if !t.uneven {
		return
	}
	for _, near := range []bool{true, false} {
		var others []int
		missing := minGroup
		for i := range s.hosts {
			switch {
			case s.hosts[i].Near != near:
			case selected[s.hosts[i].ID]:
				missing--
			default:
				others = append(others, i)
			}
		}
		if missing <= 0 {
			continue
		}
		s.sortByPosition(t, others)
		for _, i := range others[:min(missing, len(others))] {
			selected[s.hosts[i].ID] = true
		}
	}
}

// sortByPosition sorts indexes of hosts, those that are selected first at the front.
func (s *Selection) sortByPosition(t targets, indexes []int) {
	slices.SortFunc(indexes, func(a, b int) int {
		return cmp.Or(cmp.Compare(t.positions[a], t.positions[b]), cmp.Compare(s.hosts[a].ID, s.hosts[b].ID))
	})
}

// cut removes targets beyond the limit, near hosts last.
func (s *Selection) cut(t targets) {
	excess := len(t.selected) - s.limit
	for _, near := range []bool{false, true} {
		if excess <= 0 {
			return
		}
		var members []int
		for i := range s.hosts {
			if s.hosts[i].Near == near && t.selected[s.hosts[i].ID] {
				members = append(members, i)
			}
		}
		s.sortByPosition(t, members)
		for _, i := range members[max(0, len(members)-excess):] {
			delete(t.selected, s.hosts[i].ID)
			excess--
		}
	}
}

// adoptHosts forgets the hosts that have gone and takes new ones over as they should be.
func (s *Selection) adoptHosts(t targets) {
	starts, selected := make(map[string]float64, len(s.hosts)), make(map[string]bool, len(s.hosts))
	for i := range s.hosts {
		id := s.hosts[i].ID
		_, known := s.starts[id]
		starts[id] = s.startOf(id)
		if known && s.selected[id] || !known && t.selected[id] {
			selected[id] = true
		}
	}
	s.starts, s.selected = starts, selected
}

// applyChanges changes the selection towards the target as far as the allowance goes,
// the most overdue changes first. If the hosts are equal, all are applied.
func (s *Selection) applyChanges(t targets) {
	var due []int
	for i := range s.hosts {
		if id := s.hosts[i].ID; s.selected[id] != t.selected[id] {
			due = append(due, i)
		}
	}
	distance := func(i int) float64 { return math.Abs(math.Log(max(t.positions[i], 1e-9))) }
	slices.SortFunc(due, func(a, b int) int {
		return cmp.Or(cmp.Compare(distance(b), distance(a)), cmp.Compare(s.hosts[a].ID, s.hosts[b].ID))
	})
	changes := len(due)
	if t.uneven {
		changes = min(changes, int(s.allowance))
		s.allowance -= float64(changes)
	}
	s.result.Waiting = len(due) - changes
	for _, i := range due[:changes] {
		id := s.hosts[i].ID
		if t.selected[id] {
			s.selected[id] = true
			s.result.Entered = append(s.result.Entered, id)
			continue
		}
		delete(s.selected, id)
		s.result.Left = append(s.result.Left, id)
	}
}
