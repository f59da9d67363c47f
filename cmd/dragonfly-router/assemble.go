package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/decisions"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpcaller"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpengine"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpservice"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// idleConnections per endpoint are kept for reuse.
const idleConnections = 64

// closeTimeout bounds the end of the listeners, once no request is open.
const closeTimeout = 2 * time.Second

// assembly is the daemon's parts, joined.
type assembly struct {
	settings *routerSettings
	logger   *log.Logger
	app      *router.Router
	system   *system
	callers  *http.Server
	admin    *http.Server
}

func assemble(s *routerSettings, logger *log.Logger) (*assembly, error) {
	options, err := s.options()
	if err != nil {
		return nil, merry.Prepend(err, "resume_keys")
	}
	registry := gometrics.NewRegistry()
	store := decisions.New(logger, s.RememberDecisions)
	sys := newSystem(s, logger)
	ports := sys.ports(store)
	ports.Metrics = registry
	ports.Engine = httpengine.New(httpengine.Options{
		DialTimeout: s.ConnectTimeout, CallTimeout: s.OpenTimeout, OpenTimeout: s.OpenTimeout,
		IdleConnections: idleConnections,
	})
	ports.Services = httpservice.New(httpservice.Options{
		DialTimeout: s.ConnectTimeout, LoadTimeout: s.OpenTimeout, IdleConnections: idleConnections,
	})
	a := &assembly{settings: s, logger: logger, system: sys, app: router.New(options, ports)}
	a.callers = httpserver.New(httpcaller.New(httpcaller.Options{
		Application: a.app, Organisations: sys.organisation, Synced: sys.view.Synced,
		KeyRetention: sys.claims.Retention, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout,
	}))
	a.admin = httpserver.New(httpadmin.New(httpadmin.Options{
		TokenSHA256: s.AdminTokenSHA256, Logger: logger, Decisions: store, Registry: registry,
		Ready: func() bool { return sys.view.Synced() && !a.app.Leaving() },
		Drain: func() { go a.app.Drain(context.Background()) },
	}))
	return a, nil
}

// serve runs until the context ends or an operator drains the router, then
// shuts down gracefully.
func (a *assembly) serve(stop context.Context) error {
	callers, err := net.Listen("tcp", a.settings.Listen.Callers)
	if err != nil {
		return merry.Prepend(err, "listen.callers")
	}
	admin, err := net.Listen("tcp", a.settings.Listen.Admin)
	if err != nil {
		return merry.Prepend(err, "listen.admin")
	}
	if err := a.system.listen(a.app); err != nil {
		return merry.Prepend(err, "listen.peers")
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	var background sync.WaitGroup
	background.Go(func() { a.system.run(running) })
	background.Go(func() { a.app.Run(running) })
	failed := make(chan error, 2)
	go func() { failed <- a.callers.Serve(callers) }()
	go func() { failed <- a.admin.Serve(admin) }()
	a.logger.Info().Str("event", "ready").Str("callers", callers.Addr().String()).
		Str("admin", admin.Addr().String()).Str("peers", a.settings.Listen.Peers).Msg("")
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	case <-a.app.Draining():
	}
	a.shutDown()
	end()
	background.Wait()
	return nil
}

// shutDown drains, then closes. The admin listener stays to the end, so that
// an operator can watch.
func (a *assembly) shutDown() {
	a.logger.Info().Str("event", "draining").Int("open_requests", a.app.Open()).Msg("")
	a.app.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*http.Server{a.callers, a.admin} {
		if err := server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
			_ = server.Close()
		}
	}
	a.system.close()
	a.logger.Info().Str("event", "stopped").Int("open_requests", a.app.Open()).Msg("")
}
