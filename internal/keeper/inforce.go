package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// directoryTimeout bounds the calls to the other keepers' directories.
const directoryTimeout = time.Second

// InForce is the status of all daemons and the versions in force on them.
type InForce struct {
	// Version is the highest known record version of any daemon.
	Version uint64 `json:"version"`
	// Records counts the records held here, without deleted ones.
	Records int `json:"records"`
	// PlatformAgeMillis is the age of the platform's last answer to any keeper;
	// -1 if there was none.
	PlatformAgeMillis int64 `json:"platform_age_ms"`
	// StoreEra counts the restores of the platform's store from a backup, as
	// far as this keeper knows.
	StoreEra uint64       `json:"store_era,omitempty"`
	Hosts    []HostStatus `json:"hosts"`
	// Unanswered lists keepers that did not answer in time; the daemons whose
	// heartbeats they receive may be missing from Hosts or be out of date.
	Unanswered []string `json:"unanswered_keepers,omitempty"`
}

// HostStatus is the status of one daemon.
type HostStatus struct {
	ID            string               `json:"id"`
	Role          port.MemberRole      `json:"role"`
	Host          string               `json:"host"`
	FailureDomain string               `json:"failure_domain"`
	State         port.MemberState     `json:"state"`
	Condition     membership.Condition `json:"condition,omitempty"`
	Version       uint64               `json:"version"`
	// Current: the daemon has the highest version known anywhere.
	Current bool `json:"current"`
	// AgeMillis is how long the version has been in force on the daemon.
	AgeMillis int64 `json:"age_ms"`
	// HeardAgeMillis is the age of this status; -1 if no keeper that answered
	// receives the daemon's heartbeats.
	HeardAgeMillis int64  `json:"heard_age_ms"`
	HeardBy        string `json:"heard_by,omitempty"`
}

// InForce collects the directories of all live keepers and merges them.
func (k *Keeper) InForce(ctx context.Context) InForce {
	entries, unanswered := k.collectDirectories(ctx)
	now := time.Now()
	out := InForce{
		Version: k.node.HighestKnown(), Records: len(k.Records()), Unanswered: unanswered,
		PlatformAgeMillis: -1, StoreEra: k.eras.Current(),
	}
	if age := k.PlatformAge(now); age >= 0 {
		out.PlatformAgeMillis = age.Milliseconds()
	}
	for _, entry := range entries {
		out.Version = max(out.Version, entry.GetHighestVersion())
	}
	for m := range k.node.Members.All() {
		out.Hosts = append(out.Hosts, hostStatus(&m, entries[m.ID], out.Version))
	}
	slices.SortFunc(out.Hosts, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func hostStatus(m *membership.Member, entry *peerv1.Member, highest uint64) HostStatus {
	s := HostStatus{
		ID: m.ID, Role: m.Role, Host: m.Host, FailureDomain: m.FailureDomain,
		State: m.Effective(), Condition: m.Condition, HeardAgeMillis: -1,
	}
	if entry == nil {
		return s
	}
	s.Version, s.HeardAgeMillis, s.HeardBy = entry.GetHighestVersion(), entry.GetHeardAgeMillis(), entry.GetHeardBy()
	s.AgeMillis = entry.GetInForceAgeMillis()
	s.Current = s.Version >= highest
	return s
}

// collectDirectories returns the most recent directory entry of each member,
// and the ids of the keepers that did not answer.
func (k *Keeper) collectDirectories(ctx context.Context) (map[string]*peerv1.Member, []string) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var mu sync.Mutex
	newest := map[string]*peerv1.Member{}
	var unanswered []string
	merge := func(members []*peerv1.Member) {
		for _, m := range members {
			if old := newest[m.GetId()]; old == nil || m.GetHeardAgeMillis() < old.GetHeardAgeMillis() {
				newest[m.GetId()] = m
			}
		}
	}
	merge(k.Directory())
	var group errgroup.Group
	for _, o := range k.liveKeepers() {
		if o.ID == k.options.Self.ID {
			continue
		}
		group.Go(func() error {
			members, err := grpcpeer.FetchDirectory(ctx, o.PeerAddress, k.options.DialOptions...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, o.ID)
				return nil
			}
			merge(members)
			return nil
		})
	}
	// A keeper that doesn't answer is listed in unanswered; it doesn't fail the
	// whole query.
	_ = group.Wait()
	slices.Sort(unanswered)
	return newest, unanswered
}
