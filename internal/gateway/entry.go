package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/hostweight"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxEntryAddresses bounds the addresses in one answer of Entry.
const MaxEntryAddresses = 64

// Entry lists the addresses of the daemons that a caller in the failure domain
// should use, and how long the answer may be cached. Callers choose among them
// at random. Addresses in the caller's own domain come first, so they are kept
// if there are more than MaxEntryAddresses. If the hosts differ in capacity, the
// smaller ones are left out in turn.
func (g *Gateway) Entry(failureDomain string) (addresses []string, valid time.Duration) {
	var near, far []string
	for _, d := range g.entrySelections.choose(g, failureDomain, preferWithPaths(g.entryDaemons())) {
		if d.near(failureDomain) {
			near = append(near, d.address)
			continue
		}
		far = append(far, d.address)
	}
	shuffle(near)
	shuffle(far)
	addresses = slices.Concat(near, far)
	return addresses[:min(len(addresses), MaxEntryAddresses)], g.options().EntryValidity
}

// entryDaemon is a daemon that accepts new callers.
type entryDaemon struct {
	id, address, failureDomain string
	isSelf                     bool
	lostPools                  []string
	capacity                   port.HostCapacity
	loadPercent                uint32
}

func (d *entryDaemon) near(failureDomain string) bool {
	return d.isSelf || d.failureDomain == failureDomain
}

// entryDaemons returns the daemons that accept new callers.
func (g *Gateway) entryDaemons() []entryDaemon {
	o := g.options()
	self := entryDaemon{id: o.ID, address: o.CallerAddress, isSelf: true, capacity: o.Capacity}
	var out []entryDaemon
	for _, m := range g.View.Members() {
		if m.ID == o.ID {
			// The capacity that the other daemons know.
			self.capacity, self.loadPercent = m.Capacity, m.LoadPercent
			continue
		}
		if m.CallerAddress == "" || m.State != port.MemberLive {
			continue
		}
		out = append(out, entryDaemon{
			id: m.ID, address: m.CallerAddress, failureDomain: m.FailureDomain, lostPools: m.LostPools,
			capacity: m.Capacity, loadPercent: m.LoadPercent,
		})
	}
	if g.Ready() {
		self.lostPools = g.paths.LostPools()
		out = append(out, self)
	}
	return out
}

// entrySelections holds the selection of daemons for callers of each failure domain.
type entrySelections struct {
	mu       sync.Mutex
	byDomain map[string]*entrySelection
}

// entrySelection is the selection for one failure domain, and the changes since the last
// log line on it.
type entrySelection struct {
	*hostweight.Selection
	loggedAt      time.Time
	entered, left []string
}

const (
	// selectionLogInterval bounds the log lines on each selection.
	selectionLogInterval = 5 * time.Second
	// maxLoggedHosts bounds the ids of hosts in such a line, for each direction.
	maxLoggedHosts = 8
)

// choose returns the daemons that callers of a failure domain are led to.
func (s *entrySelections) choose(g *Gateway, failureDomain string, daemons []entryDaemon) []entryDaemon {
	isNear := func(d entryDaemon) bool { return !d.isSelf && d.failureDomain == failureDomain }
	if !slices.ContainsFunc(daemons, isNear) {
		// Callers may name any domain, so those without other hosts share a selection.
		failureDomain = ""
	}
	hosts := make([]hostweight.Host, len(daemons))
	for i := range daemons {
		d := &daemons[i]
		hosts[i] = hostweight.Host{ID: d.id, Near: d.near(failureDomain), Capacity: d.capacity, LoadPercent: d.loadPercent}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	selection := s.byDomain[failureDomain]
	if selection == nil {
		selection = &entrySelection{
			Selection: hostweight.NewSelection(MaxEntryAddresses, g.turnStart), loggedAt: g.Clock(),
		}
		if s.byDomain == nil {
			s.byDomain = make(map[string]*entrySelection)
		}
		s.byDomain[failureDomain] = selection
	}
	result := selection.Update(g.Clock(), hosts)
	var chosen []entryDaemon
	for i := range daemons {
		if result.Selected[i] {
			chosen = append(chosen, daemons[i])
		}
	}
	g.metrics.entryLeftOut.Update(int64(len(daemons) - len(chosen)))
	g.logSelection(selection, failureDomain, &result, len(chosen), len(daemons))
	return chosen
}

// turnStart returns a host's position in its turn, in [0, 1), which differs between the
// daemons that answer.
func (g *Gateway) turnStart(id string) float64 {
	const fractionBits = 53
	return float64(xxhash.Sum64String(g.options().ID+"/"+id)>>(64-fractionBits)) / (1 << fractionBits)
}

func (g *Gateway) logSelection(s *entrySelection, failureDomain string, r *hostweight.Result, chosen, all int) {
	g.metrics.entryChanges.Inc(int64(len(r.Entered) + len(r.Left)))
	s.entered = append(s.entered, r.Entered...)
	s.left = append(s.left, r.Left...)
	now := g.Clock()
	if len(s.entered)+len(s.left) == 0 || now.Sub(s.loggedAt) < selectionLogInterval {
		return
	}
	g.recordDecision(&port.DecisionRecord{
		Subject: subjectDirectory, SubjectID: failureDomain, Verdict: verdictSelect,
		Reason: fmt.Sprintf("%d of %d hosts by free capacity; entered %s; left %s; %d changes wait; since %v",
			chosen, all, formatIDs(s.entered), formatIDs(s.left), r.Waiting, now.Sub(s.loggedAt).Round(time.Millisecond)),
	})
	s.loggedAt, s.entered, s.left = now, nil, nil
}

// formatIDs formats the first ids and the number of the others.
func formatIDs(ids []string) string {
	text := strings.Join(ids[:min(len(ids), maxLoggedHosts)], ",")
	if more := len(ids) - maxLoggedHosts; more > 0 {
		text += fmt.Sprintf(" and %d others", more)
	}
	return cmp.Or(text, "none")
}

// minWithPaths is the share of the daemons that must have paths for callers to be led
// to these alone. With fewer, the callers of all would crowd at them and stay there for
// a while after the paths are back.
const minWithPaths = 0.5

// preferWithPaths leaves out the daemons that have lost their paths to a pool which
// another daemon reaches.
func preferWithPaths(daemons []entryDaemon) []entryDaemon {
	lost := make(map[string]int)
	for i := range daemons {
		for _, pool := range daemons[i].lostPools {
			lost[pool]++
		}
	}
	if len(lost) == 0 {
		return daemons
	}
	hasLost := func(d entryDaemon) bool {
		return slices.ContainsFunc(d.lostPools, func(pool string) bool { return lost[pool] < len(daemons) })
	}
	withPaths := slices.DeleteFunc(slices.Clone(daemons), hasLost)
	if float64(len(withPaths)) < minWithPaths*float64(len(daemons)) {
		return daemons
	}
	return withPaths
}

// Ready reports whether this daemon accepts new callers.
func (g *Gateway) Ready() bool { return g.Synced() && !g.Leaving() }

func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
