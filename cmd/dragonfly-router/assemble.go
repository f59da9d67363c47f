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

// idleConnections is the number of unused connections kept per endpoint.
const idleConnections = 64

// closeTimeout bounds the shutdown of the listeners. No request is open by then.
const closeTimeout = 2 * time.Second

// assembly holds the connected components of the daemon.
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
		DialTimeout: s.ConnectTimeout, LoadTimeout: s.OpenTimeout, IdleConnections: idleConnections, Logger: logger,
	})
	a := &assembly{settings: s, logger: logger, system: sys, app: router.New(options, ports)}
	a.callers = httpserver.New(httpcaller.New(httpcaller.Options{
		Application: a.app, Organisations: sys.organisationByKey, Synced: sys.view.Synced,
		KeyRetention: sys.claims.Retention, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout,
	}))
	a.admin = httpserver.New(httpadmin.New(httpadmin.Options{
		TokenSHA256: s.AdminTokenSHA256, Logger: logger, Decisions: store, Registry: registry,
		Ready: func() bool { return sys.view.Synced() && !a.app.Leaving() },
		Drain: func() { go a.app.Drain(context.Background()) },
	}))
	return a, nil
}

// serve runs until the context is cancelled or an operator drains the router,
// then shuts down gracefully.
func (a *assembly) serve(stopCtx context.Context) error {
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
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { a.system.run(runCtx) })
	background.Go(func() { a.app.Run(runCtx) })
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- a.callers.Serve(callers) }()
	go func() { serveErrs <- a.admin.Serve(admin) }()
	a.logger.Info().Str("event", "ready").Str("callers", callers.Addr().String()).
		Str("admin", admin.Addr().String()).Str("peers", a.settings.Listen.Peers).Msg("")
	select {
	case err := <-serveErrs:
		return err
	case <-stopCtx.Done():
	case <-a.app.Draining():
	}
	a.shutDown()
	cancel()
	background.Wait()
	return nil
}

// shutDown drains the router, then closes the listeners. The admin listener stays
// open during the drain, so that operators can observe it.
func (a *assembly) shutDown() {
	a.logger.Info().Str("event", "draining").Int("open_requests", a.app.OpenRequests()).Msg("")
	a.app.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*http.Server{a.callers, a.admin} {
		if err := server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
			_ = server.Close()
		}
	}
	a.system.close()
	a.logger.Info().Str("event", "stopped").Int("open_requests", a.app.OpenRequests()).Msg("")
}
