// Package keeper is the keeper's application: it watches the platform where
// that falls to it, relays records, endpoints and members, judges silent
// members, probes endpoints, and takes operators' writes.
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

// Times and numbers of a keeper, where Options leave them out.
const (
	// DefaultWatchers is how many keepers watch the platform, over the whole
	// system: enough to lose two, and flat in the size of the fleet.
	DefaultWatchers = 3
	// DefaultWatchWait is the length of a long poll. It bounds how old the
	// platform's last answer gets while all is well.
	DefaultWatchWait = 3 * time.Second
	// DefaultFallbackAfter is the age of the last try at the platform, by anyone
	// this keeper hears of, at which it reads for itself.
	DefaultFallbackAfter = 5 * time.Second
	// DefaultRelistEvery finds what a watch lost without saying so.
	DefaultRelistEvery = time.Minute
	// DefaultHostsEvery is the time between reads of the list of hosts.
	DefaultHostsEvery = 2 * time.Second
	// DefaultProbeEvery is the time between probes of an endpoint while the
	// keeper's share of endpoints is small.
	DefaultProbeEvery = time.Second
	// DefaultSettleWithin bounds how long an operator waits for the truth
	// about a write whose reply was lost; DefaultSettlePause is the time
	// between two attempts to find it.
	DefaultSettleWithin = 8 * time.Second
	DefaultSettlePause  = 100 * time.Millisecond
	// DefaultDutyCheck is how often a keeper asks itself whether it should
	// watch.
	DefaultDutyCheck = 250 * time.Millisecond
	// DefaultWatchPause lets a burst of changes come as one reply: calls then
	// don't grow with the rate of changes past a few a second.
	DefaultWatchPause    = 250 * time.Millisecond
	DefaultRetryPause    = 250 * time.Millisecond
	DefaultRetryPauseMax = 4 * time.Second
	// DefaultLapseGrace is how long the platform takes to list again, after it
	// was away, the endpoints that still live.
	DefaultLapseGrace = 2500 * time.Millisecond
	// DefaultEntryLife is three beats of an endpoint.
	DefaultEntryLife = 3600 * time.Millisecond
	// DefaultLinkRetry is the least pause before a lost link is tried again.
	DefaultLinkRetry = 250 * time.Millisecond
	// hostPollers of the watchers read the list of hosts.
	hostPollers = 2
)

// EndpointProber asks an endpoint for its own word.
type EndpointProber interface {
	Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error)
}

// Options of a keeper.
type Options struct {
	// Self needs ID, FailureDomain, Host and the addresses.
	Self port.Member
	// Keepers are the peer addresses tried first.
	Keepers  []string
	Platform port.Platform
	// Registry of endpoints, where the platform has one that can be watched;
	// else Platform.Hosts is polled.
	Endpoints port.EndpointRegistry
	// Kinds of records that are watched; nil is record.Kinds.
	Kinds []string
	// ListedKinds are kinds of records that hardly ever change, and by keepers
	// only, which tell each other. They are read now and then by the keeper that
	// reads for all, so that they outlast the loss of all daemons.
	ListedKinds []string
	// PresentKinds are kinds of objects that only the platform's own operators
	// write: a record is in force as long as its object exists.
	PresentKinds []string
	Prober       EndpointProber
	Decisions    port.DecisionSink
	Logger       *log.Logger
	Registry     gometrics.Registry

	Watchers       int
	WatchWait      time.Duration
	FallbackAfter  time.Duration
	RelistEvery    time.Duration
	HostsEvery     time.Duration
	ProbeEvery     time.Duration
	HeartbeatEvery time.Duration
	SilenceAfter   time.Duration
	// ProbesPerSecond bounds this keeper's probes.
	ProbesPerSecond float64
	// ProbeWhenAway: endpoints are probed only while the platform gives no
	// answer. Its registry then tells of everything else, and drops those that
	// are silent, so that a probe's word counts only where it says that the
	// endpoint leaves.
	ProbeWhenAway bool
	SettleWithin  time.Duration
	SettlePause   time.Duration
	// WatchPause lets a burst of changes come as one reply.
	WatchPause time.Duration
	// DutyCheck is how often a keeper asks itself whether it should watch.
	DutyCheck time.Duration
	// RetryPause is the first pause after a failed call, RetryPauseMax the
	// longest.
	RetryPause    time.Duration
	RetryPauseMax time.Duration
	// LinkRetry is the least pause before a lost link is tried again.
	LinkRetry time.Duration
	// LapseGrace is how long endpoints that a list leaves out are believed
	// where the platform was away before, or came back from a copy.
	LapseGrace time.Duration
	// EntryLife is how long the registry keeps the entry of an endpoint that
	// doesn't write it again.
	EntryLife   time.Duration
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
		field    *time.Duration
		standard time.Duration
	}{
		{&o.WatchWait, DefaultWatchWait},
		{&o.FallbackAfter, DefaultFallbackAfter},
		{&o.RelistEvery, DefaultRelistEvery},
		{&o.HostsEvery, DefaultHostsEvery},
		{&o.ProbeEvery, DefaultProbeEvery},
		{&o.HeartbeatEvery, grpcpeer.DefaultHeartbeatEvery},
		{&o.SilenceAfter, grpcpeer.DefaultSilenceAfter},
		{&o.SettleWithin, DefaultSettleWithin},
		{&o.SettlePause, DefaultSettlePause},
		{&o.WatchPause, DefaultWatchPause},
		{&o.DutyCheck, DefaultDutyCheck},
		{&o.RetryPause, DefaultRetryPause},
		{&o.RetryPauseMax, DefaultRetryPauseMax},
		{&o.LapseGrace, DefaultLapseGrace},
		{&o.EntryLife, DefaultEntryLife},
		{&o.LinkRetry, DefaultLinkRetry},
	} {
		if *d.field <= 0 {
			*d.field = d.standard
		}
	}
}

// Keeper is one keeper. It is safe for concurrent use.
type Keeper struct {
	options Options
	node    *node.Node
	seeds   atomic.Pointer[[]string]
	// lastStanding is read through standing.
	lastStanding atomic.Pointer[standing]
	identity     *grpcpeer.Identity
	hearing      *membership.Hearing
	listed       listedKinds
	judging      judging
	probes       probeMemory
	quarantine   *quarantine.Register
	duty         *watchduty.Duty
	// lastRole is the role decided last, told the news that links were woken for.
	lastRole atomic.Int32
	told     toldNews
	// peerHeard is when a peer was last heard, in Unix nanoseconds of this host's
	// clock.
	peerHeard atomic.Int64
	// swept is the digest of the endpoints when those that have left long ago were
	// last looked for.
	swept uint64

	// ownVersion is since when the highest version held here is.
	ownVersion versionClock

	// bytesSent and bytesReceived count what links that have ended carried.
	bytesSent, bytesReceived gometrics.Counter

	// failing counts the watches whose last call failed.
	failing atomic.Int32

	// eras follows the era of the platform's store; lastRevision is the revision
	// that its last answer named.
	eras         membership.Eras
	lastRevision atomic.Uint64
}

// toldNews is the news of the platform that links were woken for.
type toldNews struct {
	mu   sync.Mutex
	news watchduty.News
}

// New returns a keeper that does nothing until Run.
func New(o Options) *Keeper {
	o.setDefaults()
	k := &Keeper{
		options:  o,
		node:     node.New(),
		identity: grpcpeer.NewIdentity(o.Self),
		hearing:  membership.NewHearing(),
	}
	k.bytesSent = gometrics.GetOrRegisterCounter("keeper_links_sent_bytes_total", o.Registry)
	k.bytesReceived = gometrics.GetOrRegisterCounter("keeper_links_received_bytes_total", o.Registry)
	k.node.SetListener(k)
	k.quarantine = quarantine.NewRegister(k.node, k.noteQuarantine)
	k.duty = watchduty.New(time.Now(), o.FallbackAfter)
	k.SetSeeds(o.Keepers)
	k.introduce()
	k.registerGauges()
	return k
}

// Run does the keeper's work until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.linkForever(ctx) })
	group.Go(func() error { return k.judgeForever(ctx) })
	group.Go(func() error { return k.quarantineForever(ctx) })
	if k.options.Endpoints != nil {
		group.Go(func() error { return k.watchEndpointsForever(ctx) })
	} else {
		group.Go(func() error { return k.pollHostsForever(ctx) })
	}
	if k.options.Prober != nil {
		group.Go(func() error { return k.probeForever(ctx) })
	}
	for _, kind := range k.options.Kinds {
		group.Go(func() error { return k.watchForever(ctx, kind) })
	}
	for _, kind := range k.options.PresentKinds {
		group.Go(func() error { return k.watchPresentForever(ctx, kind) })
	}
	for _, kind := range k.options.ListedKinds {
		group.Go(func() error { return k.listForever(ctx, kind) })
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

// Node returns the keeper's state.
func (k *Keeper) Node() *node.Node { return k.node }

// Ready reports whether the keeper holds a complete set of records.
func (k *Keeper) Ready() bool { return k.node.Complete() }

// SetSeeds replaces the peer addresses that are tried where no keeper is known.
func (k *Keeper) SetSeeds(addresses []string) {
	seeds := slices.Clone(addresses)
	k.seeds.Store(&seeds)
}

// SetLeaving tells the others that this keeper leaves.
func (k *Keeper) SetLeaving() {
	k.identity.SetLeaving()
	k.introduce()
}

// Records returns the records in force, without deleted ones.
func (k *Keeper) Records() []port.Record { return grpcpeer.LiveRecords(k.node) }

// Endpoints returns all endpoints known.
func (k *Keeper) Endpoints() []port.Endpoint {
	var out []port.Endpoint
	for e := range k.node.Endpoints.All() {
		out = append(out, e.Endpoint)
	}
	return out
}

// FollowEndpoints returns a function that yields the endpoints that changed
// since it was last called, at first all, and the ids of those that were
// forgotten.
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

// Members returns all daemons known, dead ones included. The slice is shared
// and must not be changed.
func (k *Keeper) Members() []port.Member { return k.standing().members }

// Changed is closed at the next change of records, endpoints or members.
func (k *Keeper) Changed() <-chan struct{} { return k.node.Changed() }

// Synced is Ready, by the name of port.StateView.
func (k *Keeper) Synced() bool { return k.Ready() }

var _ port.StateView = (*Keeper)(nil)

func (k *Keeper) liveKeepers() []membership.Member { return k.standing().live }

func (k *Keeper) registerGauges() {
	gauge := func(name string, f func() int64) {
		k.options.Registry.GetOrRegister(name, gometrics.NewFunctionalGauge(f))
	}
	gauge("records_held", func() int64 { return int64(k.node.Records.Len()) })
	gauge("record_parts_missing", func() int64 { return int64(k.node.MissingParts()) })
	gauge("endpoints_held", func() int64 { return int64(k.node.Endpoints.Len()) })
	gauge("members_held", func() int64 { return int64(k.node.Members.Len()) })
	gauge("members_heard", func() int64 { return int64(len(k.hearing.All())) })
	gauge("record_highest_version", func() int64 { return int64(k.node.HighestHeld()) })
	gauge("platform_age_ms", func() int64 { return k.PlatformAge(time.Now()).Milliseconds() })
}

// pause waits, or returns the context's error.
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
