package main

import (
	"context"
	"os"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const launchTimeout = time.Minute

// withSystem starts the demo system with the adjusted layout, calls measure and
// stops the system.
func withSystem(bin string, adjust func(*procs.Layout), measure func(context.Context, *procs.System) error) error {
	dir, err := os.MkdirTemp("", "dragonflyrail-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := interruptContext()
	defer cancel()
	layout := procs.DemoLayout(bin, dir)
	adjust(&layout)
	s, err := launch(ctx, layout)
	if err != nil {
		return err
	}
	defer s.Stop()
	return measure(ctx, s)
}

// launch starts the system with routing limits too high to be reached.
func launch(ctx context.Context, l procs.Layout) (*procs.System, error) {
	bounded, cancel := context.WithTimeout(ctx, launchTimeout)
	defer cancel()
	s, err := procs.Launch(bounded, l)
	if err != nil {
		return nil, err
	}
	records := procs.DemoRecords()
	records[0] = procs.Document{
		SchemaVersion: 1, Kind: port.ObjectRoutingConfiguration, Name: procs.DemoModel,
		Spec: unboundSpec{Model: procs.DemoModel, OverflowLimit: 1, BatchLimit: 65536, HoldMillis: 60_000, QueueLimit: 100_000},
	}
	if err = s.WriteRecords(bounded, records); err == nil {
		err = s.WaitServing(bounded, s.Caller(procs.DemoOrganisation))
	}
	if err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// unboundSpec is schema 1 of a routing configuration, used with limits too high
// to be reached.
type unboundSpec struct {
	Model         string  `json:"model"`
	OverflowLimit float64 `json:"overflow_limit"`
	BatchLimit    int     `json:"batch_limit"`
	HoldMillis    int64   `json:"hold_limit_ms"`
	QueueLimit    int     `json:"queue_limit"`
}
