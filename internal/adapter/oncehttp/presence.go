package oncehttp

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// errInvalidResponse means that what came in response to a request is no whole head of an
// HTTP response, or no whole document. Somebody answers then, but it isn't known who.
var errInvalidResponse = errors.New("oncehttp: not an HTTP response")

// PresenceOf derives an endpoint's presence from the error of a request to it.
// Any answer means that the endpoint serves.
func PresenceOf(err error) port.Presence {
	switch {
	case err == nil, merry.Cause(err) == nil:
		return port.PresenceServing
	case errors.Is(err, syscall.ECONNREFUSED):
		return port.PresenceGone
	case errors.Is(err, errInvalidResponse):
		return port.PresenceUnknown
	case errors.Is(err, syscall.ECONNRESET):
		// This also applies to a reset during the connect: the connection was
		// accepted and then closed.
		return port.PresenceSilent
	case isUnreached(err):
		return port.PresenceUnreached
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), neverConnected(err):
		return port.PresenceUnknown
	default:
		return port.PresenceSilent
	}
}

// PresenceOfReport derives an endpoint's presence from its load report. A report
// of another endpoint or incarnation at its address means that it has ended.
func PresenceOfReport(e port.Endpoint, r *port.LoadReport, err error) port.Presence {
	if err == nil && (r.EndpointID != e.ID || r.Incarnation != e.Incarnation) {
		return port.PresenceGone
	}
	return PresenceOf(err)
}

// isUnreached reports whether a connect failed because of the network. Other connects fail for
// a reason on this host, as a lack of files or ports.
func isUnreached(err error) bool {
	var failed *net.OpError
	if !errors.As(err, &failed) || failed.Op != "dial" || errors.Is(err, context.Canceled) {
		return false
	}
	return failed.Timeout() || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTDOWN)
}

// neverConnected reports whether no connection was established.
func neverConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
