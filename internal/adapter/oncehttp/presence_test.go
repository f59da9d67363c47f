package oncehttp_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/oncehttp"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against taking a crash for a network failure: the proxy in front of a
// crashed endpoint accepts connections and resets them.
func TestPresenceOf(t *testing.T) {
	dial := func(err error) error {
		return merry.Wrap(port.ErrNotSent, merry.WithCause(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}))
	}
	for _, c := range []struct {
		name string
		err  error
		want port.Presence
	}{
		{"an answer", nil, port.PresenceServing},
		{"refused", dial(syscall.ECONNREFUSED), port.PresenceGone},
		{"reset at once", dial(syscall.ECONNRESET), port.PresenceSilent},
		{"reset later", merry.Wrap(port.ErrEndpointLost, merry.WithCause(syscall.ECONNRESET)), port.PresenceSilent},
		{"unreachable", dial(syscall.EHOSTUNREACH), port.PresenceUnreached},
		{"no answer to the connect", dial(syscall.ETIMEDOUT), port.PresenceUnreached},
		{"no file for the connection", dial(syscall.EMFILE), port.PresenceUnknown},
		{"no port for the connection", dial(syscall.EADDRNOTAVAIL), port.PresenceUnknown},
		{"no answer in time", merry.Wrap(port.ErrEndpointLost, merry.WithCause(context.DeadlineExceeded)), port.PresenceUnknown},
	} {
		if got := oncehttp.PresenceOf(c.err); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
