package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Keepers freeze, resume and restart, the platform goes down, replies and orders
// are lost, orders arrive late, and versions change. A runner that ignores fencing
// numbers must not receive an older number after a newer one, a runner that checks
// them must never accept an older one, loads must stay within the budget, and no
// rollout may leave a model without a runner that serves it.
func TestPlacementAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &stateMachine{t: rt, system: newSystem(rt, 3), frozen: make([]bool, 3)}
		m.fleet.Add("a1", true, "m")
		m.fleet.Add("b1", false, "m")
		m.fleet.Add("c1", false)
		for _, r := range m.fleet.Runners {
			r.InPlace = true
		}
		m.fleet.Fault = m.fault
		m.version = 1
		m.deploy(deploymentRecord("m", "1", 2, 1))
		for range 120 {
			m.step()
			m.check()
		}
		m.converge()
	})
}

type stateMachine struct {
	*system
	t       *rapid.T
	frozen  []bool
	version int
	session int
	delayed []delayedOrder
	// faults holds the faults of the next orders. They are drawn before a pass
	// because other goroutines send its orders.
	faults []int
}

// noFault is the draw for an order that is delivered.
const noFault = 9

type delayedOrder struct {
	endpoint  string
	order     port.Order
	deliverBy time.Time
}

// fault loses some orders. A lost order may never arrive, may have been carried
// out, or may arrive later.
func (m *stateMachine) fault(e port.Endpoint, o port.Order) error {
	fault := noFault
	if len(m.faults) > 0 {
		fault, m.faults = m.faults[0], m.faults[1:]
	}
	switch fault {
	case 0:
		return port.ErrNotSent
	case 1:
		return port.ErrEndpointLost
	case 2:
		deliverBy := m.now.Add(2 * testTerms.OrderTimeout)
		m.delayed = append(m.delayed, delayedOrder{e.ID, o, deliverBy})
		return port.ErrEndpointLost
	}
	return nil
}

func (m *stateMachine) step() {
	i := rapid.IntRange(0, len(m.loops)-1).Draw(m.t, "keeper")
	action := rapid.SampledFrom([]string{
		"lease", "lease", "lease", "pass", "pass", "pass", "time", "time", "freeze", "wake", "wake",
		"down", "lose", "finish", "finish", "deliver", "restart", "revise",
	}).Draw(m.t, "action")
	switch {
	case action == "lease" && !m.frozen[i]:
		m.leasePass(i)
	case action == "pass" && !m.frozen[i]:
		m.faults = rapid.SliceOfN(rapid.IntRange(0, noFault), 3, 3).Draw(m.t, "faults")
		m.pass(i)
	case action == "time":
		m.advanceTime(time.Duration(rapid.IntRange(100, 5000).Draw(m.t, "ms")) * time.Millisecond)
	case action == "freeze" || action == "wake":
		m.frozen[i] = action == "freeze"
	case action == "down":
		m.platform.down = rapid.Bool().Draw(m.t, "down")
	case action == "lose":
		m.platform.loseReply = true
	case action == "finish":
		m.fleet.FinishLoads()
	case action == "deliver":
		m.deliverDelayed(len(m.delayed))
	case action == "restart":
		m.session++
		m.startKeeper(m.t, i, fmt.Sprint("restart-", m.session))
	case action == "revise":
		m.version++
		m.deploy(deploymentRecord("m", fmt.Sprint(m.version), rapid.IntRange(1, 2).Draw(m.t, "replicas"), 1))
	}
}

// advanceTime delivers the delayed orders whose latest delivery falls within d.
func (m *stateMachine) advanceTime(d time.Duration) {
	end := m.now.Add(d)
	var remaining []delayedOrder
	for _, l := range m.delayed {
		if l.deliverBy.Before(end) {
			m.deliverOrder(l)
		} else {
			remaining = append(remaining, l)
		}
	}
	m.delayed = remaining
	m.advance(d)
}

func (m *stateMachine) deliverDelayed(n int) {
	for _, l := range m.delayed[:n] {
		m.deliverOrder(l)
	}
	m.delayed = m.delayed[n:]
}

func (m *stateMachine) deliverOrder(l delayedOrder) {
	_ = m.fleet.Deliver(l.endpoint, l.order)
}

func (m *stateMachine) check() {
	for id, r := range m.fleet.Runners {
		for i := 1; i < len(r.AppliedFences); i++ {
			if r.AppliedFences[i] < r.AppliedFences[i-1] {
				m.t.Fatalf("runner %s carried out an order with fencing number %d after %d", id, r.AppliedFences[i], r.AppliedFences[i-1])
			}
		}
	}
	if n := m.fleet.Loading(); n > 2 {
		m.t.Fatalf("%d concurrent loads, the budget is 2", n)
	}
	if serving, _ := m.fleet.Serving("m", ""); serving == 0 {
		m.t.Fatal("no runner serves the model")
	}
}

// converge ends the faults and checks that the last revision comes into force.
func (m *stateMachine) converge() {
	m.platform.down, m.platform.loseReply, m.fleet.Fault = false, false, nil
	m.deliverDelayed(len(m.delayed))
	m.deploy(deploymentRecord("m", "final", 2, 1))
	for range 60 {
		for i := range m.loops {
			m.leasePass(i)
			m.pass(i)
		}
		m.check()
		m.fleet.FinishLoads()
		m.advance(2 * time.Second)
	}
	if serving, current := m.fleet.Serving("m", "final"); serving != 2 || current != 2 {
		m.t.Fatalf("%d replicas, %d of them with version final, want 2 of 2", serving, current)
	}
}
