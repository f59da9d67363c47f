package grpcpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
)

// dialPeer connects to a peer address.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return tcpopt.PeerDialer().DialContext(ctx, "tcp", address)
}

// Traffic counts the bytes of the connections to one peer. It distinguishes a busy
// link from a frozen peer: a message counts only once it is complete, so a link can
// be considered silent while bytes still arrive.
type Traffic struct {
	sent, received atomic.Int64
	// lastReceived is when bytes last arrived, in Unix nanoseconds, or zero.
	lastReceived atomic.Int64
}

// DialOption returns an option that counts the traffic of the connections made with
// it.
func (t *Traffic) DialOption() grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialPeer(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	})
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// SinceReceived returns the time since bytes last arrived. It is negative if none arrived.
func (t *Traffic) SinceReceived(now time.Time) time.Duration {
	last := t.lastReceived.Load()
	if last == 0 {
		return -1
	}
	return max(0, now.Sub(time.Unix(0, last)))
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.traffic.received.Add(int64(n))
		c.traffic.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
