// Command measure runs the system on loopback and measures the cost of a
// router: the latency that it adds to first tokens and between tokens compared
// with a direct connection to the engine, its memory per open stream and its
// processor time per request and per token. It also measures the processor time
// and memory of idle daemons and of entry daemons. Only figures of the same run
// are comparable.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Path    pathCommand    `command:"path" description:"added time to the first token and between tokens"`
	Streams streamsCommand `command:"streams" description:"memory for each open stream"`
	Work    workCommand    `command:"work" description:"processor time for each request and token"`
	Entry   entryCommand   `command:"entry" description:"processor time, memory and bytes of entry daemons over the number of runners"`
	Idle    idleCommand    `command:"idle" description:"processor time and memory of daemons without callers"`
}

func main() {
	var o options
	parser := flags.NewNamedParser("measure", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Measures what a router costs, on loopback."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
	case err != nil:
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
