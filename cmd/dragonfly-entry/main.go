// Command dragonfly-entry runs on the entry hosts of the users' platform. It
// serves the operators' routes, tells callers where to connect, watches the
// platform's store, and relays the store's state to the other daemons. See
// --help and docs/design/platform.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

const (
	name    = "dragonfly-entry"
	summary = "Serves the routes of the platform's operators, and keeps its routes and endpoints up to date with the platform's store."
	// settingsVariable is the environment variable with the path of the settings
	// file, used if the command line is empty.
	settingsVariable = "DRAGONFLYRAIL_BOOT"
)

// logFlushTimeout bounds the time to write the buffered log lines at exit.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	s := defaults()
	path, code, done := daemon.LoadSettings(name, summary, arguments(os.Args[1:]), &s, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	os.Exit(run(path, &s))
}

// arguments returns the command line or, if it is empty, the settings file that
// the environment names.
func arguments(args []string) []string {
	path := os.Getenv(settingsVariable)
	if len(args) > 0 || path == "" {
		return args
	}
	return []string{"--settings", path}
}

func run(path string, s *entrySettings) int {
	registry := gometrics.NewRegistry()
	logger := jsonlog.NewBounded(os.Stdout, name, s.ID, s.LogLevel, s.LogBytesPerSecond, registry)
	defer logger.Close(logFlushTimeout)
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	a := assemble(s, logger.Logger, registry)
	// Without a handler SIGHUP would end the process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	go a.watchSettings(stopCtx, path, sighup)
	if err := a.serve(stopCtx); err != nil {
		logger.Error().Err(err).Str("event", "failed").Msg("")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}
