package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
)

// meter counts the bytes that one daemon sends and receives over its
// connections.
type meter struct {
	sent, received atomic.Int64
	// segments counts the writes. Each causes at least one packet and its ACK.
	segments atomic.Int64
}

// gate blocks all traffic of a daemon while it is cut. Connections stay open, as
// on a link that drops all packets.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// wait blocks while the gate is cut, at most until the connection is closed.
func (g *gate) wait(closed <-chan struct{}) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	case <-closed:
	}
}

// meteredConn counts the traffic of one connection of a daemon and blocks it
// while the gate is cut.
type meteredConn struct {
	net.Conn
	meter  *meter
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func metered(c net.Conn, m *meter, g *gate) net.Conn {
	return &meteredConn{Conn: c, meter: m, gate: g, closed: make(chan struct{})}
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.wait(c.closed)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.gate.wait(c.closed)
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	c.meter.segments.Add(1)
	return n, err
}

func (c *meteredConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// meteredListener wraps the connections that a daemon accepts in a meteredConn.
type meteredListener struct {
	net.Listener
	meter *meter
	gate  *gate
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return metered(c, l.meter, l.gate), nil
}

// dialer returns an option that wraps the connections that a daemon opens in a
// meteredConn.
func dialer(m *meter, g *gate) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return metered(c, m, g), nil
	})
}
