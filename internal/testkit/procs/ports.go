package procs

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports are below the ephemeral range, so that no outgoing connection can
// use the port of a daemon while it restarts.
const (
	firstPort  = 18_000
	lastPort   = 32_000
	blockPorts = 200
)

// Ports allocates loopback ports from blocks that this process has reserved. A
// listener on a block's first port keeps other processes from reserving it.
type Ports struct {
	mu     sync.Mutex
	guards []net.Listener
	next   int
	end    int
}

// NewPorts returns an allocator with one reserved block.
func NewPorts() (*Ports, error) {
	p := &Ports{}
	return p, p.reserveBlock()
}

// reserveBlock reserves a further block. The caller must hold p.mu, unless p is
// not yet shared.
func (p *Ports) reserveBlock() error {
	blocks := (lastPort - firstPort) / blockPorts
	for i := range blocks {
		block := (os.Getpid() + i) % blocks
		base := firstPort + block*blockPorts
		guard, err := net.Listen("tcp", loopbackAddress(base))
		if err == nil {
			p.guards = append(p.guards, guard)
			p.next, p.end = base+1, base+blockPorts
			return nil
		}
	}
	return fmt.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}

// Next returns a loopback address on which nothing listens.
func (p *Ports) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(p.next)
		p.next++
		if !isListening(address) {
			return address, nil
		}
	}
}

// isListening reports whether a connection to the address succeeds. Listening on
// the port instead could leave it in use for a moment after the close: a process
// forked in the meantime holds a copy of the listener until its exec, and the
// daemon that gets the port would fail with "address already in use".
func isListening(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Close releases the blocks.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, guard := range p.guards {
		guard.Close()
	}
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
