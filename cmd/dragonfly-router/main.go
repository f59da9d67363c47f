// Command dragonfly-router accepts callers' requests. It does admission, routing,
// streaming, the recording of outcomes, and graceful shutdown. See --help and
// docs/operations/streams.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

const (
	name    = "dragonfly-router"
	summary = "Accepts callers' requests, routes them to endpoints and reports their outcome."
)

func main() {
	s := defaults()
	_, code, done := daemon.LoadSettings(name, summary, os.Args[1:], &s, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	os.Exit(run(&s))
}

func run(s *routerSettings) int {
	// Every request and decision gets an id, so random bytes are read in blocks.
	uuid.EnableRandPool()
	logger := jsonlog.New(os.Stdout, name, s.ID, s.LogLevel)
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := assemble(s, logger)
	if err != nil {
		logger.Error().Err(err).Str("event", "failed").Msg("")
		return daemon.ExitFailure
	}
	if err := d.serve(stopCtx); err != nil {
		logger.Error().Err(err).Str("event", "failed").Msg("")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}
