// Package keeper implements the keeper daemon: it reads the platform while its
// role requires it to, relays records, endpoints and members, detects failed
// members, probes endpoints, and handles operators' writes.
package keeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Defaults of Options.
const (
	// DefaultWatchers is the number of keepers, in the whole system, that watch
	// the platform. It tolerates the loss of two and doesn't grow with the size
	// of the fleet.
	DefaultWatchers = 3
	// DefaultWatchWait is the timeout of a long poll. While the platform
	// answers, it bounds the age of the platform's last answer.
	DefaultWatchWait = 3 * time.Second
	// DefaultFallbackAfter is the age of the last known call to the platform,
	// by any keeper, after which this keeper reads the platform itself.
	DefaultFallbackAfter = 5 * time.Second
	// DefaultRelistEvery is the time between full lists, which find changes
	// that a watch lost without an error.
	DefaultRelistEvery = time.Minute
	// DefaultHostsEvery is the time between reads of the list of hosts.
	DefaultHostsEvery = 2 * time.Second
	// DefaultProbeEvery is the time between probes of an endpoint while the
	// keeper's share of endpoints is small.
	DefaultProbeEvery = time.Second
	// DefaultOutcomeTimeout bounds how long an operator waits until the outcome
	// of a write whose reply was lost is known; DefaultOutcomeRetryPause is the
	// time between two attempts to determine it.
	DefaultOutcomeTimeout    = 8 * time.Second
	DefaultOutcomeRetryPause = 100 * time.Millisecond
	// DefaultRoleCheckInterval is the time between two checks of the keeper's
	// role.
	DefaultRoleCheckInterval = 250 * time.Millisecond
	// DefaultWatchPause lets a burst of changes arrive in one reply, which
	// limits the calls to a few per second at any rate of changes.
	DefaultWatchPause    = 250 * time.Millisecond
	DefaultRetryPause    = 250 * time.Millisecond
	DefaultRetryPauseMax = 4 * time.Second
	// DefaultDelistGrace is how long, after an outage, the platform takes to
	// list again the endpoints that are still live.
	DefaultDelistGrace = 2500 * time.Millisecond
	// DefaultEntryTTL is three heartbeats of an endpoint.
	DefaultEntryTTL = 3600 * time.Millisecond
	// DefaultLinkRetry is the minimum pause before a lost link is opened again.
	DefaultLinkRetry = 250 * time.Millisecond
	// hostPollers is how many of the watchers read the list of hosts.
	hostPollers = 2
)

// EndpointProber asks an endpoint for a load report.
type EndpointProber interface {
	Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error)
}

// Options configures a keeper.
type Options struct {
	// Self must have ID, FailureDomain, Host and the addresses set.
	Self port.Member
	// Keepers are the peer addresses that are tried first.
	Keepers  []string
	Platform port.Platform
	// Endpoints is the platform's registry of endpoints, if it has one that can
	// be watched; otherwise Platform.Hosts is polled.
	Endpoints port.EndpointRegistry
	// Kinds are the kinds of records that are watched; nil means record.Kinds.
	Kinds []string
	// PolledKinds are kinds of records that rarely change and that only keepers
	// write, which send the changes to each other. The keeper that reads the
	// platform for all others lists them periodically, so that they survive the
	// loss of all daemons.
	PolledKinds []string
	// ExistenceKinds are kinds of objects that only the platform's own operators
	// write: a record is in force as long as its object exists.
	ExistenceKinds []string
	Prober         EndpointProber
	// IsPaused reports whether an endpoint has asked this host to send it nothing
	// for now, probes included; nil means that none ever does.
	IsPaused  func(e port.Endpoint) bool
	Decisions port.DecisionSink
	Logger    *log.Logger
	Registry  gometrics.Registry

	Watchers       int
	WatchWait      time.Duration
	FallbackAfter  time.Duration
	RelistEvery    time.Duration
	HostsEvery     time.Duration
	ProbeEvery     time.Duration
	HeartbeatEvery time.Duration
	SilenceAfter   time.Duration
	// ProbesPerSecond bounds the rate of this keeper's probes.
	ProbesPerSecond float64
	// ProbeOnlyDuringOutage: endpoints are probed only while the platform doesn't
	// answer. At other times its registry reports everything and drops
	// endpoints that are silent, so a probe matters only if it reports that the
	// endpoint is leaving.
	ProbeOnlyDuringOutage bool
	OutcomeTimeout        time.Duration
	OutcomeRetryPause     time.Duration
	// WatchPause lets a burst of changes arrive in one reply.
	WatchPause time.Duration
	// RoleCheckInterval is the time between two checks of the keeper's role.
	RoleCheckInterval time.Duration
	// RetryPause is the first pause after a failed call, RetryPauseMax the
	// longest.
	RetryPause    time.Duration
	RetryPauseMax time.Duration
	// LinkRetry is the minimum pause before a lost link is opened again.
	LinkRetry time.Duration
	// DelistGrace is how long endpoints that a list leaves out are still treated
	// as listed after an outage of the platform or a restore of its store from
	// a backup.
	DelistGrace time.Duration
	// EntryTTL is how long the registry keeps an entry that its endpoint
	// doesn't renew.
	EntryTTL    time.Duration
	DialOptions []grpc.DialOption
}

func (o *Options) setDefaults() {
	o.Self.Role = port.RoleKeeper
	if o.Watchers <= 0 {
		o.Watchers = DefaultWatchers
	}
	if o.ProbesPerSecond <= 0 {
		o.ProbesPerSecond = DefaultProbesPerSecond
	}
	if o.Kinds == nil {
		o.Kinds = record.Kinds()
	}
	if o.Registry == nil {
		o.Registry = gometrics.NewRegistry()
	}
	for _, d := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&o.WatchWait, DefaultWatchWait},
		{&o.FallbackAfter, DefaultFallbackAfter},
		{&o.RelistEvery, DefaultRelistEvery},
		{&o.HostsEvery, DefaultHostsEvery},
		{&o.ProbeEvery, DefaultProbeEvery},
		{&o.HeartbeatEvery, grpcpeer.DefaultHeartbeatEvery},
		{&o.SilenceAfter, grpcpeer.DefaultSilenceAfter},
		{&o.OutcomeTimeout, DefaultOutcomeTimeout},
		{&o.OutcomeRetryPause, DefaultOutcomeRetryPause},
		{&o.WatchPause, DefaultWatchPause},
		{&o.RoleCheckInterval, DefaultRoleCheckInterval},
		{&o.RetryPause, DefaultRetryPause},
		{&o.RetryPauseMax, DefaultRetryPauseMax},
		{&o.DelistGrace, DefaultDelistGrace},
		{&o.EntryTTL, DefaultEntryTTL},
		{&o.LinkRetry, DefaultLinkRetry},
	} {
		if *d.field <= 0 {
			*d.field = d.defaultValue
		}
	}
}

// Keeper is the state of one keeper daemon. It is safe for concurrent use.
type Keeper struct {
	options Options
	node    *node.Node
	seeds   atomic.Pointer[[]string]
	// cachedMemberView is accessed through memberView.
	cachedMemberView atomic.Pointer[memberView]
	identity         *grpcpeer.Identity
	heartbeats       *membership.Heartbeats
	listed           listedKinds
	failures         failureDetector
	probeFailures    probeFailures
	quarantine       *quarantine.Register
	duty             *watchduty.RoleTracker
	// lastRole is the role decided last, lastRelayed the state of the platform
	// that links were last woken for.
	lastRole    atomic.Int32
	lastRelayed relayedNews
	// lastPeerMessage is the time of the last message from a peer, in Unix
	// nanoseconds of this host's clock.
	lastPeerMessage atomic.Int64
	// prunedDigest is the digest of the endpoints at the last removal of those
	// that left long ago.
	prunedDigest uint64

	// heldVersion is the time since which the highest version held here has
	// been held.
	heldVersion versionClock

	// bytesSent and bytesReceived count the traffic of links that have ended.
	bytesSent, bytesReceived gometrics.Counter

	// failingWatches counts the watches whose last call failed.
	failingWatches atomic.Int32

	// eras tracks the era of the platform's store; lastRevision is the revision
	// in its last answer.
	eras         membership.Eras
	lastRevision atomic.Uint64
}

// relayedNews holds the state of the platform that was relayed to peers without
// waiting for a heartbeat.
type relayedNews struct {
	mu   sync.Mutex
	news watchduty.StoreStatus
}

// New returns a keeper that does nothing until Run is called.
func New(o Options) *Keeper {
	o.setDefaults()
	k := &Keeper{
		options:    o,
		node:       node.New(),
		identity:   grpcpeer.NewIdentity(o.Self),
		heartbeats: membership.NewHeartbeats(),
	}
	k.bytesSent = gometrics.GetOrRegisterCounter("keeper_links_sent_bytes_total", o.Registry)
	k.bytesReceived = gometrics.GetOrRegisterCounter("keeper_links_received_bytes_total", o.Registry)
	k.node.SetListener(k)
	k.quarantine = quarantine.NewRegister(k.node, k.logQuarantineChange)
	k.duty = watchduty.New(time.Now(), o.FallbackAfter)
	k.SetSeeds(o.Keepers)
	k.putSelf()
	k.registerGauges()
	return k
}

// Run runs the keeper until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.maintainLinks(ctx) })
	group.Go(func() error { return k.detectFailures(ctx) })
	group.Go(func() error { return k.syncQuarantine(ctx) })
	if k.options.Endpoints != nil {
		group.Go(func() error { return k.watchEndpoints(ctx) })
	} else {
		group.Go(func() error { return k.pollHosts(ctx) })
	}
	if k.options.Prober != nil {
		group.Go(func() error { return k.runProbes(ctx) })
	}
	for _, kind := range k.options.Kinds {
		group.Go(func() error { return k.watchRecords(ctx, kind) })
	}
	for _, kind := range k.options.ExistenceKinds {
		group.Go(func() error { return k.watchExistence(ctx, kind) })
	}
	for _, kind := range k.options.PolledKinds {
		group.Go(func() error { return k.listPeriodically(ctx, kind) })
	}
	return group.Wait()
}

// Service returns the peer service. Claims may be nil.
func (k *Keeper) Service(claims grpcpeer.ClaimService) *grpcpeer.KeeperService {
	return &grpcpeer.KeeperService{
		Node: k.node, Listener: k, Claims: claims,
		Relay: k, HeartbeatEvery: k.options.HeartbeatEvery,
	}
}

// Node returns the keeper's replicated state.
func (k *Keeper) Node() *node.Node { return k.node }

// Ready reports whether the keeper holds a complete set of records.
func (k *Keeper) Ready() bool { return k.node.Complete() }

// SetSeeds replaces the peer addresses that are tried while no other keeper is
// known.
func (k *Keeper) SetSeeds(addresses []string) {
	seeds := slices.Clone(addresses)
	k.seeds.Store(&seeds)
}

// SetLeaving announces to the other daemons that this keeper is leaving.
func (k *Keeper) SetLeaving() {
	k.identity.SetLeaving()
	k.putSelf()
}

// PublishLostPools announces to the other daemons the pools of which this daemon reaches
// no endpoint, in ascending order. The slice must not be modified afterwards.
func (k *Keeper) PublishLostPools(pools []string) {
	k.identity.SetLostPools(pools)
	k.putSelf()
}

// PublishLoad announces to the other daemons the share of the host's capacity in use.
func (k *Keeper) PublishLoad(percent uint32) {
	k.identity.SetLoadPercent(percent)
	k.putSelfIfChanged((*membership.Member).SameReport)
}

// Records returns the records in force, without deleted ones.
func (k *Keeper) Records() []port.Record { return grpcpeer.LiveRecords(k.node) }

// Endpoints returns all known endpoints.
func (k *Keeper) Endpoints() []port.Endpoint {
	var out []port.Endpoint
	for e := range k.node.Endpoints.All() {
		out = append(out, e.Endpoint)
	}
	return out
}

// FollowEndpoints returns a function that yields the endpoints that changed
// since its last call and the ids of those that were forgotten. Its first call
// yields all endpoints.
func (k *Keeper) FollowEndpoints() func() (changed []port.Endpoint, forgotten []string) {
	changes := k.node.Endpoints.Follow()
	return func() (changed []port.Endpoint, forgotten []string) {
		entries, forgotten := changes.TakeAll()
		for _, e := range entries {
			changed = append(changed, e.Endpoint)
		}
		return changed, forgotten
	}
}

// Members returns all known daemons, including dead ones. The slice is shared
// and must not be changed.
func (k *Keeper) Members() []port.Member { return k.memberView().members }

// Changed returns a channel that is closed at the next change of records,
// endpoints or members.
func (k *Keeper) Changed() <-chan struct{} { return k.node.Changed() }

// Synced returns Ready; it implements port.StateView.
func (k *Keeper) Synced() bool { return k.Ready() }

var _ port.StateView = (*Keeper)(nil)

func (k *Keeper) liveKeepers() []membership.Member { return k.memberView().live }

func (k *Keeper) registerGauges() {
	gauge := func(name string, f func() int64) {
		k.options.Registry.GetOrRegister(name, gometrics.NewFunctionalGauge(f))
	}
	gauge("records_held", func() int64 { return int64(k.node.Records.Len()) })
	gauge("record_parts_missing", func() int64 { return int64(k.node.MissingParts()) })
	gauge("endpoints_held", func() int64 { return int64(k.node.Endpoints.Len()) })
	gauge("members_held", func() int64 { return int64(k.node.Members.Len()) })
	gauge("members_heard", func() int64 { return int64(len(k.heartbeats.All())) })
	gauge("record_highest_version", func() int64 { return int64(k.node.HighestHeld()) })
	gauge("platform_age_ms", func() int64 { return k.PlatformAge(time.Now()).Milliseconds() })
}

// pause waits for d, or returns the context's error if the context ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
