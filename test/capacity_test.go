package test

import (
	"regexp"
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

var coordinatorChange = regexp.MustCompile(`"event":"coordinator_changed".*"to":"([^"]*)"`)

// coordinator returns the daemon that coordinates the runners' pool by a daemon's log.
func coordinator(d *testfleet.Daemon) string {
	lines := coordinatorChange.FindAllSubmatch(d.Log(), -1)
	if len(lines) == 0 {
		return ""
	}
	return string(lines[len(lines)-1][1])
}

// Guards against capacities that don't reach the other daemons, and against a pool
// without a coordinator after the only large host was killed.
func TestOnlyLargeHostCoordinatesUntilItIsKilled(t *testing.T) {
	t.Parallel()
	capacity := func(processor float64) map[string]any {
		return map[string]any{"capacity": map[string]any{"processor": processor, "link_mbps": 10, "memory_mb": 112, "descriptors": 1024}}
	}
	// Each daemon is the large one in turn, so that hashing can't choose it by chance.
	f := startFleet(t, func(l *testfleet.Layout) { l.Settings = capacity(0.2) })
	for _, large := range f.Daemons {
		large.Kill()
		f.Layout.Settings = capacity(0.8)
		if err := f.StartDaemon(large); err != nil {
			t.Fatal(err)
		}
		others := slices.DeleteFunc(slices.Clone(f.Daemons), func(d *testfleet.Daemon) bool { return d == large })
		for _, d := range f.Daemons {
			procs.Until(t, d.ID+" takes "+large.ID+" for the coordinator", func() bool {
				f.waitServing(d)
				return coordinator(d) == large.ID
			})
		}
		for _, d := range others {
			if !slices.Contains(f.Resolve(testContext(t), d), large.Callers) {
				t.Errorf("%s leaves out the large host", d.ID)
			}
		}
		large.Kill()
		for _, d := range others {
			procs.Until(t, d.ID+" takes another daemon for the coordinator", func() bool {
				f.waitServing(d)
				return coordinator(d) != large.ID
			})
		}
		f.Layout.Settings = capacity(0.2)
		if err := f.StartDaemon(large); err != nil {
			t.Fatal(err)
		}
	}
}
