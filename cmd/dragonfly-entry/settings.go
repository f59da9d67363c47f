package main

import (
	"cmp"
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/platform"
)

// entrySettings are the settings of one entry daemon.
type entrySettings struct {
	daemon.Common
	// AdvertiseCallers and AdvertisePeers are the addresses announced to others,
	// if they differ from the addresses listened on, as behind address
	// translation.
	AdvertiseCallers string `json:"advertise_callers" validate:"omitempty,hostname_port"`
	AdvertisePeers   string `json:"advertise_peers" validate:"omitempty,hostname_port"`
	// Directory and Readiness are the listen addresses where callers query which
	// daemons to connect to, and where the platform queries whether this daemon
	// serves. Metrics is the listen address of the metrics, which need no token.
	Directory string `json:"directory" validate:"required,hostname_port"`
	Readiness string `json:"readiness" validate:"required,hostname_port"`
	Metrics   string `json:"metrics" validate:"required,hostname_port"`
	// Store is the address of the platform's store.
	Store        string        `json:"store" validate:"required,hostname_port"`
	StoreTimeout time.Duration `json:"store_timeout" validate:"min=10ms,max=1m"`
	// Watchers is the number of daemons in the whole system that watch the store.
	Watchers       int           `json:"watchers" validate:"min=1,max=64"`
	WatchWait      time.Duration `json:"watch_wait" validate:"min=100ms,max=30s"`
	WatchPause     time.Duration `json:"watch_pause" validate:"min=0,max=10s"`
	FallbackAfter  time.Duration `json:"fallback_after" validate:"min=200ms,max=5m,gtfield=WatchWait"`
	RelistEvery    time.Duration `json:"relist_every" validate:"min=1s,max=24h"`
	HeartbeatEvery time.Duration `json:"heartbeat_every" validate:"min=50ms,max=10s"`
	SilenceAfter   time.Duration `json:"silence_after" validate:"min=200ms,max=1m,gtfield=HeartbeatEvery"`
	// ProbeEvery is the time between two probes of a runner while the store is
	// unavailable. They find out whether the runner is leaving.
	ProbeEvery    time.Duration `json:"probe_every" validate:"min=10ms,max=1m"`
	EntryValidity time.Duration `json:"entry_validity" validate:"min=10ms,max=1h"`
	// EndpointSource is the IP address from which this host connects to endpoints;
	// empty for the host's choice.
	EndpointSource string        `json:"endpoint_source" validate:"omitempty,ip"`
	ConnectTimeout time.Duration `json:"connect_timeout" validate:"min=10ms,max=1m"`
	ReportTimeout  time.Duration `json:"report_timeout" validate:"min=10ms,max=1m"`
	// IdleTimeout is how long an unused connection to an endpoint is kept.
	IdleTimeout time.Duration `json:"idle_timeout" validate:"min=10ms,max=10m"`
	// Grace is the time in seconds between the platform's stop signal and its kill.
	Grace float64 `json:"grace_seconds" validate:"min=1,max=86400"`
	// EndpointBeat is the time in milliseconds between two writes of an endpoint's
	// entry in the registry.
	EndpointBeat int64 `json:"endpoint_beat_ms" validate:"min=1,max=600000"`
	// ReclaimNotice is the time in milliseconds that an endpoint serves on at least
	// after the daemons have learned that it is leaving.
	ReclaimNotice int64 `json:"reclaim_notice_ms" validate:"min=0,max=600000"`
	// RetryRatio and RetrySlack bound the requests that all daemons together send
	// to a second endpoint: RetryRatio as a share of the requests, RetrySlack as a
	// number within a window.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
	RetrySlack float64 `json:"retry_slack" validate:"min=0,max=1000000"`
	// MaxOpen bounds the requests open at once.
	MaxOpen           int `json:"max_open_requests" validate:"min=1,max=1000000"`
	RememberDecisions int `json:"remember_decisions" validate:"min=32,max=1000000"`
	// UnevenEndpoints makes placement and balancing take the speed of endpoints into
	// account where these state it.
	UnevenEndpoints bool `json:"uneven_endpoints"`
	// ScarceRoom lets brief generations with short objectives go before long ones when
	// the cache of their pool is short, and ends held ones whose keys are removed.
	ScarceRoom bool `json:"scarce_room"`
	// Capacity is what the platform grants this host; nil if it doesn't state it.
	Capacity *capacitySettings `json:"capacity"`
	// LogBytesPerSecond bounds the log output. Warnings and errors are exempt.
	LogBytesPerSecond int `json:"log_bytes_per_second" validate:"min=1000,max=1000000000"`
}

// capacitySettings are the limits that the platform puts on a host. All are required
// but Cores.
type capacitySettings struct {
	// Processor is the share of each core that the host may use, and Cores the number
	// of cores; zero means 1. The template can't multiply, so both are settings.
	Processor float64 `json:"processor" validate:"gt=0,max=1024"`
	Cores     float64 `json:"cores" validate:"min=0,max=1024"`
	// LinkMbps is the bandwidth of the link in Mbit/s.
	LinkMbps float64 `json:"link_mbps" validate:"gt=0,max=1000000"`
	// MemoryMB is the memory in MB at which the process is killed.
	MemoryMB    float64 `json:"memory_mb" validate:"min=1"`
	Descriptors int     `json:"descriptors" validate:"min=1"`
}

// maxProcessors bounds the product of capacitySettings.Processor and Cores.
const maxProcessors = 1024

// memoryLimit returns the limit in bytes at which the process is killed, or zero if the
// settings don't state it.
func (s *entrySettings) memoryLimit() uint64 {
	if s.Capacity == nil {
		return 0
	}
	return uint64(s.Capacity.MemoryMB * bytesPerMB)
}

// bytesPerMB is the smaller one of the two units in use.
const bytesPerMB = 1_000_000

// capacity returns the host's capacity, or zero if the settings don't state it.
// Positive values are rounded up to the smallest unit, because zero means unknown.
func (s *entrySettings) capacity() port.HostCapacity {
	c := s.Capacity
	if c == nil {
		return port.HostCapacity{}
	}
	processors := min(maxProcessors, c.Processor*cmp.Or(c.Cores, 1))
	return port.HostCapacity{
		ProcessorMilli: uint32(max(1, math.Round(processors*1000))),
		LinkKbps:       uint32(max(1, math.Round(c.LinkMbps*1000))),
	}
}

// Buffers of connections to endpoints and from callers.
const (
	endpointReceiveBytes = 8 << 10
	callerBufferBytes    = 16 << 10
)

// endpointBuffers and callerBuffers bound what the system holds for each connection, on hosts
// with a memory limit: what was received and not yet read counts toward it. With 8 KB,
// 13 Mbit/s pass through a connection whose round trip takes 5 ms.
func (s *entrySettings) endpointBuffers() tcpopt.Buffers {
	if s.Capacity == nil {
		return tcpopt.Buffers{}
	}
	return tcpopt.Buffers{ReceiveBytes: endpointReceiveBytes}
}

func (s *entrySettings) callerBuffers() tcpopt.Buffers {
	if s.Capacity == nil {
		return tcpopt.Buffers{}
	}
	return tcpopt.Buffers{ReceiveBytes: callerBufferBytes, SendBytes: callerBufferBytes}
}

func defaults() entrySettings {
	return entrySettings{
		Common: daemon.CommonDefaults(), StoreTimeout: platform.DefaultStoreTimeout,
		Watchers: 5, WatchWait: time.Second, WatchPause: 20 * time.Millisecond,
		FallbackAfter: 1500 * time.Millisecond, RelistEvery: keeper.DefaultRelistEvery,
		HeartbeatEvery: 250 * time.Millisecond, SilenceAfter: time.Second,
		ProbeEvery: 150 * time.Millisecond, EntryValidity: 2 * time.Second, ConnectTimeout: 500 * time.Millisecond,
		ReportTimeout: 500 * time.Millisecond, IdleTimeout: 2 * time.Second,
		Grace: 8, EndpointBeat: 1200, ReclaimNotice: 1500, RetryRatio: 0.2, RetrySlack: 20, MaxOpen: 4000, RememberDecisions: 4096,
		LogBytesPerSecond: 200_000,
	}
}

// Circuit breaker limits. They are constants and not settings, as no operator has
// needed to change them.
const (
	breakerFailures     = 3
	breakerOpenFor      = 500 * time.Millisecond
	breakerMaxOpenFor   = 4 * time.Second
	breakerMaxEndpoints = 4096
)

// Fixed parameters, among them the fractions of configured budgets that this
// daemon uses.
const (
	// retryFraction keeps the retries of all daemons together under the bound
	// while daemons restart, each of which starts with a full burst.
	retryFraction = 0.5
	// Fractions of the grace period. New generations are accepted until the first
	// and new calls until the second; at the third, open requests are aborted.
	acceptGenerationsFraction = 0.3
	acceptCallsFraction       = 0.7
	forceCloseFraction        = 0.93
	// busyThreshold makes an organisation over its share wait only if the pool is
	// expected to be full. Its generations end within ten seconds, so holding
	// requests back earlier would delay them while caches are half empty.
	busyThreshold = 1.0
	// prefillBacklogLimit is the length of two reports' prompts. Engines prefill 7
	// tokens per millisecond while they decode other generations, so the second
	// report still gets its first token within a second.
	prefillBacklogLimit = 6144
	// maxRefusals bounds the endpoints tried for a request while each refuses as full.
	maxRefusals = 3
	// entryTTLBeats is the number of beats that an endpoint's entry stays in the
	// registry after its last write.
	entryTTLBeats = 3
	// reportMaxAge is the age above which a load report that came with a response
	// is no longer used.
	reportMaxAge = 2 * time.Second
)

// entryTTL is how long the registry keeps an entry that is not renewed.
func (s *entrySettings) entryTTL() time.Duration {
	return entryTTLBeats * time.Duration(s.EndpointBeat) * time.Millisecond
}

// callerAddress is the address at which callers reach this daemon.
func (s *entrySettings) callerAddress() string { return cmp.Or(s.AdvertiseCallers, s.Listen.Callers) }

// peerAddress is the address at which other daemons reach this one.
func (s *entrySettings) peerAddress() string { return cmp.Or(s.AdvertisePeers, s.Listen.Peers) }

func (s *entrySettings) options() gateway.Options {
	grace := time.Duration(s.Grace * float64(time.Second))
	graceFraction := func(p float64) time.Duration { return time.Duration(p * float64(grace)) }
	return gateway.Options{
		ID: s.ID, CallerAddress: s.callerAddress(), Capacity: s.capacity(),
		Breaker: breaker.Options{
			Failures: breakerFailures, OpenFor: breakerOpenFor, MaxOpenFor: breakerMaxOpenFor,
			MaxEndpoints: breakerMaxEndpoints,
		},
		RetryShare: s.RetryRatio * retryFraction, RetryBurst: int(s.RetrySlack * retryFraction),
		MaxOpen: s.MaxOpen, AnswerMemory: hostmemory.AnswersOf(s.memoryLimit()), MaxRefusals: maxRefusals, ReportMaxAge: reportMaxAge,
		UnevenEndpoints: s.UnevenEndpoints, ScarceRoom: s.ScarceRoom,
		EntryValidity: s.EntryValidity, ReclaimNotice: time.Duration(s.ReclaimNotice) * time.Millisecond,
		Drain: gateway.DrainOptions{
			AcceptGenerationsFor: graceFraction(acceptGenerationsFraction), AcceptCallsFor: graceFraction(acceptCallsFraction), ForceCloseAfter: graceFraction(forceCloseFraction),
		},
	}
}
