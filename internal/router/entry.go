package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxEntryAddresses bounds the number of addresses that EntryAddresses returns.
const MaxEntryAddresses = 8

// EntryAddresses returns the addresses of the routers that a caller should use, in order of
// preference, and how long they may be cached. Organisations start at different
// routers, and the order for one organisation stays stable while routers come and
// go.
func (r *Router) EntryAddresses(organisation string) (addresses []string, valid time.Duration) {
	remaining := r.entryCandidates()
	for len(remaining) > 0 && len(addresses) < MaxEntryAddresses {
		// The library returns only the top-ranked address, so the remaining ones are
		// ranked again.
		first := rendezvous.New(remaining, xxhash.Sum64String).Lookup(organisation)
		addresses = append(addresses, first)
		remaining = without(remaining, first)
	}
	return addresses, r.o.EntryValidity
}

// entryCandidates returns the addresses of the live routers. This router decides by
// its own state, not by the view, whether to include itself.
func (r *Router) entryCandidates() []string {
	var out []string
	if !r.Leaving() {
		out = append(out, r.o.CallerAddress)
	}
	for _, m := range r.View.Members() {
		if m.Role != port.RoleRouter || m.State != port.MemberLive || m.ID == r.o.ID || m.CallerAddress == "" {
			continue
		}
		out = append(out, m.CallerAddress)
	}
	return out
}

func without(list []string, item string) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		if s != item {
			out = append(out, s)
		}
	}
	return out
}
