package port

import "github.com/ansel1/merry/v2"

// Errors of the platform adapter.
var (
	ErrConflict            = merry.Sentinel("platform: the object has another version")
	ErrNotFound            = merry.Sentinel("platform: no such object")
	ErrPlatformUnavailable = merry.Sentinel("platform: not reachable; nothing was written")
	ErrOutcomeUnknown      = merry.Sentinel("platform: the reply was lost; the write may have taken effect")
	ErrThrottled           = merry.Sentinel("platform: rate limit reached")
	// ErrRevisionGone: the history from that revision on is no longer kept.
	ErrRevisionGone = merry.Sentinel("platform: revision is too old to watch from")
	ErrTooLarge     = merry.Sentinel("platform: the value is over the size limit")
)

// Errors of the endpoint adapters.
var (
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = merry.Sentinel("endpoint: the request was not sent")
	// ErrRefused: the endpoint itself said that it did not take the request.
	ErrRefused = merry.Sentinel("endpoint: refused the request")
	// ErrRejected: the endpoint itself said that the request is not one that
	// it can take, now or later, and that it did not start it.
	ErrRejected = merry.Sentinel("endpoint: rejected the request")
	// ErrEndpointLost: the connection failed after the request was sent.
	ErrEndpointLost = merry.Sentinel("endpoint: connection lost")
	// ErrNoGeneration: the engine does not hold the generation.
	ErrNoGeneration = merry.Sentinel("endpoint: no such generation")
	// ErrMisdirected: another endpoint has the address now; it did not take
	// the request.
	ErrMisdirected = merry.Sentinel("endpoint: another endpoint has the address")
	// ErrForeignAnswer: the connection carried an answer to another request,
	// or bytes that are no answer. What became of the request isn't known.
	ErrForeignAnswer = merry.Sentinel("endpoint: answer of another request")
	// ErrNoRoom: the destination of a copy has no room or can't be reached.
	ErrNoRoom = merry.Sentinel("endpoint: no room for a copy")
	// ErrStaleFence: the endpoint has seen a larger fencing number.
	ErrStaleFence = merry.Sentinel("endpoint: fencing number is stale")
)
