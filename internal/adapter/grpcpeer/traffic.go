package grpcpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
)

// Traffic counts what one connection to a peer carries. A link that is taken
// for silent while bytes still come is a busy one, and not a frozen peer: only
// the bytes tell, as a message counts once it is whole.
type Traffic struct {
	sent, received atomic.Int64
	// heard is when bytes last came, in Unix nanoseconds; zero for never.
	heard atomic.Int64
}

// DialOption counts the connections that are dialled with it.
func (t *Traffic) DialOption() grpc.DialOption {
	var dialer net.Dialer
	return grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	})
}

// Sent counts the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received counts the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Quiet is the time since bytes last came; negative where none ever did.
func (t *Traffic) Quiet(now time.Time) time.Duration {
	heard := t.heard.Load()
	if heard == 0 {
		return -1
	}
	return max(0, now.Sub(time.Unix(0, heard)))
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.traffic.received.Add(int64(n))
		c.traffic.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
