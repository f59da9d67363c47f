package main

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcclaim"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/fleet"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// settleTimeout bounds the sending of the last outcomes to keepers at shutdown.
const settleTimeout = 2 * time.Second

// system connects this router to the other daemons. It holds the view of the
// shared state, the scheduler that uses it, the claims, and the server for peers.
type system struct {
	settings  *routerSettings
	logger    *log.Logger
	view      *grpcpeer.View
	fleet     *fleet.Fleet
	scheduler port.Scheduler
	claims    *grpcclaim.Client
	server    *grpc.Server
	keys      atomic.Pointer[record.Keys]
	// quarantine is set by ports, as it needs the decision sink.
	quarantine *quarantine.Register
}

func newSystem(s *routerSettings, logger *log.Logger) *system {
	sys := &system{settings: s, logger: logger, server: grpc.NewServer(grpcpeer.ServerOptions()...)}
	sys.view = grpcpeer.NewView(grpcpeer.ViewOptions{
		Self: port.Member{
			ID: s.ID, Role: port.RoleRouter, Host: s.Host, FailureDomain: s.FailureDomain,
			CallerAddress: s.Listen.Callers, AdminAddress: s.Listen.Admin, PeerAddress: s.Listen.Peers,
		},
		Keepers: s.Keepers, Routers: s.Routers, Logger: logger,
		HeartbeatEvery: s.HeartbeatEvery, SilenceAfter: s.SilenceAfter,
	})
	sys.fleet = fleet.New(s.ID, sys.view)
	sys.scheduler = routing.NewScheduler(routing.Options{RouterID: s.ID, Routers: sys.fleet})
	sys.claims = grpcclaim.NewClient(grpcclaim.Options{Keepers: sys.keepers, Timeout: s.ClaimTimeout, TryTimeout: s.ClaimTimeout / 2})
	sys.updatePolicy(nil)
	return sys
}

// ports returns the router's ports that connect it to the other daemons.
func (s *system) ports(sink port.DecisionSink) router.Ports {
	s.quarantine = quarantine.NewRegister(s.view, func(c quarantine.Change) {
		sink.Record(&port.DecisionRecord{
			Time: time.Now(), Subject: "fingerprint", SubjectID: c.Fingerprint.String(), Verdict: string(c.Verdict),
			Reason: c.Reason, Crashes: c.Crashes,
		})
	})
	return router.Ports{
		Sink: sink, Quarantine: s.quarantine,
		View: s.view, Scheduler: s.scheduler, Claimer: s.claims, Peers: peerClient{},
		Announcer: s.view, Observer: s.view, Policy: s.updatePolicy, Evacuations: record.Evacuations,
		KeyRetention: s.claims.Retention,
	}
}

// updatePolicy returns the policy of the records and puts the organisations' keys
// from the same records in force.
func (s *system) updatePolicy(rs []port.Record) port.Policy {
	keys := record.NewKeys(rs)
	s.keys.Store(&keys)
	return record.Policy(rs)
}

func (s *system) organisationByKey(keySHA256Hex string) (string, bool) {
	return s.keys.Load().Organisation(keySHA256Hex)
}

// keepers returns the addresses of the keepers that are known to be live, or the
// addresses in the settings if none is.
func (s *system) keepers() []string {
	if live := s.fleet.LiveKeepers(); len(live) > 0 {
		return live
	}
	return s.settings.Keepers
}

// listen starts the server for peers.
func (s *system) listen(app *router.Router) error {
	listener, err := net.Listen("tcp", s.settings.Listen.Peers)
	if err != nil {
		return err
	}
	service := &grpcpeer.RouterService{Snapshot: s.view.Snapshot, Lookup: app.LocalStatusJSON}
	service.Register(s.server)
	go func() {
		if err := s.server.Serve(listener); err != nil {
			s.logger.Error().Err(err).Str("event", "peers_failed").Msg("")
		}
	}()
	return nil
}

// run keeps the view current until the context ends.
func (s *system) run(ctx context.Context) {
	go crashwatch.RunRegister(ctx, s.view, s.quarantine)
	if err := s.view.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		s.logger.Error().Err(err).Str("event", "view_failed").Msg("")
	}
}

// close sends the pending outcomes, then stops the peer server.
func (s *system) close() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	s.claims.Close(ctx)
	s.server.Stop()
}

// peerClient queries other routers. It opens a connection for each query, as
// queries are rare and there are many routers.
type peerClient struct{}

// LookupRequest queries the router at the address for the status of a request,
// and returns it as JSON and whether it was found.
func (peerClient) LookupRequest(ctx context.Context, address, requestID string) ([]byte, bool, error) {
	conn, err := grpcpeer.Dial(address)
	if err != nil {
		return nil, false, err
	}
	defer conn.Close()
	reply, err := peerv1.NewRouterClient(conn).LookupRequest(ctx, &peerv1.LookupRequestRequest{RequestId: requestID})
	if err != nil {
		return nil, false, err
	}
	return reply.GetJson(), reply.GetFound(), nil
}
