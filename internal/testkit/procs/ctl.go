package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

const (
	binCtl = "dragonflyctl"
	// ctlConfigFile is in the same directory as the logs, so that it can also be
	// used by hand.
	ctlConfigFile = "dragonflyctl.json"
)

// ctlConfig is the configuration file of dragonflyctl.
type ctlConfig struct {
	Keepers    []string `json:"keepers"`
	Routers    []string `json:"routers"`
	Entries    []string `json:"entries"`
	AdminToken string   `json:"admin_token"`
}

// writeCtlConfig writes dragonflyctl's configuration with the addresses of all
// daemons.
func (s *System) writeCtlConfig(context.Context) error {
	config := ctlConfig{AdminToken: AdminToken}
	for _, k := range s.Keepers {
		config.Keepers = append(config.Keepers, k.Admin)
	}
	for _, r := range s.Routers {
		config.Routers = append(config.Routers, r.Admin)
		config.Entries = append(config.Entries, r.Address)
	}
	raw, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.Layout.Dir, ctlConfigFile), append(raw, '\n'), 0o600)
}

// Ctl runs dragonflyctl with the input on its standard input and returns its
// standard output.
func (s *System) Ctl(ctx context.Context, input []byte, args ...string) ([]byte, error) {
	args = append([]string{"--config", filepath.Join(s.Layout.Dir, ctlConfigFile), "--actor", "procs"}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(s.Layout.BinDir, binCtl), args...)
	cmd.Stdin = bytes.NewReader(input)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return nil, fmt.Errorf("dragonflyctl: %w: %s%s", err, out.Bytes(), errs.Bytes())
	}
	return out.Bytes(), nil
}

// WriteRecords applies the records with dragonflyctl.
func (s *System) WriteRecords(ctx context.Context, records []Document) error {
	var all bytes.Buffer
	for _, d := range records {
		if err := json.NewEncoder(&all).Encode(d); err != nil {
			return err
		}
	}
	return s.apply(ctx, all.Bytes())
}

// WriteRecordFiles applies the record of each file with dragonflyctl.
func (s *System) WriteRecordFiles(ctx context.Context, files []string) error {
	var all bytes.Buffer
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		all.Write(raw)
	}
	return s.apply(ctx, all.Bytes())
}

func (s *System) apply(ctx context.Context, documents []byte) error {
	_, err := s.Ctl(ctx, documents, "apply", "--file", "-")
	return err
}

// explanation is the response of the admin API's explain endpoint, which
// dragonflyctl why also prints as JSON.
type explanation struct {
	Decisions []Decision `json:"decisions"`
}

// Why returns the decisions about a subject, as printed by dragonflyctl why.
func (s *System) Why(ctx context.Context, subject, id string) ([]Decision, error) {
	raw, err := s.Ctl(ctx, nil, "--output", "json", "why", subject, id)
	if err != nil {
		return nil, err
	}
	var e explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("decode output of dragonflyctl why: %w in %.300s", err, raw)
	}
	return e.Decisions, nil
}
