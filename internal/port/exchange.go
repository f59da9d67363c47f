package port

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Exchange is one request that is passed on to an endpoint as it came: the
// system doesn't read its body.
type Exchange struct {
	RequestID string
	Endpoint  Endpoint
	Method    string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers that concern the endpoint.
	Header http.Header
	Body   []byte
	// Organisation is empty where the route asks for no key.
	Organisation string
	// Remaining is the time after which the caller has no use for an answer.
	Remaining time.Duration
	// Generation is nil for calls of plain services.
	Generation *GenerationTerms
}

// GenerationTerms are what the system asks of an engine beside the request.
type GenerationTerms struct {
	// Rank is the request's urgency at the engine; zero goes first, and may
	// preempt what runs there.
	Rank int
	// BackupAddress is the engine that gets a copy of the run's tokens while
	// they grow; empty for none.
	BackupAddress string
	// Continue, where set, takes up the run from a copy of its tokens.
	Continue *Continuation
}

// Continuation names the copy from which a run is taken up.
type Continuation struct {
	// Address is the engine that gave out the handle, or that holds the
	// backup.
	Address string
	// Handle names the copy; a backup is named by the request's id.
	Handle string
	// LastEventID is the last event that the caller has, empty for none.
	LastEventID string
}

// Answer is what an endpoint answers to an Exchange.
type Answer struct {
	Status int
	Header http.Header
	// Body is closed by whoever gets the answer. Its end is io.EOF only where
	// the endpoint ended it properly.
	Body io.ReadCloser
	// Length is the body's length, -1 where the endpoint doesn't say.
	Length int64
	// Delimited: the end of the body shows by its length or framing, and not
	// only by the end of the connection.
	Delimited bool
	// Load is the endpoint's word on its load, nil where it says none.
	Load *LoadHint
	// RateLimit is the requests a second that the endpoint takes from all daemons
	// together, as long as its answers say so; nil where this one says none.
	RateLimit *float64
	// ColdFor is how long the endpoint says that it stays cold, nil where it says
	// nothing.
	ColdFor *time.Duration
	// Closing: the endpoint closes the connection, as one that leaves does.
	Closing bool
}

// LoadHint is the short word on load that rides on answers.
type LoadHint struct {
	Running int
	Waiting int
	Slots   int
}

// Run is one request that runs at an engine, by the engine's own word.
type Run struct {
	RequestID string
	// Tokens is its room in the cache, Events the events it has made.
	Tokens int
	Events int
	Rank   int
}

// Copy is a copy of a run's tokens at another engine.
type Copy struct {
	Handle string
	// Events is the number of events that the run had made.
	Events int
}

// Presence is what a look at an endpoint shows.
type Presence int

// The presences.
const (
	// PresenceUnknown: no answer in time, which may be the network's fault.
	PresenceUnknown Presence = iota
	// PresenceServing: the endpoint itself answers.
	PresenceServing
	// PresenceSilent: connections are taken and end without an answer.
	PresenceSilent
	// PresenceGone: nothing listens at its address, or another endpoint does.
	PresenceGone
)

// Exchanger reaches the endpoints of routes. Its errors are ErrNotSent,
// ErrRefused, ErrMisdirected, ErrForeignAnswer, ErrEndpointLost and, for
// copies, ErrNoGeneration and ErrNoRoom.
type Exchanger interface {
	// Send sends a request once. With ErrRefused it may return an answer, without
	// a body, for what the endpoint says of itself.
	Send(ctx context.Context, x *Exchange) (*Answer, error)
	// Load reads an endpoint's load.
	Load(ctx context.Context, e Endpoint) (LoadReport, error)
	// Copy copies a run's tokens from its engine to another; a repeated call
	// sends what is new. With stop the run ends first, and only its
	// continuation at either engine goes on.
	Copy(ctx context.Context, from Endpoint, requestID string, to Endpoint, stop bool) (Copy, error)
	// Look finds out over a new connection whether an endpoint serves; path is
	// that of its health check.
	Look(ctx context.Context, e Endpoint, path string) Presence
	// Release frees a copy that will not be used.
	Release(ctx context.Context, e Endpoint, handle string) error
}
