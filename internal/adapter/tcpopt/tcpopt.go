// Package tcpopt decides when the system's connections count as dead: the keep-alive
// probes of the connections that it opens, and the pings and time-outs of those that it
// accepts from peers. TCP_USER_TIMEOUT is set on none of those opened here: it also
// ends the keep-alive probes, whatever their count, and would end a request at an endpoint
// that is only slow to acknowledge.
package tcpopt

import (
	"net"
	"time"

	"google.golang.org/grpc/keepalive"
)

// EndpointDialer returns the dialer for connections to endpoints. A silent endpoint is no
// reason to end an answer before the caller's deadline, so the probes only free the
// connections of hosts that are gone.
func EndpointDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
}

// StoreDialer returns the dialer for connections to the store. Each call to it has a
// time-out of its own, so the usual probes suffice.
func StoreDialer(timeout time.Duration) *net.Dialer { return &net.Dialer{Timeout: timeout} }

// PeerDialer returns the dialer for connections to other daemons. A request that was
// passed on waits on such a connection without any traffic, so a peer whose host has
// vanished is found by probes: after 2 s without traffic and three probes, 3.5 s.
func PeerDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: 500 * time.Millisecond, Count: 3,
	}}
}

// PeerServer returns the keep-alive parameters of the server for other daemons. The
// connection of a frozen or cut-off subscriber stays open, and sending to it would block
// once its window is full. grpc-go sets TCP_USER_TIMEOUT to Timeout on these connections,
// so data that a peer doesn't acknowledge closes them after 5 s as well. Missing heartbeats
// show a silent peer earlier.
func PeerServer() keepalive.ServerParameters {
	return keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}
}
