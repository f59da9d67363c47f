// Command worthplot plots the worth of callers' requests from the journal of
// test days: for each deployment the worth over the rounds, and for its
// newest round the loss of each day by cause.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Journal string `long:"journal" default:"journal" description:"directory of the journal entries"`
	Rounds  string `long:"rounds" default:"docs/worth-by-round.svg" description:"plot of worth over the rounds"`
	Losses  string `long:"losses" default:"docs/loss-by-day.svg" description:"plot of losses by day and cause"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "worthplot:", err)
		os.Exit(1)
	}
}

func (o *options) run() error {
	files, err := filepath.Glob(filepath.Join(o.Journal, "*.json"))
	if err != nil {
		return err
	}
	rounds, err := readRounds(files)
	if err != nil {
		return err
	}
	if err := drawRounds(rounds, o.Rounds); err != nil {
		return err
	}
	return drawLosses(newestRounds(rounds), o.Losses)
}
