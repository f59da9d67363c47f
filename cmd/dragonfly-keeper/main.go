// Command dragonfly-keeper keeps records, membership, leases and claims in the
// platform's object service and relays them to the other daemons. See --help
// and docs/operations/records.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

const (
	name    = "dragonfly-keeper"
	summary = "Keeps records, membership, leases and claims in the platform's service, and relays them to the other daemons."
)

func main() {
	s := defaults()
	_, code, done := daemon.LoadSettings(name, summary, os.Args[1:], &s, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	os.Exit(run(&s))
}

func run(s *keeperSettings) int {
	logger := jsonlog.New(os.Stdout, name, s.ID, s.LogLevel)
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := assemble(s, logger).serve(stopCtx); err != nil {
		logger.Error().Err(err).Str("event", "failed").Msg("")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}
