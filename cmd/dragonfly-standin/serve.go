package main

import (
	"context"
	"errors"
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

// stopTimeout is short: a stand-in's open streams are cut, like those of an
// engine that is reclaimed.
const stopTimeout = 200 * time.Millisecond

// common are the flags of every stand-in.
type common struct {
	Listen        string `long:"listen" default:"127.0.0.1:0" description:"address to bind; port 0 takes a free one"`
	ID            string `long:"id" required:"true" description:"the stand-in's id"`
	FailureDomain string `long:"failure-domain" default:"local" description:"the failure domain it stands in"`
}

// hooks are what a stand-in does besides answering.
type hooks struct {
	// background runs from the start until the process is told to stop.
	background func(context.Context, *log.Logger)
	// leave runs before the listener closes.
	leave func(*log.Logger)
}

// serve answers until the process is told to stop.
func (c *common) serve(kind string, h http.Handler) error { return c.serveWith(kind, h, hooks{}) }

func (c *common) serveWith(kind string, h http.Handler, also hooks) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	c.Listen = listener.Addr().String()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := httpserver.New(h)
	logger := jsonlog.New(os.Stdout, name+"-"+kind, c.ID, "info")
	logger.Info().Str("event", "ready").Str("address", c.Listen).
		Str("failure_domain", c.FailureDomain).Msg("")
	var running sync.WaitGroup
	if also.background != nil {
		running.Go(func() { also.background(ctx, logger) })
	}
	go func() {
		<-ctx.Done()
		running.Wait()
		if also.leave != nil {
			also.leave(logger)
		}
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	logger.Info().Str("event", "stopped").Msg("")
	return nil
}
