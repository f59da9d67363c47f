// Command soak runs a fleet of real processes under random faults, one seed
// after another, and prints the violated guarantees. The same seed gives the
// same plan of faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyrail/dragonflyrail/platform/soak"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

type options struct {
	Seed    uint64        `long:"seed" required:"true" description:"first seed"`
	Seeds   uint64        `long:"seeds" default:"1" description:"number of seeds to run, one after another"`
	Length  time.Duration `long:"for" default:"15s" description:"length of the plan of each seed"`
	Daemons int           `long:"daemons" default:"4" description:"entry daemons"`
	Engines int           `long:"engines" default:"6" description:"runners that stream"`
	Plain   int           `long:"plain" default:"3" description:"runners of a plain service"`
	Routes  int           `long:"routes" default:"0" description:"unused routes in the configuration"`
	Restore bool          `long:"restores" description:"also restore the store from copies"`
	Crashes bool          `long:"crashes" description:"also send a request that crashes the runners that run it"`
	Parts   bool          `long:"parts" description:"also send requests with a part that crashes the runners that run it"`
	Limits  bool          `long:"limits" description:"let runners declare limits of requests"`
	Notices bool          `long:"notices" description:"let runners ask for pauses and announce in answers that they leave"`
	Domains bool          `long:"evacuations" description:"also evacuate failure domains"`
	Cold    bool          `long:"cold" description:"let runners be cold when they join"`
	Cuts    bool          `long:"cuts" description:"cut the paths of daemons to runners"`
	Brittle bool          `long:"brittle" description:"let the plain service crash if it refuses too many requests"`
	Uneven  bool          `long:"uneven" description:"let runners differ in speed and many hosts join"`
	Resume  bool          `long:"resumable" description:"let a second runner continue a stream that breaks off"`
	Late    bool          `long:"late-answers" description:"let runners send answers twice and refuse requests that ran"`
	Stops   bool          `long:"lost-stops" description:"let leaving runners lose the calls that stop their streams"`
	Lapses  bool          `long:"lapses" description:"let the entries of a service lapse and return at once"`
	Pools   bool          `long:"pool-cuts" description:"cut all runners of a service off around a restart of all daemons"`
	Dark    bool          `long:"dark-crashes" description:"crash plain services amid answers without a length, with hosts that are silent then"`
	Quiet   bool          `long:"quiet" description:"inject none of the faults of the plan"`
	BinDir  string        `long:"bin" default:"bin" description:"directory of the binaries"`
	Logs    string        `long:"logs" default:"soak-logs" description:"directory for the logs of failed seeds"`
	Keep    bool          `long:"keep-logs" description:"also keep the logs of seeds that passed"`
	Verbose bool          `long:"verbose" description:"print each action"`
}

// errViolations means that at least one seed violated a guarantee, or had nothing on which one
// that its faults are for could be judged.
var errViolations = errors.New("guarantees were violated or not judged")

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := o.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func (o *options) run(ctx context.Context) error {
	var failed []uint64
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		ok, err := o.runSeed(ctx, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if !ok {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w at seeds %v", errViolations, failed)
	}
	return nil
}

// runSeed runs one seed and reports whether it passed. It keeps the logs of a
// seed that violated a guarantee.
func (o *options) runSeed(ctx context.Context, seed uint64) (bool, error) {
	dir := filepath.Join(o.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	l := testfleet.SmallLayout(o.BinDir, ".", dir)
	l.Daemons, l.Engines, l.Plain = o.Daemons, o.Engines, o.Plain
	report, err := soak.Run(ctx, soak.Options{Seed: seed, Length: o.Length, Layout: l, Routes: o.Routes, Restores: o.Restore, Crashes: o.Crashes, Parts: o.Parts, Limits: o.Limits, Notices: o.Notices, Evacuations: o.Domains, Cold: o.Cold, Cuts: o.Cuts, Brittle: o.Brittle, Uneven: o.Uneven, Resumable: o.Resume, LateAnswers: o.Late, LostStops: o.Stops, Lapses: o.Lapses, PoolCuts: o.Pools, DarkCrashes: o.Dark, Quiet: o.Quiet, Log: func(format string, args ...any) {
		if o.Verbose {
			fmt.Printf(format+"\n", args...)
		}
	}})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %v\n%s\n", seed, report, report.Counts())
	for _, v := range report.Violations {
		fmt.Println("  ", v)
	}
	for _, promise := range report.Unjudged {
		fmt.Println("  ", promise+": nothing judged")
	}
	if len(report.Violations)+len(report.Unjudged) == 0 {
		return true, o.clean(dir)
	}
	fmt.Println("   logs:", dir)
	return false, nil
}

// clean removes the logs of a seed that passed, unless they are to be kept.
func (o *options) clean(dir string) error {
	if o.Keep {
		return nil
	}
	return os.RemoveAll(dir)
}
