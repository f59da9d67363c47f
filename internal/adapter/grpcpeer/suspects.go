package grpcpeer

import (
	"math"
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
// an invalid fingerprint. sentAt is when the message was sent, by this daemon's clock.
func suspectsFromWire(sentAt time.Time, ss []*peerv1.Suspect) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, s := range ss {
		age := durationFromWire(s.GetHeardAgeMillis())
		var f quarantine.Fingerprint
		if copy(f[:], s.GetFingerprint()) < len(f) || !quarantine.AcceptsAge(age) {
			continue
		}
		out = append(out, quarantine.Suspect{
			Fingerprint: f, Cleared: s.GetCleared(), Renewals: s.GetRenewals(),
			Crashes:   quarantine.Union(mapSlice(s.GetCrashes(), func(c uint64) quarantine.CrashID { return quarantine.CrashID(c) }), nil),
			UpdatedAt: sentAt.Add(-age),
		})
	}
	return out
}

// partSuspectsToWire sends ages instead of times, as suspectsToWire does.
func partSuspectsToWire(ss []quarantine.PartSuspect) []*peerv1.PartSuspect {
	now := time.Now()
	return mapSlice(ss, func(s quarantine.PartSuspect) *peerv1.PartSuspect {
		return &peerv1.PartSuspect{
			Fingerprint: s.Part.Fingerprint[:], Part: s.Part.ID, Organisation: s.Organisation,
			Cleared: s.Cleared, Completed: s.Completed, Renewals: s.Renewals, Companions: s.Companions,
			Crashes: mapSlice(s.Crashes, func(c quarantine.PartCrash) *peerv1.PartCrash {
				return &peerv1.PartCrash{
					Id: uint64(c.ID), Request: c.Request, RanMillis: uint32(min(math.MaxUint32, c.Ran.Milliseconds())),
					AgeMillis: ageMillis(now, c.At),
				}
			}),
			HeardAgeMillis: ageMillis(now, s.UpdatedAt),
		}
	})
}

// partSuspectsFromWire skips what suspectsFromWire skips.
func partSuspectsFromWire(sentAt time.Time, ss []*peerv1.PartSuspect) []quarantine.PartSuspect {
	var out []quarantine.PartSuspect
	for _, s := range ss {
		age := durationFromWire(s.GetHeardAgeMillis())
		var f quarantine.Fingerprint
		if copy(f[:], s.GetFingerprint()) < len(f) || !quarantine.AcceptsAge(age) {
			continue
		}
		out = append(out, quarantine.PartSuspect{
			Part: quarantine.Part{Fingerprint: f, ID: s.GetPart()}, Organisation: s.GetOrganisation(),
			Cleared: s.GetCleared(), Completed: s.GetCompleted(), Renewals: s.GetRenewals(), Companions: s.GetCompanions(),
			Crashes: quarantine.UniteCrashes(mapSlice(s.GetCrashes(), func(c *peerv1.PartCrash) quarantine.PartCrash {
				return quarantine.PartCrash{
					ID: quarantine.CrashID(c.GetId()), Request: c.GetRequest(), Ran: durationFromWire(int64(c.GetRanMillis())),
					At: sentAt.Add(-durationFromWire(c.GetAgeMillis())),
				}
			}), nil),
			UpdatedAt: sentAt.Add(-age),
		})
	}
	return out
}

// durationFromWire converts milliseconds; negative ones count as zero.
func durationFromWire(millis int64) time.Duration {
	return time.Duration(max(0, millis)) * time.Millisecond
}
