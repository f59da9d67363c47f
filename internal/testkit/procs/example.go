package procs

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// Example is the content of an example's system.json. It describes the
// stand-ins; the daemons' settings files are in the same directory.
type Example struct {
	Domains       []string `json:"domains" validate:"min=1,dive,required"`
	Platform      string   `json:"platform" validate:"required,hostname_port"`
	Runners       int      `json:"runners" validate:"min=1,max=100"`
	FencedRunners int      `json:"fenced_runners" validate:"min=0,ltefield=Runners"`
	Services      int      `json:"services" validate:"min=0,max=20"`
	Model         string   `json:"model" validate:"required"`
	Version       string   `json:"version" validate:"required"`
	ModelPool     string   `json:"model_pool" validate:"required"`
	ServicePool   string   `json:"service_pool" validate:"required"`
}

// ExampleLayout returns the layout of the example in dir.
func ExampleLayout(dir string) (Layout, error) {
	var e Example
	if err := settings.Load(filepath.Join(dir, "system.json"), &e); err != nil {
		return Layout{}, err
	}
	return Layout{
		SettingsDir: dir, PlatformAddress: e.Platform, Domains: e.Domains,
		Runners: e.Runners, FencedRunners: e.FencedRunners, Services: e.Services,
		Model: e.Model, Version: e.Version, ModelPool: e.ModelPool, ServicePool: e.ServicePool,
		DrainTimeout: 10 * time.Second,
	}, nil
}

// RecordFiles returns the sorted paths of an example's record files.
func RecordFiles(dir string) ([]string, error) {
	return filepath.Glob(filepath.Join(dir, "records", "*.json"))
}

// startExample starts the daemons of an example from their settings files.
func (s *System) startExample(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(s.Layout.SettingsDir, "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(files)
	for _, file := range files {
		kind, _, _ := strings.Cut(filepath.Base(file), "-")
		binary, list := "", (*[]*Daemon)(nil)
		switch kind {
		case "keeper":
			binary, list = binKeeper, &s.Keepers
		case "router":
			binary, list = binRouter, &s.Routers
		default:
			continue
		}
		d, err := readDaemon(file)
		if err != nil {
			return err
		}
		*list = append(*list, d)
		if err := s.launch(ctx, d, binary, []string{"--settings", file}); err != nil {
			return err
		}
	}
	return nil
}

func readDaemon(file string) (*Daemon, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var settings Settings
	if err := json.Unmarshal(raw, &settings); err != nil {
		return nil, err
	}
	return &Daemon{
		ID: settings.ID, FailureDomain: settings.FailureDomain,
		Address: settings.Listen.Callers, Admin: settings.Listen.Admin, Peers: settings.Listen.Peers,
	}, nil
}
