package procs

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Names of the binaries.
const (
	binRouter  = "dragonfly-router"
	binKeeper  = "dragonfly-keeper"
	binStandin = "dragonfly-standin"
)

// shutdownTimeout is the time between SIGTERM and SIGKILL when a system stops.
const shutdownTimeout = 5 * time.Second

// Layout describes the processes of a system.
type Layout struct {
	// BinDir contains the binaries; settings and logs are written to Dir.
	BinDir, Dir string
	Domains     []string
	Runners     int
	Services    int
	Keepers     int
	Routers     int
	// Model and Version name the model that is ready on every runner at its start.
	Model, Version string
	// ModelPool and ServicePool are the names of the runners' and the services'
	// pools.
	ModelPool, ServicePool string
	// FencedRunners is the number of runners that check fencing numbers.
	FencedRunners int
	PlatformArgs  []string
	EngineArgs    []string
	DrainTimeout  time.Duration
	Detached      bool
	// SettingsDir contains the settings files of the daemons to start and
	// replaces Keepers and Routers. PlatformAddress is the platform address in
	// these files.
	SettingsDir     string
	PlatformAddress string
}

// Daemon is a router, keeper or stand-in process with its addresses.
type Daemon struct {
	*Process
	ID            string
	FailureDomain string
	// Address is where a router serves callers, or a stand-in its API. It is
	// empty for keepers.
	Address string
	Admin   string
	Peers   string
}

// URL returns the base URL of a router for callers, or of a stand-in's API.
func (d *Daemon) URL() string { return "http://" + d.Address }

// AdminURL returns the base URL of the daemon's admin API.
func (d *Daemon) AdminURL() string { return "http://" + d.Admin }

// System is a running system with its stand-ins.
type System struct {
	Layout   Layout
	Ports    *Ports
	Platform *Daemon
	Weights  *Daemon
	Engines  []*Daemon
	Services []*Daemon
	Keepers  []*Daemon
	Routers  []*Daemon

	mu           sync.Mutex
	all          []*Daemon
	incarnations map[string]uint64
}

// Launch starts a system and waits until each process is ready. On an error it
// stops all processes that it has started.
func Launch(ctx context.Context, l Layout) (*System, error) {
	ports, err := NewPorts()
	if err != nil {
		return nil, err
	}
	s := &System{Layout: l, Ports: ports, incarnations: map[string]uint64{}}
	steps := []func(context.Context) error{s.startPlatform, s.startWeights, s.startEndpoints}
	if l.SettingsDir != "" {
		steps = append(steps, s.startExample)
	} else {
		steps = append(steps, s.startKeepers, s.startRouters)
	}
	steps = append(steps, s.waitKeepers, s.writeCtlConfig)
	for _, step := range steps {
		if err := step(ctx); err != nil {
			s.Stop()
			return nil, err
		}
	}
	return s, nil
}

// Stop ends all processes of the system: first the routers, then the keepers,
// then the stand-ins that they connect to.
func (s *System) Stop() {
	for _, group := range s.stopOrder() {
		var wait sync.WaitGroup
		for _, d := range group {
			// A suspended process does not handle SIGTERM.
			_ = d.Thaw()
			wait.Go(func() { d.Stop(shutdownTimeout) })
		}
		wait.Wait()
	}
	s.Ports.Close()
}

// Kill ends all processes with SIGKILL, for tests that need no orderly shutdown.
func (s *System) Kill() {
	for _, d := range s.All() {
		d.Process.Kill()
	}
	s.Ports.Close()
}

func (s *System) stopOrder() [3][]*Daemon {
	var groups [3][]*Daemon
	for _, d := range s.All() {
		switch {
		case d.Peers == "":
			groups[2] = append(groups[2], d)
		case d.Address == "":
			groups[1] = append(groups[1], d)
		default:
			groups[0] = append(groups[0], d)
		}
	}
	return groups
}

// All returns all daemons and stand-ins started so far, also those that have
// ended.
func (s *System) All() []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

func (s *System) domain(i int) string { return s.Layout.Domains[i%len(s.Layout.Domains)] }

// launch starts one process and waits until it is ready.
func (s *System) launch(ctx context.Context, d *Daemon, binary string, args []string) error {
	p, err := Start(Spec{
		Name: d.ID, Binary: filepath.Join(s.Layout.BinDir, binary), Args: args,
		Dir: s.Layout.Dir, Detached: s.Layout.Detached,
	})
	if err != nil {
		return err
	}
	d.Process = p
	s.mu.Lock()
	s.all = append(s.all, d)
	s.mu.Unlock()
	return p.WaitReady(ctx)
}

func (s *System) standin(ctx context.Context, kind, id, domain string, args []string) (*Daemon, error) {
	address, err := s.Ports.Next()
	if err != nil {
		return nil, err
	}
	if kind == "platform" && s.Layout.PlatformAddress != "" {
		address = s.Layout.PlatformAddress
	}
	d := &Daemon{ID: id, FailureDomain: domain, Address: address}
	args = append([]string{kind, "--listen", address, "--id", id, "--failure-domain", domain}, args...)
	return d, s.launch(ctx, d, binStandin, args)
}

func (s *System) startPlatform(ctx context.Context) (err error) {
	s.Platform, err = s.standin(ctx, "platform", "platform", s.domain(0), s.Layout.PlatformArgs)
	return err
}

func (s *System) startWeights(ctx context.Context) (err error) {
	s.Weights, err = s.standin(ctx, "weights", "weights", s.domain(0), nil)
	return err
}

func (s *System) startEndpoints(ctx context.Context) error {
	for i := range s.Layout.Runners {
		e, err := s.startEngine(ctx, i)
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range s.Layout.Services {
		id := fmt.Sprintf("%s-%d", s.Layout.ServicePool, i+1)
		e, err := s.standin(ctx, "service", id, s.domain(i), []string{"--incarnation", s.incarnation(id)})
		if err != nil {
			return err
		}
		s.Services = append(s.Services, e)
	}
	return s.PublishHosts(ctx)
}

func (s *System) startEngine(ctx context.Context, i int) (*Daemon, error) {
	id := fmt.Sprintf("runner-%d", i+1)
	args := []string{
		"--incarnation", s.incarnation(id), "--weights", s.Weights.URL(),
		"--model", s.Layout.Model + ":" + s.Layout.Version,
	}
	if i < s.Layout.FencedRunners {
		args = append(args, "--fences-orders")
	}
	return s.standin(ctx, "engine", id, s.domain(i), append(args, s.Layout.EngineArgs...))
}

// incarnation increments and returns an endpoint's incarnation number.
func (s *System) incarnation(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[id]++
	return fmt.Sprint(s.incarnations[id])
}

// Endpoints returns the platform's host list for the current endpoints.
func (s *System) Endpoints() []port.Endpoint {
	var list []port.Endpoint
	for i, d := range s.Engines {
		list = append(list, port.Endpoint{
			ID: d.ID, Kind: port.KindRunner, Pool: s.Layout.ModelPool, Address: d.Address,
			FailureDomain: d.FailureDomain, Incarnation: s.incarnations[d.ID], State: port.EndpointLive,
			FencesOrders: i < s.Layout.FencedRunners, Models: []string{s.Layout.Model},
		})
	}
	for _, d := range s.Services {
		list = append(list, port.Endpoint{
			ID: d.ID, Kind: port.KindService, Pool: s.Layout.ServicePool, Address: d.Address,
			FailureDomain: d.FailureDomain, Incarnation: s.incarnations[d.ID], State: port.EndpointLive,
		})
	}
	return list
}
