// Command demo starts the complete system on loopback as separate processes. It
// either runs a series of example requests and stops the system, or leaves the
// system running for manual use.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// showTimeout bounds the show command. The build of the binaries is not part of
// it.
const showTimeout = 90 * time.Second

type options struct {
	Show showCommand `command:"show" description:"start the system, run example requests and stop it (the default)"`
	Up   upCommand   `command:"up" description:"start an example system and leave it running"`
	Down downCommand `command:"down" description:"stop the processes that up started"`
}

func main() {
	var o options
	args := os.Args[1:]
	if len(args) == 0 {
		args = []string{"show"}
	}
	parser := flags.NewNamedParser("demo", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs the complete system on loopback."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
	case err != nil:
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// interruptContext returns a context that ends after the timeout, on an
// interrupt or on SIGTERM.
func interruptContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	bounded, cancel := context.WithTimeout(ctx, timeout)
	return bounded, func() {
		cancel()
		stop()
	}
}
