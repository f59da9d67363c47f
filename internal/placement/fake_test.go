package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/lease"
	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/memplatform"
)

var testTerms = lease.Terms{Duration: 15 * time.Second, Margin: time.Second, OrderTimeout: 4 * time.Second}

// fakePlatform is a platform that simulates the faults relevant to leases and
// permits.
type fakePlatform struct {
	*memplatform.Store
	mu   sync.Mutex
	down bool
	// loseReply makes the next write take effect without a reply.
	loseReply bool
	// onPut runs before each write, without the lock held. kind is that of the object.
	onPut func(kind string)
}

func newFakePlatform() *fakePlatform { return &fakePlatform{Store: memplatform.New()} }

func (p *fakePlatform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *fakePlatform) Get(ctx context.Context, kind, name string) (port.Object, error) {
	if p.isDown() {
		return port.Object{}, port.ErrPlatformUnavailable
	}
	return p.Store.Get(ctx, kind, name)
}

func (p *fakePlatform) List(ctx context.Context, kind string) ([]port.Object, port.StoreRevision, error) {
	if p.isDown() {
		return nil, 0, port.ErrPlatformUnavailable
	}
	return p.Store.List(ctx, kind)
}

func (p *fakePlatform) Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	if p.onPut != nil {
		p.onPut(kind)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return port.Object{}, port.ErrPlatformUnavailable
	}
	o, err := p.Store.Put(ctx, kind, name, expect, value)
	if err == nil && p.loseReply {
		p.loseReply = false
		return port.Object{}, port.ErrOutcomeUnknown
	}
	return o, err
}

// system simulates several keepers that share one platform and one set of runners.
type system struct {
	shards   int
	platform *fakePlatform
	fleet    *fakes.Fleet
	now      time.Time
	records  []port.Record
	ready    bool
	members  []port.Member
	loops    []*Loop
	sinks    []*fakes.Decisions
}

func (s *system) Records() []port.Record                { return s.records }
func (s *system) Endpoints() []port.Endpoint            { return s.fleet.Endpoints() }
func (s *system) Members() []port.Member                { return s.members }
func (s *system) Ready() bool                           { return s.ready }
func (s *system) pass(i int)                            { s.loops[i].Pass(context.Background()) }
func (s *system) leasePass(i int)                       { s.loops[i].leases.pass(context.Background()) }
func (s *system) advance(d time.Duration)               { s.now = s.now.Add(d) }
func (s *system) deploy(records ...port.Record)         { s.records = records }
func (s *system) decisions(i int) []port.DecisionRecord { return s.sinks[i].All() }

// testingT holds the methods common to *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

func newSystem(t testingT, keepers int) *system {
	t.Helper()
	return newShardedSystem(t, keepers, 1)
}

// round runs a lease pass and a pass over the runners at every keeper, and ends
// the loads under way.
func (s *system) round() {
	for i := range s.loops {
		s.leasePass(i)
		s.pass(i)
	}
	s.fleet.FinishLoads()
	s.advance(2 * time.Second)
}

func newShardedSystem(t testingT, keepers, shards int) *system {
	t.Helper()
	s := &system{shards: shards, platform: newFakePlatform(), fleet: fakes.NewFleet(), now: time.Unix(1_800_000_000, 0), ready: true}
	for i := range keepers {
		s.members = append(s.members, port.Member{ID: fmt.Sprint("keeper-", i), Role: port.RoleKeeper, State: port.MemberLive})
		s.sinks = append(s.sinks, &fakes.Decisions{})
		s.loops = append(s.loops, nil)
		s.startKeeper(t, i, "1")
	}
	return s
}

func (s *system) startKeeper(t testingT, i int, session string) {
	t.Helper()
	loop, err := New(Options{
		Platform: s.platform, Orderer: s.fleet, Decisions: s.sinks[i], View: s,
		KeeperID: s.members[i].ID, Session: session, Shards: s.shards, Terms: testTerms,
		TakeoverGrace: time.Nanosecond, MaxLoads: 2, Parallel: 1, Now: func() time.Time { return s.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.loops[i] = loop
}

// acquireLease lets a keeper take the lease and waits until it may send orders.
func (s *system) acquireLease(t *testing.T, i int) {
	t.Helper()
	s.leasePass(i)
	s.advance(testTerms.Duration + testTerms.Margin + time.Second)
	s.leasePass(i)
	s.advance(testTerms.OrderTimeout + testTerms.Margin)
	s.leasePass(i)
	if !s.loops[i].leases.holdsAny() {
		t.Fatalf("keeper %d holds no lease", i)
	}
}

func deploymentRecord(model, version string, replicas, maxUnavailable int) port.Record {
	body := fmt.Sprintf(`{"schema_version":2,"kind":"model-deployments","name":%q,"spec":{"model":%q,"revision":{"version":%q},"placement":{"replicas":%d},"rollout":{"max_unavailable":%d}}}`,
		model, model, version, replicas, maxUnavailable)
	return port.Record{Kind: port.ObjectModelDeployment, Name: model, Version: 5, Body: json.RawMessage(body)}
}

// stepFor returns the plan's step for a runner.
func stepFor(t *testing.T, s *system, endpoint string) *placement.Step {
	t.Helper()
	var runners []placement.Runner
	for _, e := range s.fleet.Endpoints() {
		state, err := s.fleet.State(context.Background(), e)
		if err != nil {
			t.Fatal(err)
		}
		runners = append(runners, placement.Runner{Endpoint: e, State: state, Known: true})
	}
	plan := placement.Make(record.Deployments(s.records), runners)
	for i := range plan.Steps {
		if plan.Steps[i].Endpoint.ID == endpoint {
			return &plan.Steps[i]
		}
	}
	t.Fatalf("the plan has no step for endpoint %s: %+v", endpoint, plan)
	return nil
}
