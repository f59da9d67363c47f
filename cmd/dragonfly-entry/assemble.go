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
	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/decisions"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcrelay"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httprecords"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/metrics"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
	"github.com/dragonflyrail/dragonflyrail/platform"
)

// idleConnections is the number of unused connections kept per endpoint.
const idleConnections = 16

// closeTimeout bounds the shutdown of the listeners. No request is open by then.
const closeTimeout = 200 * time.Millisecond

// assembly holds the connected components of the daemon.
type assembly struct {
	settings *entrySettings
	logger   *log.Logger
	store    *platform.StoreClient
	keeper   *keeper.Keeper
	placer   *scheduling.Client
	relays   *grpcrelay.Client
	gateway  *gateway.Gateway
	callers  *http.Server
	servers  []httpListener
	peers    *grpc.Server
	// load is nil if the capacity of the host is not known.
	load *loadReporter
	// memory is nil if the memory limit of the host is not known.
	memory *memoryMonitor
}

// httpListener is an HTTP server, the address to listen on, and the name of the
// setting that the address comes from.
type httpListener struct {
	setting string
	address string
	server  *http.Server
	// buffers bound what the system holds for each connection.
	buffers tcpopt.Buffers
}

func assemble(s *entrySettings, logger *log.Logger, registry gometrics.Registry) *assembly {
	store := decisions.New(logger, s.RememberDecisions)
	a := &assembly{settings: s, logger: logger, peers: grpc.NewServer(grpcpeer.ServerOptions()...)}
	a.store = platform.NewStoreClient(platform.StoreOptions{
		Address: s.Store, Timeout: s.StoreTimeout, Logger: logger, Registry: registry,
	})
	runners := platform.NewRunnerClient(platform.RunnerClientOptions{
		DialTimeout: s.ConnectTimeout, LoadTimeout: s.ReportTimeout,
		IdleConnections: idleConnections, IdleTimeout: s.IdleTimeout, LocalAddress: s.EndpointSource,
		KeepStated: s.UnevenEndpoints, ReceiveBytes: s.endpointBuffers().ReceiveBytes, Registry: registry,
		OnNotice: func(e port.Endpoint, n port.EndpointNotice) { a.gateway.ObserveNotice(e, n) },
		OnPath: func(e port.Endpoint, evidence port.PathEvidence, err error) {
			a.gateway.ObservePath(e, evidence, err)
		},
		Logger: logger,
	})
	a.keeper = newKeeper(s, &keeperSources{
		store: a.store, runners: runners,
		// The gateway is created after the keeper, and before the keeper runs.
		isPaused: func(e port.Endpoint) bool { return a.gateway.IsPaused(e) },
	}, logger, registry, store)
	a.keeper.Service(nil).Register(a.peers)
	// A pool is scheduled by a single daemon, so the scheduler gets no list of other
	// routers.
	scheduler := routing.NewScheduler(routing.Options{
		RouterID: s.ID, BusyThreshold: busyThreshold, PrefillBacklogLimit: prefillBacklogLimit,
		UnevenEndpoints: s.UnevenEndpoints, ScarceRoom: s.ScarceRoom,
	})
	pools := scheduling.NewPoolScheduler(scheduler, nil)
	registry.GetOrRegister("scheduling_runs_held", gometrics.NewFunctionalGauge(func() int64 { return int64(pools.RunCount()) }))
	registry.GetOrRegister("scheduling_reserved_prompts", gometrics.NewFunctionalGauge(func() int64 { return int64(scheduler.ReservedPrompts()) }))
	registry.GetOrRegister("scheduling_repeated_early", gometrics.NewFunctionalGauge(scheduler.RepeatedEarly))
	placing := scheduling.Options{
		Self: s.ID, Capacity: s.capacity(), Members: a.keeper, Logger: logger, Registry: registry,
		Dial: func(address string) scheduling.Peer { return grpcpeer.DialScheduling(address) },
	}
	if s.UnevenEndpoints || s.ScarceRoom {
		placing.Learned = scheduler
	}
	a.placer = scheduling.NewClient(placing, pools)
	(&grpcpeer.SchedulingService{Scheduler: pools, Admitter: a.placer, Successor: a.placer}).Register(a.peers)
	if capacity := s.capacity(); capacity.ProcessorMilli > 0 {
		a.load = newLoadReporter(capacity.ProcessorMilli, a.keeper.PublishLoad, logger, registry)
	}
	a.relays = grpcrelay.NewClient()
	ports := gateway.Ports{
		Endpoints: runners,
		Scheduler: scheduler, Placer: a.placer,
		PlatformAge: func() time.Duration { return a.keeper.PlatformAge(time.Now()) },
		View:        a.keeper, Quarantine: a.keeper.Quarantine(), Limits: a.keeper, Notices: a.keeper, Announcer: a.keeper, Relayer: a.relays, Sink: store, Policy: record.Policy, Evacuations: record.Evacuations, Metrics: registry,
	}
	if limit := s.memoryLimit(); limit > 0 {
		a.memory = newMemoryMonitor(limit, a.load.setFull, logger, registry)
		a.relays = grpcrelay.NewBoundedClient(hostmemory.MaxAnswer)
		ports.Memory, ports.Relayer = a.memory, a.relays
	}
	a.gateway = gateway.New(s.options(), ports)
	(&grpcrelay.Service{App: a.gateway}).Register(a.peers)
	a.callers = httpserver.NewWithoutBodyLimit(&platform.CallerHandler{App: a.gateway, Logger: logger})
	a.servers = []httpListener{
		{setting: "listen.callers", address: s.Listen.Callers, server: a.callers, buffers: s.callerBuffers()},
		{setting: "directory", address: s.Directory, server: httpserver.New(platform.DirectoryHandler(a.gateway))},
		{setting: "readiness", address: s.Readiness, server: httpserver.New(platform.ReadinessHandler(a.gateway))},
		{setting: "metrics", address: s.Metrics, server: httpserver.New(metrics.Handler(registry))},
		{setting: "listen.admin", address: s.Listen.Admin, server: a.admin(store, registry)},
	}
	return a
}

// keeperSources are the clients that the keeper reads state through.
type keeperSources struct {
	store   *platform.StoreClient
	runners *platform.RunnerClient
	// isPaused reports whether a runner must not be probed now.
	isPaused func(port.Endpoint) bool
}

func newKeeper(s *entrySettings, src *keeperSources, logger *log.Logger, registry gometrics.Registry, sink port.DecisionSink) *keeper.Keeper {
	return keeper.New(keeper.Options{
		Self: port.Member{
			ID: s.ID, Host: s.Host, FailureDomain: s.FailureDomain,
			CallerAddress: s.callerAddress(), AdminAddress: s.Listen.Admin, PeerAddress: s.peerAddress(),
			Capacity: s.capacity(),
		},
		Keepers: s.Keepers, Platform: src.store, Endpoints: src.store, Prober: src.runners, IsPaused: src.isPaused, Kinds: []string{route.RecordKind}, PolledKinds: record.Kinds(), ExistenceKinds: []string{port.ObjectPlatformEvacuation},
		Decisions: sink, Logger: logger, Registry: registry,
		Watchers: s.Watchers, WatchWait: s.WatchWait, WatchPause: s.WatchPause, FallbackAfter: s.FallbackAfter,
		RelistEvery: s.RelistEvery, HeartbeatEvery: s.HeartbeatEvery, SilenceAfter: s.SilenceAfter,
		ProbeOnlyDuringOutage: true, ProbeEvery: s.ProbeEvery, ProbesPerSecond: probesPerSecond,
		RoleCheckInterval: roleCheckInterval, LinkRetry: linkRetry, RetryPause: retryPause, RetryPauseMax: retryPauseMax,
		EntryTTL: s.entryTTL(),
	})
}

// Intervals of the keeper. They are short, as endpoints give only two seconds'
// notice before they leave, and routes must be in force within two seconds.
const (
	roleCheckInterval = 100 * time.Millisecond
	retryPause        = 100 * time.Millisecond
	retryPauseMax     = time.Second
	// linkRetry is the shortest pause before a lost link to a peer is opened
	// again. Daemons that restart together discover each other over these links.
	linkRetry = 100 * time.Millisecond
	// probesPerSecond bounds the probes of runners while the store is unavailable.
	probesPerSecond = 40
)

func (a *assembly) admin(store *decisions.Store, registry gometrics.Registry) *http.Server {
	records := &httprecords.Handler{Keeper: a.keeper, Decisions: store}
	return httpserver.New(httpadmin.New(httpadmin.Options{
		TokenSHA256: a.settings.AdminTokenSHA256, Logger: a.logger, Decisions: store, Registry: registry,
		Ready: a.gateway.Ready, Drain: func() { go a.gateway.Drain(context.Background()) },
		Register: records.Register,
	}))
}

// serve runs until the context is cancelled or an operator drains the daemon,
// then shuts down gracefully.
func (a *assembly) serve(stopCtx context.Context) error {
	serveErrs := make(chan error, len(a.servers)+1)
	for _, l := range a.servers {
		listener, err := l.buffers.Listen(stopCtx, l.address)
		if err != nil {
			return merry.Prepend(err, l.setting)
		}
		go func() { serveErrs <- l.server.Serve(listener) }()
	}
	peers, err := net.Listen("tcp", a.settings.Listen.Peers)
	if err != nil {
		return merry.Prepend(err, "listen.peers")
	}
	go func() { serveErrs <- a.peers.Serve(peers) }()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { a.run(runCtx) })
	background.Go(func() { a.gateway.Run(runCtx) })
	background.Go(func() { a.placer.Run(runCtx) })
	if a.load != nil {
		background.Go(func() { a.load.run(runCtx) })
	}
	if a.memory != nil {
		background.Go(func() { a.memory.run(runCtx) })
	}
	a.logger.Info().Str("event", "started").Str("callers", a.settings.Listen.Callers).
		Str("admin", a.settings.Listen.Admin).Str("peers", a.settings.Listen.Peers).Msg("")
	select {
	case err := <-serveErrs:
		return err
	case <-stopCtx.Done():
	case <-a.gateway.Draining():
	}
	a.shutDown()
	cancel()
	background.Wait()
	return nil
}

func (a *assembly) run(ctx context.Context) {
	if err := a.keeper.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		a.logger.Error().Err(err).Str("event", "keeper_failed").Msg("")
	}
}

// shutDown drains the daemon, then closes the listeners. They all stay open
// during the drain, so that callers can be directed to other daemons and
// operators can observe the drain.
func (a *assembly) shutDown() {
	a.logger.Info().Str("event", "draining").Int("open_requests", a.gateway.OpenRequests()).Msg("")
	a.gateway.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range a.servers {
		if err := l.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
			_ = l.server.Close()
		}
	}
	a.peers.Stop()
	a.relays.Close()
	a.logger.Info().Str("event", "stopped").Int("open_requests", a.gateway.OpenRequests()).Msg("")
}
