package main

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

// stopTimeout is short, so that open streams are cut like those of an engine that
// is reclaimed.
const stopTimeout = 200 * time.Millisecond

// common holds the flags of every stand-in.
type common struct {
	Listen        string `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 selects a free port"`
	ID            string `long:"id" required:"true" description:"id of the stand-in"`
	FailureDomain string `long:"failure-domain" default:"local" description:"failure domain of the stand-in"`
}

// hooks are functions that a stand-in runs besides serving requests.
type hooks struct {
	// prepare runs before the first request is handled.
	prepare func(*log.Logger)
	// background runs from the start until the process is stopped.
	background func(context.Context, *log.Logger)
	// connContext is http.Server.ConnContext.
	connContext func(context.Context, net.Conn) context.Context
	// leave runs before the listener closes.
	leave func(*log.Logger)
}

// serve handles requests until the process is stopped.
func (c *common) serve(kind string, h http.Handler) error { return c.serveWith(kind, h, hooks{}) }

// serveWith is serve with hooks.
func (c *common) serveWith(kind string, h http.Handler, extra hooks) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	c.Listen = listener.Addr().String()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := httpserver.New(h)
	server.ConnContext = extra.connContext
	logger := jsonlog.New(os.Stdout, name+"-"+kind, c.ID, "info")
	// net/http reports unsolicited responses to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.Std("", 0).Writer())
	logger.Info().Str("event", "ready").Str("address", c.Listen).
		Str("failure_domain", c.FailureDomain).Int64("unix_ms", time.Now().UnixMilli()).Msg("")
	if extra.prepare != nil {
		extra.prepare(logger)
	}
	var background sync.WaitGroup
	if extra.background != nil {
		background.Go(func() { extra.background(ctx, logger) })
	}
	go func() {
		<-ctx.Done()
		background.Wait()
		if extra.leave != nil {
			extra.leave(logger)
		}
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	logger.Info().Str("event", "stopped").Msg("")
	return nil
}
