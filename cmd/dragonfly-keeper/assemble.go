package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/decisions"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpprobe"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httprecords"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Timing of a graceful shutdown.
const (
	// leaveNoticeDelay is the time for the leave notice to reach the subscribers
	// before their streams close.
	leaveNoticeDelay = 300 * time.Millisecond
	closeTimeout     = 2 * time.Second
)

// assembly holds the connected components of the daemon.
type assembly struct {
	settings  *keeperSettings
	logger    *log.Logger
	keeper    *keeper.Keeper
	services  services
	admin     *http.Server
	peers     *grpc.Server
	drain     chan struct{}
	drainOnce sync.Once
}

func assemble(s *keeperSettings, logger *log.Logger) *assembly {
	registry := gometrics.NewRegistry()
	store := decisions.New(logger, s.RememberDecisions)
	platform := httpplatform.New(httpplatform.Options{BaseURL: s.Platform, Timeout: s.PlatformTimeout, Registry: registry})
	k := keeper.New(keeper.Options{
		Self: port.Member{
			ID: s.ID, Role: port.RoleKeeper, Host: s.Host, FailureDomain: s.FailureDomain,
			AdminAddress: s.Listen.Admin, PeerAddress: s.Listen.Peers,
		},
		Keepers: s.Keepers, Platform: platform, Prober: httpprobe.New(),
		Decisions: store, Logger: logger, Registry: registry,
		Watchers: s.Watchers, WatchWait: s.WatchWait, FallbackAfter: s.FallbackAfter,
		RelistEvery: s.RelistEvery, HostsEvery: s.HostsEvery, ProbeEvery: s.ProbeEvery,
		HeartbeatEvery: s.HeartbeatEvery, SilenceAfter: s.SilenceAfter,
	})
	a := &assembly{settings: s, logger: logger, keeper: k, drain: make(chan struct{})}
	a.services = newServices(&serviceDeps{settings: s, logger: logger, registry: registry, platform: platform, decisions: store, keeper: k})
	records := &httprecords.Handler{Keeper: k, Decisions: store}
	a.admin = httpserver.New(httpadmin.New(httpadmin.Options{
		TokenSHA256: s.AdminTokenSHA256, Logger: logger, Decisions: store, Registry: registry,
		Ready: k.Ready, Drain: a.startDrain,
		Register: func(mux *http.ServeMux) {
			records.Register(mux)
			a.services.register(mux)
		},
	}))
	a.peers = grpc.NewServer(grpcpeer.ServerOptions()...)
	k.Service(a.services.claims).Register(a.peers)
	return a
}

func (a *assembly) startDrain() { a.drainOnce.Do(func() { close(a.drain) }) }

// serve runs until the context is cancelled or an operator drains the keeper,
// then shuts down gracefully.
func (a *assembly) serve(stopCtx context.Context) error {
	admin, err := net.Listen("tcp", a.settings.Listen.Admin)
	if err != nil {
		return merry.Prepend(err, "listen.admin")
	}
	peers, err := net.Listen("tcp", a.settings.Listen.Peers)
	if err != nil {
		return merry.Prepend(err, "listen.peers")
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { _ = a.keeper.Run(runCtx) })
	background.Go(func() { a.services.run(runCtx) })
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- a.admin.Serve(admin) }()
	go func() { serveErrs <- a.peers.Serve(peers) }()
	a.logger.Info().Str("event", "ready").Str("admin", admin.Addr().String()).Str("peers", peers.Addr().String()).Msg("")
	select {
	case err := <-serveErrs:
		return err
	case <-stopCtx.Done():
	case <-a.drain:
	}
	a.shutDown()
	cancel()
	background.Wait()
	return nil
}

// shutDown announces that the keeper leaves, so that subscribers switch to another
// one before their streams end. The keeper has no state that would be lost.
func (a *assembly) shutDown() {
	a.keeper.SetLeaving()
	time.Sleep(leaveNoticeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := a.admin.Shutdown(ctx); err != nil {
		a.logger.Warn().Err(err).Str("event", "admin_close").Msg("")
	}
	// Stop is used instead of GracefulStop, as subscriptions don't end by themselves.
	a.peers.Stop()
	a.logger.Info().Str("event", "stopped").Msg("")
}
