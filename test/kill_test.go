package test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Kills any one process. Each remaining router must answer a generation and a
// repeatable call, and the entry must stop listing a killed router.
func TestKillingAnyOneProcessLeavesTheRestServing(t *testing.T) {
	victims := map[string]func(*procs.System) *procs.Daemon{
		"platform": func(s *procs.System) *procs.Daemon { return s.Platform },
		"weights":  func(s *procs.System) *procs.Daemon { return s.Weights },
		"engine":   func(s *procs.System) *procs.Daemon { return s.Engines[0] },
		"service":  func(s *procs.System) *procs.Daemon { return s.Services[0] },
		"keeper":   func(s *procs.System) *procs.Daemon { return s.Keepers[0] },
		"router":   func(s *procs.System) *procs.Daemon { return s.Routers[0] },
	}
	for name, pick := range victims {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := procs.StartDemo(t, func(l *procs.Layout) { l.Services = 2 })
			victim := pick(s)
			victim.Kill()
			c := s.Caller(procs.DemoOrganisation)
			for _, router := range s.Routers {
				if router == victim {
					continue
				}
				waitServing(t, s, router)
				procs.Until(t, "a repeatable call is answered", func() bool {
					reply, err := c.Service(testContext(t), router.Address, repeatableCall())
					return err == nil && reply.Status == http.StatusOK
				})
				procs.Until(t, "the entry lists live routers only", func() bool {
					client := *c
					client.Seeds = []string{router.Address}
					entry, err := client.Entry(testContext(t), procs.DemoModel)
					return err == nil && len(entry.Addresses) > 0 && !slices.Contains(entry.Addresses, deadAddress(victim))
				})
			}
		})
	}
}

// deadAddress returns the address of the victim if it is a router, and an empty
// string otherwise.
func deadAddress(victim *procs.Daemon) string {
	if victim.Peers == "" {
		return ""
	}
	return victim.Address
}
