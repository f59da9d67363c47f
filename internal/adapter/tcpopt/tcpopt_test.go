package tcpopt_test

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
)

// Guards against TCP_USER_TIMEOUT on connections opened here, which overrules the probes.
func TestDialersSetProbesAndNoUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, c := range map[string]struct {
		dialer *net.Dialer
		idle   int
	}{
		"endpoint": {tcpopt.EndpointDialer(0), 15},
		"store":    {tcpopt.StoreDialer(0), 15},
		"peer":     {tcpopt.PeerDialer(), 2},
	} {
		conn, err := c.dialer.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if got := option(t, conn, unix.TCP_KEEPIDLE); got != c.idle {
			t.Errorf("%s: probes after %d s, want %d", name, got, c.idle)
		}
		if got := option(t, conn, unix.TCP_USER_TIMEOUT); got != 0 {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms", name, got)
		}
		conn.Close()
	}
}

func option(t *testing.T, conn net.Conn, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	return value
}
