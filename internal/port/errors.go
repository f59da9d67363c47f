package port

import "github.com/ansel1/merry/v2"

// Errors of the platform adapter.
var (
	ErrConflict            = merry.Sentinel("platform: the object has another version")
	ErrNotFound            = merry.Sentinel("platform: no such object")
	ErrPlatformUnavailable = merry.Sentinel("platform: not reachable; nothing was written")
	ErrOutcomeUnknown      = merry.Sentinel("platform: the reply was lost; the write may have taken effect")
	ErrThrottled           = merry.Sentinel("platform: rate limit reached")
	// ErrRevisionGone means that the history starting at that revision is no longer
	// stored.
	ErrRevisionGone = merry.Sentinel("platform: revision is too old to watch from")
	ErrTooLarge     = merry.Sentinel("platform: the value is over the size limit")
)

// Errors of the endpoint adapters.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = merry.Sentinel("endpoint: the request was not sent")
	// ErrRefused means that the endpoint itself reported that it did not accept the
	// request.
	ErrRefused = merry.Sentinel("endpoint: refused the request")
	// ErrRejected means that the endpoint itself reported that it did not start the
	// request and cannot accept it, now or later.
	ErrRejected = merry.Sentinel("endpoint: rejected the request")
	// ErrEndpointLost means that the connection failed after the request was sent.
	ErrEndpointLost = merry.Sentinel("endpoint: connection lost")
	// ErrNoGeneration means that the engine does not have the generation.
	ErrNoGeneration = merry.Sentinel("endpoint: no such generation")
	// ErrMisdirected means that another endpoint now has the address; it did not
	// accept the request.
	ErrMisdirected = merry.Sentinel("endpoint: another endpoint has the address")
	// ErrForeignAnswer means that the connection carried a response to another
	// request, or bytes that are no response. The outcome of the request is unknown.
	ErrForeignAnswer = merry.Sentinel("endpoint: answer of another request")
	// ErrNoRoom means that the destination of a copy has no room or cannot be
	// reached.
	ErrNoRoom = merry.Sentinel("endpoint: no room for a copy")
	// ErrCopyInProgress means that another call copies the run at this moment.
	ErrCopyInProgress = merry.Sentinel("endpoint: a copy of the run is in progress")
	// ErrStaleFence means that the endpoint has received a larger fencing number.
	ErrStaleFence = merry.Sentinel("endpoint: fencing number is stale")
)
