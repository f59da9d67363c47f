// Command dragonfly-entry runs on the entry hosts of the users' platform: it
// serves the operators' routes, tells callers where to connect, follows the
// platform's store, and relays what it learns to the other daemons. See
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
	summary = "Serves the routes of the platform's operators, and keeps routes and endpoints current."
	// settingsVariable names the settings file where the command line doesn't.
	settingsVariable = "DRAGONFLYRAIL_BOOT"
)

// logWithin bounds the time in which the last lines are written.
const logWithin = 100 * time.Millisecond

func main() {
	s := defaults()
	path, code, done := daemon.Start(name, summary, arguments(os.Args[1:]), &s, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	os.Exit(run(path, &s))
}

// arguments adds the settings file that the platform names.
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
	defer logger.Close(logWithin)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	a := assemble(s, logger.Logger, registry)
	// Without a handler the signal would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go a.followSettings(stop, path, hangup)
	if err := a.serve(stop); err != nil {
		logger.Error().Err(err).Str("event", "failed").Msg("")
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}
