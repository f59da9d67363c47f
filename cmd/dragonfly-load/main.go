// Command dragonfly-load replays a workload against routers and reports the
// results that callers see, as JSON and as a table.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/buildinfo"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
	"github.com/dragonflyrail/dragonflyrail/internal/load"
)

const name = "dragonfly-load"

type options struct {
	Workload      string        `long:"workload" value-name:"FILE" description:"JSON workload file (required)"`
	Routers       []string      `long:"router" value-name:"ADDRESS" description:"address of a router to query for entry addresses; can be repeated"`
	Duration      time.Duration `long:"duration" description:"duration that overrides the workload's"`
	Drain         time.Duration `long:"drain" default:"60s" description:"how long requests may continue after the last arrival"`
	CheckText     bool          `long:"check-text" description:"check that the text of each answer is the one that the engine stand-in generates"`
	JSON          string        `long:"json" value-name:"FILE" description:"write the report as JSON; - is standard output, without the table"`
	CheckSettings bool          `long:"check-settings" description:"check the workload file, report errors in it, and exit"`
	Version       bool          `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Replays a workload against the routers that /v1/entry names, resumes broken streams at another router, and reports stalls, gaps between tokens, times to the first token, outcomes and completeness. Exits with 1 if the outcome of a request is cut or broken."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFailure
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return daemon.ExitOK
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	case o.Version:
		fmt.Println(name, buildinfo.String())
		return daemon.ExitOK
	case o.Workload == "" || len(o.Routers) == 0 && !o.CheckSettings:
		fmt.Fprintf(os.Stderr, "%s: --workload and --router are required; see --help\n", name)
		return daemon.ExitUsage
	}
	return replay(&o)
}

func replay(o *options) int {
	w := load.WorkloadDefaults()
	if err := settings.Load(o.Workload, &w); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitSettings
	}
	if o.CheckSettings {
		fmt.Printf("%s: settings are valid\n", o.Workload)
		return daemon.ExitOK
	}
	if o.Duration > 0 {
		w.Duration = o.Duration
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := load.Run(ctx, &w, load.Options{Routers: o.Routers, CheckText: o.CheckText, Drain: o.Drain})
	if err := writeReport(o, report); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return daemon.ExitFailure
	}
	if !report.AllIntact() {
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func writeReport(o *options, report *load.Report) error {
	if o.JSON != "" {
		raw, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		raw = append(raw, '\n')
		if o.JSON == "-" {
			_, err = os.Stdout.Write(raw)
			return err
		}
		if err := os.WriteFile(o.JSON, raw, 0o644); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}
