package procs

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against allocating a port that is still in use because a concurrently
// forked process holds a copy of a listener on it. A daemon given such a port
// ends with "address already in use".
func TestPortsAreFreeWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var forks sync.WaitGroup
	for range 8 {
		forks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	inUse := 0
	for range 20 {
		ports, err := NewPorts()
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			address, err := ports.Next()
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", address)
			if err != nil {
				inUse++
				continue
			}
			l.Close()
		}
		ports.Close()
	}
	close(stop)
	forks.Wait()
	if inUse > 0 {
		t.Fatalf("%d of 2000 allocated ports were in use", inUse)
	}
}
