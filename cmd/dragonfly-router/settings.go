package main

import (
	"encoding/hex"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/daemon"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// routerSettings are the settings of one router.
type routerSettings struct {
	daemon.Common
	// ResumeKeys are the keys of resume tokens in hex, the same at every router. The
	// first key signs, and tokens signed with any of them are accepted.
	ResumeKeys []string `json:"resume_keys" validate:"required,min=1,max=8,dive,min=32,max=256,hexadecimal"`
	// Routers are the peer addresses of routers from which the records are fetched
	// if no keeper can be reached at the start.
	Routers        []string      `json:"routers" validate:"max=1024,dive,hostname_port"`
	HeartbeatEvery time.Duration `json:"heartbeat_every" validate:"min=50ms,max=10s"`
	SilenceAfter   time.Duration `json:"silence_after" validate:"min=200ms,max=1m,gtfield=HeartbeatEvery"`
	EntryValidity  time.Duration `json:"entry_validity" validate:"min=10ms,max=1h"`
	HoldLimit      time.Duration `json:"hold_limit" validate:"min=1ms,max=10m"`
	StallTimeout   time.Duration `json:"stall_timeout" validate:"min=10ms,max=10m"`
	ConnectTimeout time.Duration `json:"connect_timeout" validate:"min=10ms,max=1m"`
	OpenTimeout    time.Duration `json:"open_timeout" validate:"min=10ms,max=10m"`
	CancelTimeout  time.Duration `json:"cancel_timeout" validate:"min=10ms,max=1m"`
	CancelLimit    time.Duration `json:"cancel_limit" validate:"min=1s,max=24h"`
	ServiceTimeout time.Duration `json:"service_timeout" validate:"min=10ms,max=1h"`
	ClaimTimeout   time.Duration `json:"claim_timeout" validate:"min=10ms,max=1m"`
	PeerTimeout    time.Duration `json:"peer_timeout" validate:"min=10ms,max=1m"`
	BodyTimeout    time.Duration `json:"body_timeout" validate:"min=100ms,max=10m"`
	WriteTimeout   time.Duration `json:"write_timeout" validate:"min=100ms,max=10m"`
	// Patience limits how long a run is pursued before it is given up.
	Patience       patienceSettings `json:"patience"`
	ReaderPatience time.Duration    `json:"reader_patience" validate:"min=10ms,max=10m"`
	BufferFrames   int              `json:"buffer_frames" validate:"min=1,max=4096"`
	LoadInterval   time.Duration    `json:"load_interval" validate:"min=10ms,max=1m"`
	LoadStale      time.Duration    `json:"load_stale" validate:"min=10ms,max=10m"`
	LoadSubset     int              `json:"load_subset" validate:"min=1,max=10000"`
	// LoadPollsPerSecond bounds the load polls, which cost about 400 bytes each.
	LoadPollsPerSecond float64 `json:"load_polls_per_second" validate:"min=0.1,max=1000"`
	// MaxOpen bounds the requests open at once.
	MaxOpen     int     `json:"max_open_requests" validate:"min=1,max=1000000"`
	MaxAttempts int     `json:"max_attempts" validate:"min=1,max=16"`
	RetryShare  float64 `json:"retry_share" validate:"min=0,max=1"`
	RetryBurst  int     `json:"retry_burst" validate:"min=0,max=10000"`
	// RememberRequests and RememberReplyBytes bound the request statuses and the
	// replies that are kept for callers who repeat a request.
	RememberRequests   int `json:"remember_requests" validate:"min=16,max=1000000"`
	RememberReplyBytes int `json:"remember_reply_bytes" validate:"min=0,max=1073741824"`
	RememberDecisions  int `json:"remember_decisions" validate:"min=32,max=1000000"`
}

// patienceSettings is stream.Limits in the form of the settings file.
type patienceSettings struct {
	Failures        int `json:"failures" validate:"min=1,max=1000"`
	StartedFailures int `json:"started_failures" validate:"min=1,max=1000,gtefield=Failures"`
	QueuedRounds    int `json:"queued_rounds" validate:"min=1,max=100000"`
	RunningRounds   int `json:"running_rounds" validate:"min=1,max=100000"`
	// StartedRounds must not be smaller than the other two. A run that has produced
	// tokens can't move to another engine, so it is the last to be given up.
	StartedRounds int           `json:"started_rounds" validate:"min=1,max=100000,gtefield=QueuedRounds,gtefield=RunningRounds"`
	CancelTries   int           `json:"cancel_tries" validate:"min=1,max=100"`
	Backoff       time.Duration `json:"backoff" validate:"min=1ms,max=10s"`
	MaxBackoff    time.Duration `json:"max_backoff" validate:"min=1ms,max=1m,gtefield=Backoff"`
}

func (p *patienceSettings) limits() stream.Limits { return stream.Limits(*p) }

func defaults() routerSettings {
	return routerSettings{
		Common: daemon.CommonDefaults(), Patience: patienceSettings(stream.DefaultLimits()),
		HeartbeatEvery: grpcpeer.DefaultHeartbeatEvery, SilenceAfter: grpcpeer.DefaultSilenceAfter,
		EntryValidity: 2 * time.Second, HoldLimit: time.Minute, StallTimeout: 2 * time.Second,
		ConnectTimeout: 500 * time.Millisecond, OpenTimeout: 2 * time.Second,
		CancelTimeout: 500 * time.Millisecond, CancelLimit: 10 * time.Minute,
		ServiceTimeout: 10 * time.Second, ClaimTimeout: time.Second, PeerTimeout: 500 * time.Millisecond,
		BodyTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second, ReaderPatience: 2 * time.Second, BufferFrames: 64,
		LoadInterval: 250 * time.Millisecond, LoadStale: 500 * time.Millisecond, LoadSubset: 64,
		LoadPollsPerSecond: 20,
		MaxOpen:            20000, MaxAttempts: 3, RetryShare: 0.1, RetryBurst: 20,
		RememberRequests: 16384, RememberReplyBytes: 4 << 20, RememberDecisions: 8192,
	}
}

// Circuit breaker limits. They are constants and not settings, as no operator has
// needed to change them.
const (
	breakerFailures     = 3
	breakerOpenFor      = 500 * time.Millisecond
	breakerMaxOpenFor   = 10 * time.Second
	breakerMaxEndpoints = 4096
)

func (s *routerSettings) options() (router.Options, error) {
	keys := make([][]byte, 0, len(s.ResumeKeys))
	for _, text := range s.ResumeKeys {
		key, err := hex.DecodeString(text)
		if err != nil {
			return router.Options{}, err
		}
		keys = append(keys, key)
	}
	return router.Options{
		ID: s.ID, CallerAddress: s.Listen.Callers,
		Tokens: stream.NewTokens(keys...), Stream: s.Patience.limits(),
		Breaker: breaker.Options{
			Failures: breakerFailures, OpenFor: breakerOpenFor, MaxOpenFor: breakerMaxOpenFor,
			MaxEndpoints: breakerMaxEndpoints,
		},
		RetryShare: s.RetryShare, RetryBurst: s.RetryBurst, MaxAttempts: s.MaxAttempts, MaxOpen: s.MaxOpen,
		HoldLimit: s.HoldLimit, StallTimeout: s.StallTimeout,
		CancelTimeout: s.CancelTimeout, CancelLimit: s.CancelLimit,
		ServiceTimeout: s.ServiceTimeout, ClaimTimeout: s.ClaimTimeout, PeerTimeout: s.PeerTimeout,
		BufferFrames: s.BufferFrames, SlowReaderTimeout: s.ReaderPatience,
		LoadInterval: s.LoadInterval, LoadMaxAge: s.LoadStale, LoadSubset: s.LoadSubset, LoadPollsPerSecond: s.LoadPollsPerSecond,
		EntryValidity: s.EntryValidity, DrainTimeout: s.DrainTimeout,
		MaxRequestStatuses: s.RememberRequests, ReplyCacheBytes: s.RememberReplyBytes,
	}, nil
}
