package oncehttp

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// PresenceOf judges an endpoint by what a question to it came to. Whatever it
// answers, it serves.
func PresenceOf(err error) port.Presence {
	switch {
	case err == nil, merry.Cause(err) == nil:
		return port.PresenceServing
	case errors.Is(err, syscall.ECONNREFUSED):
		return port.PresenceGone
	case errors.Is(err, syscall.ECONNRESET):
		// Also while the connection comes about: somebody took it, and ended it.
		return port.PresenceSilent
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), neverConnected(err):
		return port.PresenceUnknown
	default:
		return port.PresenceSilent
	}
}

// PresenceOfReport judges an endpoint by its report. One of another incarnation,
// or of another endpoint, shows that this one has ended.
func PresenceOfReport(e port.Endpoint, r *port.LoadReport, err error) port.Presence {
	if err == nil && (r.EndpointID != e.ID || r.Incarnation != e.Incarnation) {
		return port.PresenceGone
	}
	return PresenceOf(err)
}

// neverConnected reports whether no connection came about.
func neverConnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
