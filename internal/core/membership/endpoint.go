package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Endpoint is what the system knows of one endpoint. State is sticky within
// an incarnation, but for a registry that lists it again; whether it can be
// reached is not, as a cut link heals.
type Endpoint struct {
	port.Endpoint
	// EntryRevision is that of the registry's entry behind the fields other than
	// State. It is larger than Revision where that entry is no evidence of the
	// state, see FromCopy.
	EntryRevision port.StoreRevision
	// Confirmed: the endpoint itself named the incarnation.
	Confirmed bool
	// Said is the endpoint's own word on its state; it only grows.
	Said port.EndpointState
	// Observation counts the changes of Unreachable and Models within the
	// incarnation; the larger is newer.
	Observation uint64
	// LimitChanges counts the changes of RateLimit within the incarnation; the
	// larger is newer.
	LimitChanges uint64
}

func endpointRank(s port.EndpointState) int {
	switch s {
	case port.EndpointLeaving:
		return 1
	case port.EndpointGone:
		return 2
	default:
		return 0
	}
}

// EndpointOrder is the semilattice of endpoints: the larger incarnation wins
// whole; within one, the entry of the larger revision, the state of the larger
// revision, the newer observation and the newer limit win, what the endpoint
// itself said of its state only grows, and so does the state between listings of
// one revision.
type EndpointOrder struct{}

// Key is the endpoint's id.
func (EndpointOrder) Key(e Endpoint) string { return e.ID }

// Join returns the least upper bound.
func (EndpointOrder) Join(a, b Endpoint) Endpoint {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if compareListings(&a, &b) < 0 {
		out = b
	}
	out.Said = laterState(a.Said, b.Said)
	out.Revision, out.State = joinStates(&a, &b)
	out.State = laterState(out.State, out.Said)
	out.Confirmed = a.Confirmed || b.Confirmed
	seen := &a
	if compareObservations(&a, &b) < 0 {
		seen = &b
	}
	out.Observation, out.Unreachable, out.Models = seen.Observation, seen.Unreachable, seen.Models
	limit := &a
	if compareLimits(&a, &b) < 0 {
		limit = &b
	}
	out.LimitChanges, out.RateLimit = limit.LimitChanges, limit.RateLimit
	return out
}

// joinStates returns the state of the larger revision. Where both are of one,
// leaving must survive the list that still says live, and a late message of any
// daemon that has not heard of it: else new work goes to an endpoint that is
// about to stop.
func joinStates(a, b *Endpoint) (port.StoreRevision, port.EndpointState) {
	switch {
	case a.Revision > b.Revision:
		return a.Revision, a.State
	case a.Revision < b.Revision:
		return b.Revision, b.State
	default:
		return a.Revision, laterState(a.State, b.State)
	}
}

// laterState is the one of two states that comes after the other.
func laterState(a, b port.EndpointState) port.EndpointState {
	if endpointRank(b) > endpointRank(a) {
		return b
	}
	return a
}

// compareListings orders what lists said. Where the platform has a registry
// its revision decides, and the rest only breaks ties.
func compareListings(a, b *Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.EntryRevision, b.EntryRevision),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		compareBools(a.FencesOrders, b.FencesOrders),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.ColdFor, b.ColdFor),
	)
}

func compareObservations(a, b *Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.Observation, b.Observation),
		compareBools(a.Unreachable, b.Unreachable),
		slices.Compare(a.Models, b.Models),
	)
}

// compareLimits orders limits by their age. Of two of one age the stricter
// stands.
func compareLimits(a, b *Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.LimitChanges, b.LimitChanges),
		compareBools(a.RateLimit > 0, b.RateLimit > 0),
		cmp.Compare(b.RateLimit, a.RateLimit),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Hash covers all fields.
func (EndpointOrder) Hash(e Endpoint) uint64 {
	h := spread.NewHasher()
	h.String(e.ID)
	h.String(string(e.Kind))
	h.String(e.Pool)
	h.String(e.Address)
	h.String(e.FailureDomain)
	h.Uint64(e.Incarnation)
	h.Uint64(uint64(endpointRank(e.State)))
	h.Bool(e.FencesOrders)
	h.Bool(e.Confirmed)
	h.Uint64(uint64(e.Revision))
	h.Uint64(uint64(endpointRank(e.Said)))
	h.Uint64(uint64(e.Slots))
	h.Uint64(e.Observation)
	h.Bool(e.Unreachable)
	h.Uint64(uint64(len(e.Models)))
	for _, m := range e.Models {
		h.String(m)
	}
	// Left out where it says no more, so that daemons that don't know it agree.
	if e.EntryRevision != e.Revision {
		h.Uint64(uint64(e.EntryRevision))
	}
	if e.ColdFor != 0 {
		h.Uint64(uint64(e.ColdFor))
	}
	if e.LimitChanges != 0 {
		h.Uint64(e.LimitChanges)
		h.Uint64(math.Float64bits(e.RateLimit))
	}
	return h.Sum()
}

// NewEndpointTable returns an empty table of endpoints.
func NewEndpointTable() *spread.Table[Endpoint] {
	return spread.NewTable[Endpoint](EndpointOrder{}, spread.HashKey)
}

// Listed is an endpoint as the platform lists it.
func Listed(e port.Endpoint) Endpoint {
	return Endpoint{Endpoint: normalised(e), EntryRevision: e.Revision}
}

// FromCopy is an endpoint as a registry lists it that may have come back from a
// copy with the entry. Such an entry may be older than what is known: "live" is
// no evidence against a notice that the copy lacks, though its revision is the
// larger one. "Leaving" is, as no entry goes back from it.
func FromCopy(e port.Endpoint) Endpoint {
	out := Listed(e)
	if out.State == port.EndpointLive {
		out.Revision = 0
	}
	return out
}

// Unproven reports whether the registry's entry may be older than what is known
// of the state, see FromCopy.
func (e *Endpoint) Unproven() bool { return e.Revision < e.EntryRevision }

// StillListed returns the entry of an endpoint that the registry has listed for
// longer than it keeps the entries of those that don't write theirs again: that
// it is listed as live is evidence by now.
func StillListed(known Endpoint) Endpoint {
	next := known
	next.Revision = known.EntryRevision
	next.State = laterState(port.EndpointLive, known.Said)
	return next
}

func normalised(e port.Endpoint) port.Endpoint {
	if e.State == "" {
		e.State = port.EndpointLive
	}
	e.Models = slices.Sorted(slices.Values(e.Models))
	return e
}

// Said returns the entry after the endpoint's own word. A report of a larger
// incarnation starts anew; one of a smaller is late and changes nothing.
func Said(known Endpoint, r *port.LoadReport) Endpoint {
	if r.Incarnation < known.Incarnation {
		return known
	}
	next := known
	if r.Incarnation > known.Incarnation {
		next.Incarnation = r.Incarnation
		next.State, next.Said = port.EndpointLive, ""
		next.Observation, next.LimitChanges = 0, 0
		next.Unreachable, next.RateLimit = false, 0
	}
	next.Said = laterState(next.Said, r.State)
	next.State = laterState(next.State, r.State)
	next.Confirmed = true
	models := slices.Sorted(slices.Values(r.Models))
	if next.Unreachable || !slices.Equal(models, next.Models) {
		next.Observation++
		next.Unreachable = false
		next.Models = models
	}
	return next
}

// Limited returns the entry after the endpoint named another limit, in requests
// a second; zero is none.
func Limited(known Endpoint, perSecond float64) Endpoint {
	next := known
	if next.RateLimit != perSecond {
		next.LimitChanges++
		next.RateLimit = perSecond
	}
	return next
}

// Missed returns the entry after enough failed probes in a row.
func Missed(known Endpoint) Endpoint {
	next := known
	if !next.Unreachable {
		next.Observation++
		next.Unreachable = true
	}
	return next
}

// Removed returns the entry of an endpoint that the platform's registry took
// out at the revision. It may serve on for a while, but is offered nothing new.
func Removed(known Endpoint, revision port.StoreRevision) Endpoint {
	next := known
	next.Revision, next.EntryRevision = revision, revision
	next.State = port.EndpointLeaving
	return next
}

// Delisted returns the entry of an endpoint that the platform's list no longer
// names. It is gone only if it can't be reached either: the list lags, and an
// endpoint that answers is not given up for it.
func Delisted(known Endpoint) Endpoint {
	next := known
	if next.Unreachable {
		next.State = port.EndpointGone
	}
	return next
}
