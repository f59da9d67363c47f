package procs

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
)

func (s *System) startKeepers(ctx context.Context) error {
	var peers []string
	for i := range s.Layout.Keepers {
		d, err := s.newDaemon(fmt.Sprintf("keeper-%d", i+1), s.domain(i), false)
		if err != nil {
			return err
		}
		s.Keepers = append(s.Keepers, d)
		peers = append(peers, d.Peers)
	}
	for _, d := range s.Keepers {
		if err := s.startDaemon(ctx, d, peers); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startRouters(ctx context.Context) error {
	for i := range s.Layout.Routers {
		d, err := s.newDaemon(fmt.Sprintf("router-%d", i+1), s.domain(i), true)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, d)
	}
	for _, d := range s.Routers {
		if err := s.startDaemon(ctx, d, s.keeperPeers()); err != nil {
			return err
		}
	}
	return nil
}

// AddRouter starts an additional router.
func (s *System) AddRouter(ctx context.Context, id, domain string) (*Daemon, error) {
	d, err := s.newDaemon(id, domain, true)
	if err != nil {
		return nil, err
	}
	s.Routers = append(s.Routers, d)
	return d, s.startDaemon(ctx, d, s.keeperPeers())
}

func (s *System) keeperPeers() []string {
	var peers []string
	for _, k := range s.Keepers {
		peers = append(peers, k.Peers)
	}
	return peers
}

func (s *System) otherRouters(d *Daemon) []string {
	var peers []string
	for _, r := range s.Routers {
		if r != d {
			peers = append(peers, r.Peers)
		}
	}
	return peers
}

func (s *System) newDaemon(id, domain string, router bool) (*Daemon, error) {
	d := &Daemon{ID: id, FailureDomain: domain}
	fields := []*string{&d.Admin, &d.Peers}
	if router {
		fields = append(fields, &d.Address)
	}
	for _, field := range fields {
		address, err := s.Ports.Next()
		if err != nil {
			return nil, err
		}
		*field = address
	}
	return d, nil
}

func (s *System) startDaemon(ctx context.Context, d *Daemon, keepers []string) error {
	settings := Settings{
		ID: d.ID, Host: "127.0.0.1", FailureDomain: d.FailureDomain,
		Listen:   Listen{Callers: d.Address, Admin: d.Admin, Peers: d.Peers},
		LogLevel: "info", Keepers: keepers, DrainTimeout: s.Layout.DrainTimeout.String(),
	}
	binary := binRouter
	if d.Address == "" {
		binary = binKeeper
		settings.Platform = s.Platform.URL()
	} else {
		settings.ResumeKeys = []string{httpserver.HashToken(resumeKey)}
		settings.Routers = s.otherRouters(d)
	}
	path, err := settings.write(s.Layout.Dir)
	if err != nil {
		return err
	}
	return s.launch(ctx, d, binary, []string{"--settings", path})
}

// Restart restarts a daemon or stand-in that has exited. It keeps its addresses;
// an endpoint gets its next incarnation number.
func (s *System) Restart(ctx context.Context, d *Daemon) error {
	if d.Running() {
		return errors.New(d.ID + " is still running")
	}
	spec := d.Spec
	for i, arg := range spec.Args {
		if arg == "--incarnation" {
			spec.Args = slices.Clone(spec.Args)
			spec.Args[i+1] = s.incarnation(d.ID)
		}
	}
	p, err := Start(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	d.Process = p
	s.mu.Unlock()
	return p.WaitReady(ctx)
}
