// Command claimbench measures the cost of at-most-once claims: the platform
// writes per claim and the latency added to a call at several rates, the size of
// a shard, and the rate of claims that one shard sustains. For the rates, all
// daemons run in this process and communicate over loopback, with the platform
// stand-in set to a configurable reply time.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Rates     ratesCommand     `command:"rates" description:"writes per claim and added latency at several rates"`
	Sizes     sizesCommand     `command:"sizes" description:"bytes, memory and processor time of a shard at several sizes"`
	Sustained sustainedCommand `command:"sustained" description:"rate of claims that one shard sustains, with and without sealed parts"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
