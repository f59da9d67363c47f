// Command dragonfly-standin runs one of the small stand-ins that take the
// place of the platforms, engines, services and the weight store in tests.
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
	parser.LongDescription = "Runs one stand-in. Faults are switched over HTTP: GET and PUT /standin/faults; counters: GET /standin/stats."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	_, err := parser.ParseArgs(args)
	var wrong *flags.Error
	switch {
	case err == nil:
		return daemon.ExitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Println(wrong.Message)
		return daemon.ExitOK
	case errors.As(err, &wrong):
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	default:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitFailure
	}
}
