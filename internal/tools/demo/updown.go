package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
	"github.com/dragonflyrail/dragonflyrail/internal/load"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const (
	runDir     = "run"
	pidFile    = "processes.json"
	upTimeout  = 2 * time.Minute
	downPeriod = 15 * time.Second
	downPoll   = 50 * time.Millisecond
)

// process is one entry of the PID file.
type process struct {
	Name   string `json:"name"`
	PID    int    `json:"pid"`
	Binary string `json:"binary"`
	URL    string `json:"url,omitempty"`
	Admin  string `json:"admin,omitempty"`
}

type upCommand struct {
	BinDir  string `long:"bin" default:"bin" description:"directory of the binaries"`
	Example string `long:"example" default:"examples/kegsetu" description:"directory of the settings, records and system.json"`
}

// Execute starts the example system and leaves it running.
func (c *upCommand) Execute([]string) error {
	path := filepath.Join(runDir, pidFile)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s of an earlier start exists: run `make down` first", path)
	}
	if err := os.MkdirAll(runDir, 0o755); err != nil {
		return err
	}
	layout, err := procs.ExampleLayout(c.Example)
	if err != nil {
		return err
	}
	layout.Dir, layout.Detached = runDir, true
	if layout.BinDir, err = filepath.Abs(c.BinDir); err != nil {
		return err
	}
	ctx, cancel := interruptContext(upTimeout)
	defer cancel()
	system, err := procs.Launch(ctx, layout)
	if err != nil {
		return err
	}
	if err := writePIDs(path, system); err != nil {
		system.Stop()
		return err
	}
	if err := c.applyRecords(ctx, system); err != nil {
		system.Stop()
		return errors.Join(err, os.Remove(path))
	}
	for _, d := range system.All() {
		fmt.Printf("%-12s pid %-7d %s\n", d.ID, d.PID(), address(d))
	}
	fmt.Printf("logs and pids: %s; operators' token: %s; see docs/operations/try-it.md\n", runDir, procs.AdminToken)
	return nil
}

// applyRecords writes the example's records and waits until every router serves
// requests.
func (c *upCommand) applyRecords(ctx context.Context, system *procs.System) error {
	files, err := procs.RecordFiles(c.Example)
	if err != nil {
		return err
	}
	if err := system.WriteRecordFiles(ctx, files); err != nil {
		return err
	}
	workload := load.WorkloadDefaults()
	if err := settings.Load(filepath.Join(c.Example, "workload.json"), &workload); err != nil {
		return err
	}
	return system.WaitServing(ctx, system.Caller(workload.Organisations[0].Name))
}

func address(d *procs.Daemon) string {
	if d.Address != "" {
		return d.URL()
	}
	return d.AdminURL() + " (operators)"
}

func writePIDs(path string, system *procs.System) error {
	var list []process
	for _, d := range system.All() {
		r := process{Name: d.ID, PID: d.PID(), Binary: d.Spec.Binary}
		if d.Address != "" {
			r.URL = d.URL()
		}
		if d.Admin != "" {
			r.Admin = d.AdminURL()
		}
		list = append(list, r)
	}
	raw, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

type downCommand struct{}

// Execute stops the processes of the PID file. It sends SIGCONT and SIGTERM,
// waits for downPeriod at most, and then sends SIGKILL to those that still run.
func (c *downCommand) Execute([]string) error {
	path := filepath.Join(runDir, pidFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		fmt.Println("nothing is up")
		return nil
	}
	if err != nil {
		return err
	}
	var list []process
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	for _, r := range list {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(downPeriod)
	for anyAlive(list) && time.Now().Before(deadline) {
		time.Sleep(downPoll)
	}
	for _, r := range list {
		r.signal(syscall.SIGKILL)
	}
	return os.Remove(path)
}

func anyAlive(list []process) bool {
	for _, r := range list {
		if r.alive() {
			return true
		}
	}
	return false
}

// alive reports whether the process still runs. It compares the binary, because
// the PID may have been reused by another process.
func (r *process) alive() bool {
	binary, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", r.PID))
	return err == nil && binary == r.Binary
}

func (r *process) signal(s syscall.Signal) {
	if r.alive() {
		// The process may end between the check and the signal.
		_ = syscall.Kill(r.PID, s)
	}
}
