package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
)

// failureDomains is the number of failure domains of the fleet.
const failureDomains = 3

// startTimeout bounds the start of a fleet and the spread of its endpoints.
const startTimeout = 60 * time.Second

// daemon holds the traffic meter and the gate of a router or keeper.
type daemon struct {
	meter meter
	gate  *gate
}

type keeperDaemon struct {
	daemon
	*keeper.Keeper
	address string
}

type routerDaemon struct {
	daemon
	*grpcpeer.View
}

// fleet is a complete system in this process: the platform stand-in, keepers
// and routers.
type fleet struct {
	platform *platform.Platform
	server   *httptest.Server
	keepers  []*keeperDaemon
	routers  []*routerDaemon
	cancel   context.CancelFunc
	group    sync.WaitGroup
	servers  []*grpc.Server
	writer   *writer
	prober   keeper.EndpointProber
}

func discardLogger() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// startFleet starts a fleet without endpoint probes and waits until every router
// and keeper is synced.
func startFleet(keepers, routers int) (*fleet, error) {
	return startFleetWithProber(keepers, routers, nil)
}

// startFleetWithProber starts a fleet whose keepers probe endpoints with prober,
// and waits until every router and keeper is synced.
func startFleetWithProber(keepers, routers int, prober keeper.EndpointProber) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{prober: prober, platform: platform.New(platform.DefaultOptions()), cancel: cancel}
	f.server = httptest.NewServer(f.platform)
	listeners := make([]net.Listener, keepers)
	addresses := make([]string, keepers)
	for i := range keepers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i], addresses[i] = l, l.Addr().String()
	}
	for i := range keepers {
		f.startKeeper(ctx, i, listeners[i], addresses)
	}
	for i := range routers {
		f.startRouter(ctx, i, addresses)
	}
	// A router waits for an endpoint before it is synced.
	if err := f.putEndpoints(1); err != nil {
		return nil, err
	}
	return f, f.waitSynced()
}

func (f *fleet) startKeeper(ctx context.Context, i int, l net.Listener, addresses []string) {
	k := &keeperDaemon{daemon: daemon{gate: newGate()}, address: l.Addr().String()}
	k.Keeper = keeper.New(keeper.Options{
		Self: port.Member{
			ID: fmt.Sprintf("keeper-%03d", i), Host: "127.0.0.1", FailureDomain: failureDomainName(i),
			PeerAddress: k.address,
		},
		Keepers:     addresses,
		Platform:    httpplatform.New(httpplatform.Options{BaseURL: f.server.URL}),
		Prober:      f.prober,
		Logger:      discardLogger(),
		Registry:    gometrics.NewRegistry(),
		DialOptions: []grpc.DialOption{dialer(&k.meter, k.gate)},
	})
	server := grpc.NewServer(grpcpeer.ServerOptions()...)
	k.Service(nil).Register(server)
	f.keepers = append(f.keepers, k)
	f.servers = append(f.servers, server)
	f.group.Go(func() { _ = server.Serve(&meteredListener{Listener: l, meter: &k.meter, gate: k.gate}) })
	f.group.Go(func() { _ = k.Run(ctx) })
}

func (f *fleet) startRouter(ctx context.Context, i int, addresses []string) {
	r := &routerDaemon{daemon: daemon{gate: newGate()}}
	r.View = grpcpeer.NewView(grpcpeer.ViewOptions{
		Self: port.Member{
			ID: fmt.Sprintf("router-%03d", i), Role: port.RoleRouter, Host: "127.0.0.1",
			FailureDomain: failureDomainName(i), CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:1",
		},
		Keepers:     addresses,
		Logger:      discardLogger(),
		DialOptions: []grpc.DialOption{dialer(&r.meter, r.gate)},
	})
	f.routers = append(f.routers, r)
	f.group.Go(func() { _ = r.Run(ctx) })
}

func failureDomainName(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains) }

func (f *fleet) waitSynced() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.synced() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not all routers and keepers were synced within %v", startTimeout)
}

func (f *fleet) synced() bool {
	for _, r := range f.routers {
		if !r.Synced() {
			return false
		}
	}
	for _, k := range f.keepers {
		if !k.Ready() || len(k.Members()) < len(f.keepers)+len(f.routers) {
			return false
		}
	}
	return true
}

func (f *fleet) stop() {
	for _, k := range f.keepers {
		k.gate.heal()
	}
	f.cancel()
	for _, s := range f.servers {
		s.Stop()
	}
	f.group.Wait()
	f.server.Close()
}

func (f *fleet) setFaults(body string) error {
	r, err := http.NewRequest(http.MethodPut, f.server.URL+"/standin/faults", strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// writer writes new revisions of a fixed number of records in turn.
type writer struct {
	versions map[string]uint64
	names    int
	count    int
}

func newWriter(names int) *writer { return &writer{versions: map[string]uint64{}, names: names} }

// change writes the next revision through a keeper and returns its version.
func (w *writer) change(k *keeper.Keeper) (uint64, error) {
	name := fmt.Sprintf("record-%d", w.count%w.names)
	w.count++
	body := fmt.Sprintf(`{"schema_version":2,"kind":%q,"name":%q,"spec":{"models":[%q],"weights":{"stall":%d.5,"token_gap":1},"limits":{"batch":48,"hold_ms":4000}}}`,
		port.ObjectRoutingConfiguration, name, name, w.count%9)
	c := &keeper.Change{Kind: port.ObjectRoutingConfiguration, Name: name, Body: json.RawMessage(body), Expect: w.versions[name], Create: w.versions[name] == 0, Actor: "bench"}
	result, err := k.Change(context.Background(), c)
	if err != nil {
		return 0, err
	}
	w.versions[name] = result.Record.Version
	return result.Record.Version, nil
}
