package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Modes of a run. A run of any other mode has no faults.
const (
	// modeSlow delays each platform call by slowMillis.
	modeSlow = "slow"
	// modeCut blocks all connections of one keeper after another, each for
	// changesBetweenCuts changes.
	modeCut = "cut"
	// modeWatched makes each change at a keeper outside the fleet, so that the
	// fleet receives it only through its watches of the platform. This is the
	// case of a keeper that stops right after it has accepted a change.
	modeWatched = "watched"
)

const (
	slowMillis = 1000
	// changesBetweenCuts is the number of changes during which one keeper stays
	// cut.
	changesBetweenCuts = 50
	convergeTimeout    = 60 * time.Second
)

type convergenceCommand struct {
	Changes int      `long:"changes" default:"200" description:"changes of each mode"`
	Keepers int      `long:"keepers" default:"6"`
	Routers int      `long:"routers" default:"24"`
	Modes   []string `long:"mode" default:"healthy" default:"slow" default:"cut" default:"watched"`
	Pause   int      `long:"pause-ms" default:"50" description:"pause between changes"`
}

// Execute runs all modes and prints one table row for each.
func (c *convergenceCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("mode", "keepers", "routers", "changes", "median ms", "p95 ms", "worst ms", "over 6 s")
	for _, mode := range c.Modes {
		times, err := c.run(mode)
		if err != nil {
			return fmt.Errorf("%s: %w", mode, err)
		}
		slices.Sort(times)
		at := func(q float64) string { return millis(times[int(q*float64(len(times)-1))]) }
		over := 0
		for _, t := range times {
			if t > 6*time.Second {
				over++
			}
		}
		if err := table.Append(mode, c.Keepers, c.Routers, len(times), at(0.5), at(0.95), at(1), over); err != nil {
			return err
		}
	}
	return table.Render()
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }

func (c *convergenceCommand) run(mode string) ([]time.Duration, error) {
	f, err := startFleet(c.Keepers, c.Routers)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	outsider := keeper.New(keeper.Options{
		Self: port.Member{ID: "past-all"}, Logger: discardLogger(),
		Platform: httpplatform.New(httpplatform.Options{BaseURL: f.server.URL}),
	})
	if mode == modeSlow {
		if err := f.setFaults(fmt.Sprintf(`{"slow_ms":%d}`, slowMillis)); err != nil {
			return nil, err
		}
	}
	w := newWriter(8)
	var times []time.Duration
	cut := -1
	for i := range c.Changes {
		if mode == modeCut && i%changesBetweenCuts == changesBetweenCuts/2 {
			cut = f.cutNext(cut)
		}
		at := f.keepers[f.keeperFor(i, cut)].Keeper
		if mode == modeWatched {
			at = outsider
		}
		took, err := f.converge(w, at)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
		time.Sleep(time.Duration(c.Pause) * time.Millisecond)
	}
	return times, nil
}

// cutNext reconnects the keeper that is cut, if any, cuts the next one and
// returns its index.
func (f *fleet) cutNext(cut int) int {
	if cut >= 0 {
		f.keepers[cut].gate.heal()
	}
	next := (cut + 1) % len(f.keepers)
	f.keepers[next].gate.cut()
	return next
}

// keeperFor returns the index of the keeper that makes change i. It goes through
// the keepers in turn and skips the one that is cut.
func (f *fleet) keeperFor(i, cut int) int {
	at := i % len(f.keepers)
	if at == cut {
		at = (at + 1) % len(f.keepers)
	}
	return at
}

// converge makes a change and returns the time from its acceptance until every
// router has it in force.
func (f *fleet) converge(w *writer, at *keeper.Keeper) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), convergeTimeout)
	defer cancel()
	version, err := w.change(at)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	done := make(chan bool, len(f.routers))
	for _, r := range f.routers {
		go func() { done <- r.waitForVersion(ctx, version) }()
	}
	for range f.routers {
		if !<-done {
			return 0, fmt.Errorf("version %d was not in force at every router within %v", version, convergeTimeout)
		}
	}
	return time.Since(accepted), nil
}

func (r *routerDaemon) waitForVersion(ctx context.Context, version uint64) bool {
	for {
		changed := r.Changed()
		if r.HighestVersion() >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
