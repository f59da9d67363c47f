package tcpopt

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers are the socket buffers of a connection, in bytes; zero means the system's default,
// which grows to several MB. Linux doubles the values for its own overhead.
type Buffers struct{ ReceiveBytes, SendBytes int }

// Control sets the buffers of a socket before it connects or listens, for net.Dialer and
// net.ListenConfig. Accepted connections inherit those of their listener.
func (b Buffers) Control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		for option, bytes := range map[int]int{unix.SO_RCVBUF: b.ReceiveBytes, unix.SO_SNDBUF: b.SendBytes} {
			if bytes > 0 {
				failed = errors.Join(failed, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes))
			}
		}
	})
	return errors.Join(err, failed)
}

// Listen listens on a TCP address for connections with these buffers.
func (b Buffers) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{}
	if b != (Buffers{}) {
		config.Control = b.Control
	}
	return config.Listen(ctx, "tcp", address)
}
