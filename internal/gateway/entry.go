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
	for _, m := range g.View.Members() {
		if m.ID == g.options().ID || m.CallerAddress == "" || m.State != port.MemberLive {
			continue
		}
		if m.FailureDomain == failureDomain {
			near = append(near, m.CallerAddress)
			continue
		}
		far = append(far, m.CallerAddress)
	}
	if g.Ready() {
		near = append(near, g.options().CallerAddress)
	}
	shuffle(near)
	shuffle(far)
	addresses = slices.Concat(near, far)
	return addresses[:min(len(addresses), MaxEntryAddresses)], g.options().EntryValidity
}

// Ready reports whether this daemon accepts new callers.
func (g *Gateway) Ready() bool { return g.Synced() && !g.Leaving() }

func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
