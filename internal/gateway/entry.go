package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxEntryAddresses bounds the addresses in one answer of Entry.
const MaxEntryAddresses = 64

// Entry lists the addresses of the daemons that a caller in the failure domain
// should use, and how long the answer may be cached. Callers choose among them
// at random. Addresses in the caller's own domain come first, so they are kept
// if there are more than MaxEntryAddresses.
func (g *Gateway) Entry(failureDomain string) (addresses []string, valid time.Duration) {
	var near, far []string
	for _, d := range preferWithPaths(g.entryDaemons()) {
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
	address, failureDomain string
	isSelf                 bool
	lostPools              []string
}

func (d *entryDaemon) near(failureDomain string) bool {
	return d.isSelf || d.failureDomain == failureDomain
}

// entryDaemons returns the daemons that accept new callers.
func (g *Gateway) entryDaemons() []entryDaemon {
	var out []entryDaemon
	for _, m := range g.View.Members() {
		if m.ID == g.options().ID || m.CallerAddress == "" || m.State != port.MemberLive {
			continue
		}
		out = append(out, entryDaemon{address: m.CallerAddress, failureDomain: m.FailureDomain, lostPools: m.LostPools})
	}
	if g.Ready() {
		out = append(out, entryDaemon{address: g.options().CallerAddress, isSelf: true, lostPools: g.paths.LostPools()})
	}
	return out
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
