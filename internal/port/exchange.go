package port

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Exchange is a request that is forwarded to an endpoint unchanged; the system
// does not interpret its body.
type Exchange struct {
	RequestID string
	Endpoint  Endpoint
	Method    string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers that are forwarded to the endpoint.
	Header http.Header
	Body   []byte
	// Organisation is empty if the route requires no key.
	Organisation string
	// Remaining is the time left until the caller no longer needs a response.
	Remaining time.Duration
	// LastEventID is the id of the last event that the caller has of a stream, which the
	// endpoint continues after it; empty for none. It replaces that in Header.
	LastEventID string
	// Repeatable is set if the request does no harm if it is lost and sent again, and the
	// endpoint has room for connections that are kept unused. It may then be sent over a
	// connection that was unused for long.
	Repeatable bool
	// SentBefore is set if the request was sent to the same address before, for example to
	// an endpoint that ended there. A second response to that would have the request's name,
	// so it is sent over a new connection.
	SentBefore bool
	// Generation is nil for requests to plain services.
	Generation *GenerationTerms
}

// GenerationTerms are options that the system passes to an engine in addition to
// the request.
type GenerationTerms struct {
	// Rank is the request's urgency at the engine. Requests of rank zero go first
	// and may preempt running requests.
	Rank int
	// BackupAddress is the address of the engine that receives a copy of the run's
	// tokens as they are generated; empty for none.
	BackupAddress string
	// Continue, if set, continues the run from a copy of its tokens.
	Continue *Continuation
}

// Continuation identifies the copy from which a run is continued.
type Continuation struct {
	// Address is the address of the engine that issued the handle, or that holds
	// the backup.
	Address string
	// Handle identifies the copy; for a backup it is the request's id.
	Handle string
	// LastEventID is the id of the last event that the caller received; empty for
	// none.
	LastEventID string
}

// Identity is what a response shows of the request that it answers.
type Identity string

// The identities.
const (
	// IdentityOwn means that the response names the request.
	IdentityOwn Identity = "own"
	// IdentityOther means that it names another request.
	IdentityOther Identity = "other"
	// IdentityNone means that it names none.
	IdentityNone Identity = "none"
)

// Reply is what the head of a response shows.
type Reply struct {
	Status   int      `json:"status"`
	Identity Identity `json:"identity"`
	// NotExecuted is set if it states that the endpoint didn't run the request.
	NotExecuted bool `json:"not_executed,omitempty"`
	// Misdirected is set if it states that another endpoint has the address and didn't run
	// the request.
	Misdirected bool `json:"misdirected,omitempty"`
	// Reused is set if the connection had carried another request before, to which a late
	// response may belong.
	Reused bool `json:"reused,omitempty"`
	// AfterMillis is the time since the request was sent.
	AfterMillis int64 `json:"after_ms"`
}

// IsPlainSuccess reports whether there is nothing to explain about the response.
func (r *Reply) IsPlainSuccess() bool {
	return r.Status/100 == 2 && r.Identity == IdentityOwn && !r.NotExecuted && !r.Misdirected
}

// Answer is an endpoint's response to an Exchange.
type Answer struct {
	Reply  Reply
	Status int
	Header http.Header
	// Body must be closed by the receiver of the Answer. It ends with io.EOF only
	// if the endpoint ended it properly.
	Body io.ReadCloser
	// Length is the body's length, -1 if the endpoint does not declare it.
	Length int64
	// Delimited is set if the end of the body is marked by its length or framing,
	// rather than only by the end of the connection.
	Delimited bool
	// Load is the load that the endpoint reports, nil if it reports none.
	Load *LoadHint
	// RateLimit is the number of requests per second that the endpoint accepts from
	// all daemons together, for as long as its responses report it; nil if this one
	// does not.
	RateLimit *float64
	// ColdFor is how long the endpoint reports that it will stay cold, nil if it
	// does not report it.
	ColdFor *time.Duration
	// ImpliesNotRun is set if callers take the status for a statement that the request did
	// not run, which the endpoint doesn't make.
	ImpliesNotRun bool
	// Closing is set if the endpoint closes the connection, as a leaving endpoint
	// does.
	Closing bool
}

// StatusImpliesNotRun reports whether callers take a status for a statement that their request
// did not run and never will.
func StatusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// EndpointCall is the kind of a call to an endpoint.
type EndpointCall string

// The kinds of calls to endpoints.
const (
	CallRequest     EndpointCall = "request"
	CallLoadReport  EndpointCall = "load_report"
	CallHealthCheck EndpointCall = "health_check"
	CallCopy        EndpointCall = "copy"
	CallRelease     EndpointCall = "release"
)

// EndpointNotice is what an endpoint states about itself in the response to a
// call of any kind, whatever its outcome.
type EndpointNotice struct {
	// Leaving is set if the endpoint shuts down and accepts no further requests.
	Leaving bool
	// PauseFor is the time for which the endpoint asks this host to send nothing;
	// zero if it does not ask.
	PauseFor time.Duration
	// RateLimit and ColdFor are as in Answer, nil if the response does not state
	// them. They are not set for requests, whose Answer has them.
	RateLimit *float64
	ColdFor   *time.Duration
	// Refusals is the number of calls of all daemons together that the endpoint
	// withstands to refuse within a second; nil if it states none.
	Refusals *int
	// Call and Status are the kind of the call and the status of the response.
	Call   EndpointCall
	Status int
	// RequestID is the id of the request, or of the run that was copied; empty for
	// other calls.
	RequestID string
}

// IsEmpty reports whether the endpoint states nothing about itself.
func (n *EndpointNotice) IsEmpty() bool {
	return !n.Leaving && n.PauseFor <= 0 && n.RateLimit == nil && n.ColdFor == nil && n.Refusals == nil
}

// LoadHint is the short load report in responses.
type LoadHint struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the endpoint at this moment, as a multiple of
	// the usual time; zero if the endpoint does not state it.
	Slowness float64
}

// Run is a request that runs at an engine, as reported by the engine.
type Run struct {
	RequestID string
	// Tokens is the number of tokens that the run occupies in the cache, Events the
	// number of events that it has produced.
	Tokens int
	Events int
	Rank   int
}

// Copy is a copy of a run's tokens at another engine.
type Copy struct {
	Handle string
	// Events is the number of events that the run had produced.
	Events int
	// Stopped: the engine confirms that it has stopped the run and keeps its memory.
	Stopped bool
}

// Presence is the result of a check of whether an endpoint serves.
type Presence int

// The values of Presence.
const (
	// PresenceUnknown means that no reply came in time, which may be due to the
	// network.
	PresenceUnknown Presence = iota
	// PresenceServing means that the endpoint itself replied.
	PresenceServing
	// PresenceSilent means that connections are accepted and end without a reply.
	PresenceSilent
	// PresenceGone means that nothing listens at the address.
	PresenceGone
	// PresenceReplaced means that another endpoint, or a later start of this one,
	// replied at the address. Unlike the others it can't be due to the network.
	PresenceReplaced
	// PresenceUnreached means that no connection could be established, although the address
	// doesn't refuse them. It shows no more than PresenceUnknown of whether the endpoint
	// serves, but that this daemon has no path to it.
	PresenceUnreached
)

// String returns the name of the value.
func (p Presence) String() string {
	switch p {
	case PresenceServing:
		return "serving"
	case PresenceSilent:
		return "silent"
	case PresenceGone:
		return "gone"
	case PresenceReplaced:
		return "replaced"
	case PresenceUnreached:
		return "unreached"
	default:
		return "unknown"
	}
}

// PathEvidence is an observation of the network path between this daemon and an
// endpoint.
type PathEvidence int

// The observations.
const (
	// PathConnected means that a new connection was established. A proxy or a busy
	// host may have accepted it, so it doesn't show that the endpoint is reached.
	PathConnected PathEvidence = iota
	// PathAnswered means that the endpoint answered on a connection that was open
	// before.
	PathAnswered
	// PathReached means that the endpoint answered on a new connection.
	PathReached
	// PathConnectFailed means that no connection could be established.
	PathConnectFailed
	// PathBroken means that a new connection ended without an answer to a check.
	PathBroken
	// PathSilent means that a check was not answered in time.
	PathSilent
)

// String returns the name of the value.
func (e PathEvidence) String() string {
	switch e {
	case PathConnected:
		return "connected"
	case PathAnswered:
		return "answered on an open connection"
	case PathReached:
		return "answered on a new connection"
	case PathConnectFailed:
		return "connect failed"
	case PathBroken:
		return "connection ended without an answer"
	default:
		return "no answer in time"
	}
}

// Exchanger communicates with the endpoints of routes. Its errors are ErrNotSent,
// ErrRefused, ErrMisdirected, ErrForeignAnswer, ErrEndpointLost and, for
// copies, ErrNoGeneration, ErrNoRoom and ErrCopyInProgress.
type Exchanger interface {
	// Send sends a request once. If the response is not an answer to the request, it may
	// return an Answer without a body together with the error: with ErrRefused for what
	// the endpoint reports on itself, with other errors for its Reply alone.
	Send(ctx context.Context, x *Exchange) (*Answer, error)
	// Load reads an endpoint's load.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// Copy copies a run's tokens from its engine to another; a repeated call sends
	// only the new tokens. If stop is set, the run ends first, and only its
	// continuation at either engine proceeds.
	Copy(ctx context.Context, from Endpoint, requestID string, to Endpoint, stop bool) (Copy, error)
	// CheckPresence checks over a new connection whether an endpoint serves; path is the
	// path of its health check.
	CheckPresence(ctx context.Context, e Endpoint, path string) Presence
	// CheckPath checks over a new connection whether this daemon has a path to an
	// endpoint; path is the path of its health check. The result is also reported as
	// PathEvidence.
	CheckPath(ctx context.Context, e Endpoint, path string) Presence
	// Release frees a copy that will not be used.
	Release(ctx context.Context, e Endpoint, handle string) error
}
