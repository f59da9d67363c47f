package main

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/claimstore"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/placement"
)

// keeperSettings are the settings of one keeper.
type keeperSettings struct {
	daemon.Common
	// Platform is the base URL of the platform's object API.
	Platform        string        `json:"platform" validate:"required,http_url"`
	PlatformTimeout time.Duration `json:"platform_timeout" validate:"min=10ms,max=1m"`
	// Watchers is the number of keepers in the whole system that watch the platform.
	Watchers       int           `json:"watchers" validate:"min=1,max=64"`
	WatchWait      time.Duration `json:"watch_wait" validate:"min=100ms,max=30s"`
	FallbackAfter  time.Duration `json:"fallback_after" validate:"min=200ms,max=5m,gtfield=WatchWait"`
	RelistEvery    time.Duration `json:"relist_every" validate:"min=1s,max=24h"`
	HostsEvery     time.Duration `json:"hosts_every" validate:"min=100ms,max=1m"`
	ProbeEvery     time.Duration `json:"probe_every" validate:"min=100ms,max=1m"`
	HeartbeatEvery time.Duration `json:"heartbeat_every" validate:"min=50ms,max=10s"`
	SilenceAfter   time.Duration `json:"silence_after" validate:"min=200ms,max=1m,gtfield=HeartbeatEvery"`
	// ClaimRetention is how long the outcome of a claimed call is kept. Once the
	// platform stores a layout, the retention in that layout takes precedence.
	ClaimRetention time.Duration `json:"claim_retention" validate:"min=1m,max=24h"`
	// PlacementLoads is the budget of the weight store: the number of model loads
	// that all keepers together run at the same time. It must be the same at every
	// keeper.
	PlacementLoads    int `json:"placement_loads" validate:"min=1,max=10000"`
	RememberDecisions int `json:"remember_decisions" validate:"min=32,max=1000000"`
}

func defaults() keeperSettings {
	return keeperSettings{
		Common: daemon.CommonDefaults(), PlatformTimeout: 3 * time.Second,
		Watchers: keeper.DefaultWatchers, WatchWait: keeper.DefaultWatchWait,
		FallbackAfter: keeper.DefaultFallbackAfter, RelistEvery: keeper.DefaultRelistEvery,
		HostsEvery: keeper.DefaultHostsEvery, ProbeEvery: keeper.DefaultProbeEvery,
		HeartbeatEvery: grpcpeer.DefaultHeartbeatEvery, SilenceAfter: grpcpeer.DefaultSilenceAfter,
		ClaimRetention:    claimstore.DefaultRetention,
		PlacementLoads:    placement.DefaultMaxLoads,
		RememberDecisions: 2048,
	}
}
