package main

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/decisions"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcclaim"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httporders"
	"github.com/dragonflyrail/dragonflyrail/internal/claimstore"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// serviceDeps are the components that claims and placement depend on.
type serviceDeps struct {
	settings  *keeperSettings
	logger    *log.Logger
	registry  gometrics.Registry
	platform  port.Platform
	decisions *decisions.Store
	keeper    *keeper.Keeper
}

// services are the keeper's functions besides records and membership: claims and
// placement.
type services struct {
	// claims serves at-most-once claims; if it is nil, claim calls return
	// Unimplemented.
	claims grpcpeer.ClaimService
	// background functions run until the context ends.
	background []func(ctx context.Context)
	// routes are added to the admin listener.
	routes []func(mux *http.ServeMux)
}

// newServices creates claims and placement for a keeper.
func newServices(p *serviceDeps) services {
	claims := claimstore.New(claimstore.Options{
		Platform: p.platform,
		Limits:   claim.Limits{Retention: p.settings.ClaimRetention},
		Keepers:  func() int { return liveKeepers(p.keeper.Members()) },
		Logger:   p.logger,
		Metrics:  p.registry,
	})
	e := services{claims: grpcclaim.NewServer(claims)}
	loop, err := placement.New(placement.Options{
		Platform: p.platform, Orderer: httporders.New(), Decisions: p.decisions, View: p.keeper,
		KeeperID: p.settings.ID, Session: uuid.NewString(), MaxLoads: p.settings.PlacementLoads,
		Logger: p.logger, Metrics: p.registry,
	})
	if err != nil {
		// Only invalid placement terms fail, and these are the package's defaults.
		panic(err)
	}
	e.background = append(e.background, loop.Run)
	return e
}

func liveKeepers(members []port.Member) int {
	n := 0
	for _, m := range members {
		if m.Role == port.RoleKeeper && m.State == port.MemberLive {
			n++
		}
	}
	return n
}

func (e *services) run(ctx context.Context) {
	done := make(chan struct{})
	for _, f := range e.background {
		go func() { f(ctx); done <- struct{}{} }()
	}
	for range e.background {
		<-done
	}
}

func (e *services) register(mux *http.ServeMux) {
	for _, f := range e.routes {
		f(mux)
	}
}
