// Command dragonflyctl reads and writes records and explains the decisions of the
// daemons. See --help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflyrail/dragonflyrail/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
