// Package grpcpeer exchanges state between the system's own daemons over gRPC. It
// implements the subscriptions of routers and keepers to keepers, and the calls
// between daemons. core/spread decides which records, endpoints, members and
// suspects are sent; this package converts and transports the messages.
package grpcpeer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/coldstart"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func recordToWire(r port.Record) *peerv1.Record {
	return &peerv1.Record{Kind: r.Kind, Name: r.Name, Version: r.Version, Document: r.Body, Deleted: r.Deleted}
}

func recordFromWire(r *peerv1.Record) port.Record {
	return port.Record{Kind: r.GetKind(), Name: r.GetName(), Version: r.GetVersion(), Body: r.GetDocument(), Deleted: r.GetDeleted()}
}

func revisionToWire(r spread.Revision) *peerv1.Record {
	w := recordToWire(r.Record)
	w.Parts, w.Sum = partIDsToWire(r.Parts), r.Sum
	return w
}

func revisionFromWire(r *peerv1.Record) spread.Revision {
	return spread.Revision{Record: recordFromWire(r), Parts: partIDsFromWire(r.GetParts()), Sum: r.GetSum()}
}

func partIDsToWire(ids []spread.PartID) []uint64 {
	return mapSlice(ids, func(id spread.PartID) uint64 { return uint64(id) })
}

func partIDsFromWire(ids []uint64) []spread.PartID {
	return mapSlice(ids, func(id uint64) spread.PartID { return spread.PartID(id) })
}

func endpointToWire(e membership.Endpoint) *peerv1.Endpoint {
	out := &peerv1.Endpoint{
		Id: e.ID, Kind: string(e.Kind), Pool: e.Pool, Address: e.Address,
		FailureDomain: e.FailureDomain, Incarnation: e.Incarnation, State: string(e.State),
		FencesOrders: e.FencesOrders, Models: e.Models,
		Version: e.Observation, Unreachable: e.Unreachable, Confirmed: e.Confirmed,
		Revision: uint64(e.Revision), Said: string(e.ReportedState), StillListed: e.StillListed, Slots: uint32(e.Slots),
		RateLimit: e.RateLimit, LimitChanges: e.LimitChanges, ColdMillis: e.ColdFor.Milliseconds(), ColdReports: e.ColdReports,
		Dropped: e.Dropped,
	}
	if e.EntryRevision != e.Revision {
		out.EntryRevision = proto.Uint64(uint64(e.EntryRevision))
	}
	return out
}

func endpointFromWire(e *peerv1.Endpoint) membership.Endpoint {
	revision := port.StoreRevision(e.GetRevision())
	entry := revision
	if e.EntryRevision != nil {
		entry = port.StoreRevision(e.GetEntryRevision())
	}
	return membership.Endpoint{
		Endpoint: port.Endpoint{
			ID: e.GetId(), Kind: port.EndpointKind(e.GetKind()), Pool: e.GetPool(), Address: e.GetAddress(),
			FailureDomain: e.GetFailureDomain(), Incarnation: e.GetIncarnation(),
			State: port.EndpointState(e.GetState()), FencesOrders: e.GetFencesOrders(), Models: e.GetModels(),
			Unreachable: e.GetUnreachable(), Dropped: e.GetDropped(), Revision: revision, Slots: int(e.GetSlots()),
			RateLimit: rateLimitFromWire(e.GetRateLimit()), ColdFor: coldFromWire(e.GetColdMillis()), ColdReports: e.GetColdReports(),
		},
		EntryRevision: entry,
		ReportedState: port.EndpointState(e.GetSaid()),
		StillListed:   e.GetStillListed() && e.GetState() != string(port.EndpointLive),
		Observation:   e.GetVersion(), Confirmed: e.GetConfirmed(), LimitChanges: e.GetLimitChanges(),
	}
}

// rateLimitFromWire returns zero, which means no limit, for an invalid rate.
func rateLimitFromWire(perSecond float64) float64 {
	if perSecond > 0 && !math.IsInf(perSecond, 1) {
		return perSecond
	}
	return 0
}

func memberToWire(m membership.Member) *peerv1.Member {
	return &peerv1.Member{
		Id: m.ID, Role: string(m.Role), Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
		Host: m.Host, CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress, PeerAddress: m.PeerAddress,
		State: string(m.State), Sequence: m.Sequence, HeardBy: m.DecidedBy,
		Condition: string(m.Condition), Left: m.Left, Blind: m.PlatformUnreachable,
		LostPools: m.LostPools, ProcessorMilli: m.Capacity.ProcessorMilli, LinkKbps: m.Capacity.LinkKbps,
		LoadPercent: m.LoadPercent,
	}
}

func memberFromWire(m *peerv1.Member) membership.Member {
	return membership.Member{
		ID: m.GetId(), Role: port.MemberRole(m.GetRole()), Incarnation: m.GetIncarnation(),
		FailureDomain: m.GetFailureDomain(), Host: m.GetHost(), CallerAddress: m.GetCallerAddress(),
		AdminAddress: m.GetAdminAddress(), PeerAddress: m.GetPeerAddress(),
		State: port.MemberState(m.GetState()), Sequence: m.GetSequence(), DecidedBy: m.GetHeardBy(),
		Condition: membership.Condition(m.GetCondition()), Left: m.GetLeft(), PlatformUnreachable: m.GetBlind(),
		LostPools: m.GetLostPools(), LoadPercent: m.GetLoadPercent(),
		Capacity: port.HostCapacity{ProcessorMilli: m.GetProcessorMilli(), LinkKbps: m.GetLinkKbps()},
	}
}

func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i := range in {
		out[i] = f(in[i])
	}
	return out
}

func tableToWire[T any](s *spread.Step[T]) *peerv1.TableSync {
	if !s.HasDigest && len(s.BucketDigests) == 0 && len(s.Repaired) == 0 {
		return nil
	}
	return &peerv1.TableSync{
		Digest: s.Digest, HasDigest: s.HasDigest,
		BucketDigests: s.BucketDigests, Repaired: s.Repaired,
	}
}

func stepFromWire[T any](t *peerv1.TableSync, entries []T) spread.Step[T] {
	return spread.Step[T]{
		Entries: entries, Digest: t.GetDigest(), HasDigest: t.GetHasDigest(),
		BucketDigests: t.GetBucketDigests(), Repaired: t.GetRepaired(),
	}
}

func syncToWire(m *node.Message) *peerv1.Sync {
	s := &peerv1.Sync{
		Records:   tableToWire(&m.Records),
		Endpoints: tableToWire(&m.Endpoints),
		Members:   tableToWire(&m.Members),
		Suspects:  tableToWire(&m.Suspects),

		PartSuspects: tableToWire(&m.PartSuspects),

		HighestVersion: m.HighestVersion,
		Complete:       m.Complete,
		Parts:          m.Parts,
		WantedParts:    partIDsToWire(m.WantedParts),
		TakesParts:     m.SupportsParts,
		Fallbacks:      mapSlice(m.Fallbacks, revisionToWire),
	}
	if proto.Size(s) == 0 {
		return nil
	}
	return s
}

func updateToWire(m *node.Message) *peerv1.Update {
	return &peerv1.Update{
		Complete:  m.Complete,
		Records:   mapSlice(m.Records.Entries, revisionToWire),
		Endpoints: mapSlice(m.Endpoints.Entries, endpointToWire),
		Members:   mapSlice(m.Members.Entries, memberToWire),
		Suspects:  suspectsToWire(m.Suspects.Entries),
		Sync:      syncToWire(m),

		PartSuspects: partSuspectsToWire(m.PartSuspects.Entries),
		SentMicros:   sentMicros(),
	}
}

// messageFromWire returns the message of an update or a heartbeat. sentAt is when it was
// sent, by this daemon's clock.
func messageFromWire(sentAt time.Time, s *peerv1.Sync, rs []*peerv1.Record, es []*peerv1.Endpoint, ms []*peerv1.Member, ss []*peerv1.Suspect, ps []*peerv1.PartSuspect) node.Message {
	return node.Message{
		Records:        stepFromWire(s.GetRecords(), mapSlice(rs, revisionFromWire)),
		Endpoints:      stepFromWire(s.GetEndpoints(), mapSlice(es, endpointFromWire)),
		Members:        stepFromWire(s.GetMembers(), mapSlice(ms, memberFromWire)),
		Suspects:       stepFromWire(s.GetSuspects(), suspectsFromWire(sentAt, ss)),
		PartSuspects:   stepFromWire(s.GetPartSuspects(), partSuspectsFromWire(sentAt, ps)),
		HighestVersion: s.GetHighestVersion(),
		Complete:       s.GetComplete(),
		Parts:          s.GetParts(),
		WantedParts:    partIDsFromWire(s.GetWantedParts()),
		SupportsParts:  s.GetTakesParts(),
		Fallbacks:      mapSlice(s.GetFallbacks(), revisionFromWire),
	}
}

func updateFromWire(sentAt time.Time, u *peerv1.Update) node.Message {
	return messageFromWire(sentAt, u.GetSync(), u.GetRecords(), u.GetEndpoints(), u.GetMembers(), u.GetSuspects(), u.GetPartSuspects())
}

func heartbeatToWire(m *node.Message) *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Records:           mapSlice(m.Records.Entries, revisionToWire),
		ObservedEndpoints: mapSlice(m.Endpoints.Entries, endpointToWire),
		KnownMembers:      mapSlice(m.Members.Entries, memberToWire),
		Suspects:          suspectsToWire(m.Suspects.Entries),
		PartSuspects:      partSuspectsToWire(m.PartSuspects.Entries),
		Sync:              syncToWire(m),
		SentMicros:        sentMicros(),
	}
}

func heartbeatFromWire(sentAt time.Time, h *peerv1.Heartbeat) node.Message {
	return messageFromWire(sentAt, h.GetSync(), h.GetRecords(), h.GetObservedEndpoints(), h.GetKnownMembers(), h.GetSuspects(), h.GetPartSuspects())
}

// coldFromWire limits a received cold time to the range from zero to
// coldstart.MaxColdTime.
func coldFromWire(millis int64) time.Duration {
	return time.Duration(min(coldstart.MaxColdTime.Milliseconds(), max(0, millis))) * time.Millisecond
}
