package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Endpoint is the replicated state of one endpoint. Within an incarnation,
// State moves backwards only when a newer registry entry lists the endpoint
// again. Unreachable may change both ways, since a broken link can recover.
type Endpoint struct {
	port.Endpoint
	// EntryRevision is the revision of the registry entry that the fields other
	// than State come from. It is larger than Revision where that entry doesn't
	// prove the state, see FromRestoredEntry.
	EntryRevision port.StoreRevision
	// Confirmed is set once the endpoint itself has reported the incarnation.
	Confirmed bool
	// ReportedState is the state that the endpoint itself reported; it never moves
	// backwards.
	ReportedState port.EndpointState
	// StillListed is set if the registry entry at Revision is live and State is
	// later only because of ReportedState.
	StillListed bool
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

// EndpointOrder is the semilattice of endpoints. The larger incarnation
// replaces the smaller one entirely. Within an incarnation, the entry of the
// larger revision, the state of the larger revision, the newer observation and
// the newer limit win. The state that the endpoint reported never moves
// backwards, and neither does the state at one revision.
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
	out.ReportedState = laterState(a.ReportedState, b.ReportedState)
	out.Revision, out.State, out.Dropped = joinListedStates(&a, &b)
	out.applyReportedState()
	out.Confirmed = a.Confirmed || b.Confirmed
	observed := &a
	if compareObservations(&a, &b) < 0 {
		observed = &b
	}
	out.Observation, out.Unreachable, out.Models = observed.Observation, observed.Unreachable, observed.Models
	limit := &a
	if compareLimits(&a, &b) < 0 {
		limit = &b
	}
	out.LimitChanges, out.RateLimit = limit.LimitChanges, limit.RateLimit
	return out
}

// listedState returns the state without the endpoint's own report, as far as it is
// known.
func (e *Endpoint) listedState() port.EndpointState {
	if e.StillListed {
		return port.EndpointLive
	}
	return e.State
}

// applyReportedState advances a state that comes from the registry to the one that
// the endpoint itself reported.
func (e *Endpoint) applyReportedState() {
	listed := e.State
	e.State = laterState(listed, e.ReportedState)
	e.StillListed = listed == port.EndpointLive && e.State != port.EndpointLive
}

// joinListedStates returns the listed state of the larger revision. At equal
// revisions the later state wins: "leaving" must not be overwritten by a list that
// still says "live", or by a late message from a daemon that hasn't received the
// change. Otherwise new work would be sent to an endpoint that is about to stop. An
// endpoint known to have announced its leaving wasn't dropped.
func joinListedStates(a, b *Endpoint) (revision port.StoreRevision, state port.EndpointState, dropped bool) {
	stateA, stateB := a.listedState(), b.listedState()
	order := cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(endpointRank(stateA), endpointRank(stateB)))
	switch {
	case order > 0:
		return a.Revision, stateA, a.Dropped
	case order < 0:
		return b.Revision, stateB, b.Dropped
	default:
		return a.Revision, stateA, a.Dropped && b.Dropped
	}
}

// laterState returns the state that comes later in the life cycle live,
// leaving, gone.
func laterState(a, b port.EndpointState) port.EndpointState {
	if endpointRank(b) > endpointRank(a) {
		return b
	}
	return a
}

// compareListings orders registry entries by revision. The other fields break
// ties, also where the platform has no registry and all revisions are zero.
func compareListings(a, b *Endpoint) int {
	return cmp.Or(
		cmp.Compare(a.EntryRevision, b.EntryRevision),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		compareBools(a.FencesOrders, b.FencesOrders),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.ColdReports, b.ColdReports),
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

// compareLimits orders rate limits by their number of changes. Of two with the
// same number, the stricter one wins.
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
	h.Uint64(uint64(endpointRank(e.ReportedState)))
	h.Uint64(uint64(e.Slots))
	h.Uint64(e.Observation)
	h.Bool(e.Unreachable)
	h.Uint64(uint64(len(e.Models)))
	for _, m := range e.Models {
		h.String(m)
	}
	// The fields below are hashed only where they differ from their default, so
	// that daemons of versions without these fields compute the same hash.
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
	if e.StillListed {
		h.Bool(e.StillListed)
	}
	if e.ColdReports != 0 {
		h.Uint64(uint64(e.ColdReports))
	}
	if e.Dropped {
		h.Bool(e.Dropped)
	}
	return h.Sum()
}

// NewEndpointTable returns an empty table of endpoints.
func NewEndpointTable() *spread.Table[Endpoint] {
	return spread.NewTable[Endpoint](EndpointOrder{}, spread.HashKey)
}

// Listed returns the state of an endpoint that the platform lists.
func Listed(e port.Endpoint) Endpoint {
	return Endpoint{Endpoint: normalised(e), EntryRevision: e.Revision}
}

// FromRestoredEntry returns the state of an endpoint whose registry entry may come from a
// restored backup. Such an entry may be older than the known state despite its
// larger revision: "live" doesn't cancel a shutdown notice that the backup lacks.
// "Leaving" is accepted, since no entry returns from it to live.
func FromRestoredEntry(e port.Endpoint) Endpoint {
	out := Listed(e)
	if out.State == port.EndpointLive {
		out.Revision = 0
	}
	return out
}

// StateMayBeStale reports whether the registry entry may be older than the known
// state, see FromRestoredEntry.
func (e *Endpoint) StateMayBeStale() bool { return e.Revision < e.EntryRevision }

// WithRenewedEntry returns the state of an endpoint that is still listed after the
// time for which the registry keeps entries that aren't renewed. The entry must
// have been renewed since the restore, so its "live" is accepted now.
func WithRenewedEntry(known Endpoint) Endpoint {
	next := known
	next.Revision = known.EntryRevision
	next.State, next.Dropped = port.EndpointLive, false
	next.applyReportedState()
	return next
}

func normalised(e port.Endpoint) port.Endpoint {
	if e.State == "" {
		e.State = port.EndpointLive
	}
	e.Models = slices.Sorted(slices.Values(e.Models))
	return e
}

// WithReport returns the state after a report from the endpoint itself. A report of a
// larger incarnation resets the state; one of a smaller incarnation is late and
// changes nothing.
func WithReport(known Endpoint, r *port.LoadReport) Endpoint {
	if r.Incarnation < known.Incarnation {
		return known
	}
	next := known
	if r.Incarnation > known.Incarnation {
		next.Incarnation = r.Incarnation
		next.State, next.ReportedState, next.StillListed, next.Dropped = port.EndpointLive, "", false, false
		next.Observation, next.LimitChanges = 0, 0
		next.Unreachable, next.RateLimit = false, 0
		next.ColdReports = 0
	}
	next = WithReportedState(next, r.State)
	models := slices.Sorted(slices.Values(r.Models))
	if next.Unreachable || !slices.Equal(models, next.Models) {
		next.Observation++
		next.Unreachable = false
		next.Models = models
	}
	return next
}

// WithReportedState returns the state after the endpoint itself stated its place in
// the life cycle.
func WithReportedState(known Endpoint, state port.EndpointState) Endpoint {
	next := known
	next.ReportedState = laterState(next.ReportedState, state)
	next.State = next.listedState()
	next.applyReportedState()
	next.Confirmed = true
	return next
}

// WithRateLimit returns the state after the endpoint reported a rate limit, in
// requests per second; zero is no limit.
func WithRateLimit(known Endpoint, perSecond float64) Endpoint {
	next := known
	if next.RateLimit != perSecond {
		next.LimitChanges++
		next.RateLimit = perSecond
	}
	return next
}

// WithColdTime returns the state after the endpoint reported that it stays cold for a
// time.
func WithColdTime(known Endpoint, coldFor time.Duration) Endpoint {
	next := known
	next.ColdFor = coldFor
	next.ColdReports++
	return next
}

// WithUnreachable returns the state after the number of consecutive failed probes that
// makes an endpoint unreachable.
func WithUnreachable(known Endpoint) Endpoint {
	next := known
	if !next.Unreachable {
		next.Observation++
		next.Unreachable = true
	}
	return next
}

// Removed returns the state of an endpoint that the platform's registry removed
// at the revision. It may continue to serve for a while, but gets no new work.
func Removed(known Endpoint, revision port.StoreRevision) Endpoint {
	next := known
	next.Revision, next.EntryRevision = revision, revision
	next.Dropped = known.State == port.EndpointLive || known.Dropped
	next.State, next.StillListed = port.EndpointLeaving, false
	return next
}

// Delisted returns the state of an endpoint that the platform's list no longer
// contains. It becomes gone only if it is unreachable too: the list may be out
// of date, and an endpoint that answers stays in use.
func Delisted(known Endpoint) Endpoint {
	next := known
	if next.Unreachable {
		next.State, next.StillListed = port.EndpointGone, false
	}
	return next
}
