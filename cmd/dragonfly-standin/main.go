// Command dragonfly-standin runs a small stand-in that replaces a platform, an
// engine, a service or the weight store in tests.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/buildinfo"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
)

const name = "dragonfly-standin"

type options struct {
	Version  func()          `long:"version" description:"print the version and exit"`
	Platform platformCommand `command:"platform" description:"object API with versions, watches, a rate limit and a lagging host list"`
	Engine   engineCommand   `command:"engine" description:"model engine with continuous batching and a bounded cache"`
	Service  serviceCommand  `command:"service" description:"plain service that counts runs per idempotency key"`
	Weights  weightsCommand  `command:"weights" description:"rate-limited weight store"`

	FleetStore  fleetStoreCommand  `command:"fleet-store" description:"store of the users' platform, for dragonfly-entry"`
	FleetRunner fleetRunnerCommand `command:"fleet-runner" description:"runner of the users' platform, for dragonfly-entry"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	o := options{Version: func() {
		fmt.Println(name, buildinfo.String())
		os.Exit(daemon.ExitOK)
	}}
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs one stand-in. GET and PUT /standin/faults read and switch faults, and GET /standin/stats reads counters."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return daemon.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return daemon.ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	default:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitFailure
	}
}
