// Package faultproxy stands on loopback between two processes and harms their
// connections: it delays, resets, cuts them one way or lets them fall silent.
// It knows nothing of what passes.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to its connections, old and new, until it is
// changed. The zero value passes all on.
type Harm struct {
	// Refuse resets each new connection.
	Refuse bool
	// HoldForth and HoldBack keep what is sent towards the target, and what
	// comes back from it, until the harm is over.
	HoldForth bool
	HoldBack  bool
	// Delay holds each piece up for so long.
	Delay time.Duration
}

// chunk is the largest piece that is passed on at once, in bytes.
const chunk = 32 << 10

// Proxy is one address in front of another.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	harm    Harm
	changed chan struct{}
	links   map[*link]bool
}

// link is one connection through the proxy.
type link struct {
	near, far net.Conn
	// silent holds it both ways for good.
	silent bool
}

// New serves an address until it is closed.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the harm.
func (p *Proxy) Set(h Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = h
	p.wake()
}

// Reset breaks every connection with a reset; new ones work.
func (p *Proxy) Reset() {
	for _, l := range p.open() {
		l.reset()
	}
}

// Silence lets every open connection hang for good, without a word to either
// end; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
	p.Set(Harm{})
}

// wake has the held connections look again. Needs p.mu.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) open() []*link {
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	p.mu.Lock()
	refuse := p.harm.Refuse
	p.mu.Unlock()
	if refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(l, near, far, true) })
	both.Go(func() { p.pump(l, far, near, false) })
	both.Wait()
	near.Close()
	far.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.wake()
	p.mu.Unlock()
}

// pump passes on one direction until its source ends.
func (p *Proxy) pump(l *link, from, to net.Conn, forth bool) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if !p.pass(l, forth) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				l.reset()
				return
			}
		}
		if err != nil {
			l.end(to, err)
			return
		}
	}
}

// pass waits until a piece may pass, and returns false once the connection is
// broken.
func (p *Proxy) pass(l *link, forth bool) bool {
	for {
		p.mu.Lock()
		harm, changed, silent, open := p.harm, p.changed, l.silent, p.links[l]
		p.mu.Unlock()
		if !open {
			return false
		}
		held := silent || forth && harm.HoldForth || !forth && harm.HoldBack
		if !held {
			time.Sleep(harm.Delay)
			return true
		}
		select {
		case <-changed:
		case <-time.After(heldCheck):
			// A reset of a held connection does not change the harm.
			if l.broken() {
				return false
			}
		}
	}
}

// heldCheck is the time between looks at whether a held connection was reset.
const heldCheck = 50 * time.Millisecond

// broken reports whether this proxy has reset the connection.
func (l *link) broken() bool { return l.near.SetReadDeadline(time.Time{}) != nil }

// end passes the end of one direction on: as an end, or as a reset.
func (l *link) end(to net.Conn, err error) {
	if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		// The other end may be gone already.
		_ = half.CloseWrite()
		return
	}
	l.reset()
}

func (l *link) reset() {
	reset(l.near)
	reset(l.far)
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that is closed has nothing left to reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
