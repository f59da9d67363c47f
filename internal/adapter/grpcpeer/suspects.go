package grpcpeer

import (
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
)

// suspectsToWire sends the age of the last update instead of its time, as the clocks
// of daemons differ.
func suspectsToWire(ss []quarantine.Suspect) []*peerv1.Suspect {
	now := time.Now()
	return mapSlice(ss, func(s quarantine.Suspect) *peerv1.Suspect {
		return &peerv1.Suspect{
			Fingerprint: s.Fingerprint[:], Cleared: s.Cleared, Renewals: s.Renewals,
			Crashes:        mapSlice(s.Crashes, func(c quarantine.CrashID) uint64 { return uint64(c) }),
			HeardAgeMillis: ageMillis(now, s.UpdatedAt),
		}
	})
}

// suspectsFromWire skips suspects that the sender is about to delete, and those with
// an invalid fingerprint.
func suspectsFromWire(ss []*peerv1.Suspect) []quarantine.Suspect {
	now := time.Now()
	var out []quarantine.Suspect
	for _, s := range ss {
		age := time.Duration(max(0, s.GetHeardAgeMillis())) * time.Millisecond
		var f quarantine.Fingerprint
		if copy(f[:], s.GetFingerprint()) < len(f) || !quarantine.AcceptsAge(age) {
			continue
		}
		out = append(out, quarantine.Suspect{
			Fingerprint: f, Cleared: s.GetCleared(), Renewals: s.GetRenewals(),
			Crashes:   quarantine.Union(mapSlice(s.GetCrashes(), func(c uint64) quarantine.CrashID { return quarantine.CrashID(c) }), nil),
			UpdatedAt: now.Add(-age),
		})
	}
	return out
}
