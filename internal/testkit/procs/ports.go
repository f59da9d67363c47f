package procs

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports come from blocks below the ephemeral range, so that no outgoing
// connection takes the port of a daemon that is restarting.
const (
	firstPort  = 18_000
	lastPort   = 32_000
	blockPorts = 200
)

// Ports allots loopback ports from blocks that one process holds: the listener
// on a block's first port keeps other processes away from it.
type Ports struct {
	mu     sync.Mutex
	guards []net.Listener
	next   int
	end    int
}

// NewPorts takes a free block.
func NewPorts() (*Ports, error) {
	p := &Ports{}
	return p, p.take()
}

// take takes one more free block. Needs p.mu.
func (p *Ports) take() error {
	blocks := (lastPort - firstPort) / blockPorts
	for i := range blocks {
		block := (os.Getpid() + i) % blocks
		base := firstPort + block*blockPorts
		guard, err := net.Listen("tcp", loopback(base))
		if err == nil {
			p.guards = append(p.guards, guard)
			p.next, p.end = base+1, base+blockPorts
			return nil
		}
	}
	return fmt.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}

// Next returns an address with a port that nothing listens on.
func (p *Ports) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.take(); err != nil {
				return "", err
			}
		}
		address := loopback(p.next)
		p.next++
		if !listens(address) {
			return address, nil
		}
	}
}

// listens asks by connecting. Listening on the port to see whether it is free
// would keep it busy for a moment after the close: a process that another test
// starts just then holds a copy of the listener until it executes, and the
// daemon that the port was meant for finds it in use.
func listens(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Close gives the blocks back.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, guard := range p.guards {
		guard.Close()
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
