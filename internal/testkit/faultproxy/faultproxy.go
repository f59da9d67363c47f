// Package faultproxy implements a TCP proxy on loopback that injects faults into
// connections: delays, resets, refusals, and data held in one or both directions.
// It does not interpret the data.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Faults is the set of faults that a proxy applies to open and new connections
// until the next call of Set. The zero value forwards all data unchanged.
type Faults struct {
	// Refuse resets each new connection.
	Refuse bool
	// HoldUpstream holds data sent to the target, and HoldDownstream data sent to
	// the client, until the field is cleared.
	HoldUpstream   bool
	HoldDownstream bool
	// HoldNew holds new connections before they reach the target, until the field is
	// cleared.
	HoldNew bool
	// Delay is the time by which each chunk is delayed.
	Delay time.Duration
}

// maxChunk is the largest number of bytes forwarded at once.
const maxChunk = 32 << 10

// Proxy forwards connections from its own address to a target address.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	harm Faults
	// bySource holds the faults of clients with their own; they replace harm.
	bySource map[string]Faults
	changed  chan struct{}
	links    map[*link]bool
}

// link is one connection through the proxy.
type link struct {
	client, target net.Conn
	// stalled holds the data of both directions until the connection is closed.
	stalled bool
}

// New starts a proxy that listens on address and forwards to target. Close stops
// it.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the proxy's listen address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults applied to open and new connections.
func (p *Proxy) Set(h Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	p.notifyChanged()
}

// SetFrom replaces the faults applied to the connections of the clients that connect
// from one IP address. They don't depend on Set until ClearFrom is called.
func (p *Proxy) SetFrom(source string, h Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bySource == nil {
		p.bySource = map[string]Faults{}
	}
	p.bySource[source] = h
	p.notifyChanged()
}

// ClearFrom lets the connections of the clients that connect from one IP address depend
// on Set again.
func (p *Proxy) ClearFrom(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.bySource, source)
	p.notifyChanged()
}

// faultsOf returns the faults applied to a client's connection. The caller must hold
// p.mu.
func (p *Proxy) faultsOf(client net.Conn) Faults {
	if own, set := p.bySource[sourceOf(client)]; set {
		return own
	}
	return p.harm
}

// sourceOf returns the IP address that a client connects from.
func sourceOf(client net.Conn) string {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	return host
}

// Reset closes every open connection with a TCP reset. New connections are not
// affected.
func (p *Proxy) Reset() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// ResetFrom closes the open connections of the clients that connect from one IP
// address with a TCP reset.
func (p *Proxy) ResetFrom(source string) {
	for _, l := range p.openLinks() {
		if sourceOf(l.client) == source {
			l.reset()
		}
	}
}

// Stall permanently stops forwarding on every open connection, without closing
// it. New connections are not affected.
func (p *Proxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.stalled = true
	}
}

// Close closes the listener and resets all open connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
	p.Set(Faults{})
}

// notifyChanged makes held connections check the faults again. The caller must
// hold p.mu.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if p.waitUnheld(client).Refuse {
		reset(client)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	l := &link{client: client, target: target}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(l, client, target, true) })
	directions.Go(func() { p.forward(l, target, client, false) })
	directions.Wait()
	client.Close()
	target.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.notifyChanged()
	p.mu.Unlock()
}

// waitUnheld waits until a new connection may reach the target, and returns the faults that
// apply to it then.
func (p *Proxy) waitUnheld(client net.Conn) Faults {
	for {
		p.mu.Lock()
		harm, changed := p.faultsOf(client), p.changed
		p.mu.Unlock()
		if !harm.HoldNew {
			return harm
		}
		<-changed
	}
}

// forward copies the data of one direction until the source ends or the
// connection is reset.
func (p *Proxy) forward(l *link, from, to net.Conn, upstream bool) {
	buffer := make([]byte, maxChunk)
	for {
		n, err := from.Read(buffer)
		if !p.waitAllowed(l, upstream) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			l.propagateEnd(to, err)
			return
		}
	}
}

// waitAllowed waits until a chunk may be forwarded. It returns false if the
// connection has been reset or removed.
func (p *Proxy) waitAllowed(l *link, upstream bool) bool {
	for {
		p.mu.Lock()
		harm, changed, stalled, open := p.faultsOf(l.client), p.changed, l.stalled, p.links[l]
		p.mu.Unlock()
		if !open {
			return false
		}
		held := stalled || upstream && harm.HoldUpstream || !upstream && harm.HoldDownstream
		if !held {
			time.Sleep(harm.Delay)
			return true
		}
		select {
		case <-changed:
		case <-time.After(resetPollInterval):
			// A reset does not notify p.changed, so check for it here.
			if l.isClosed() {
				return false
			}
		}
	}
}

// resetPollInterval is the interval at which a held connection checks whether it
// has been reset.
const resetPollInterval = 50 * time.Millisecond

// isClosed reports whether this proxy has closed the connection.
func (l *link) isClosed() bool { return l.client.SetReadDeadline(time.Time{}) != nil }

// propagateEnd half-closes the other side after an EOF, and resets the connection
// after any other error.
func (l *link) propagateEnd(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		// This fails if the other side is already closed.
		_ = tcp.CloseWrite()
		return
	}
	l.reset()
}

func (l *link) reset() {
	reset(l.client)
	reset(l.target)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// This fails if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
