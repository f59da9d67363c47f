package procs

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
)

// AdminToken is the admin API's bearer token of every daemon started here.
const AdminToken = "loopback-operators"

// resumeKey signs the resume tokens of all routers started here.
const resumeKey = "loopback-resume-tokens"

// Settings is the settings file of a router or keeper.
type Settings struct {
	ID               string   `json:"id"`
	Host             string   `json:"host"`
	FailureDomain    string   `json:"failure_domain"`
	Listen           Listen   `json:"listen"`
	AdminTokenSHA256 string   `json:"admin_token_sha256"`
	LogLevel         string   `json:"log_level"`
	Keepers          []string `json:"keepers"`
	DrainTimeout     string   `json:"drain_timeout"`
	// Platform is for keepers only, the fields after it for routers only.
	Platform   string   `json:"platform,omitempty"`
	ResumeKeys []string `json:"resume_keys,omitempty"`
	// Routers are the peer addresses of the other routers.
	Routers []string `json:"routers,omitempty"`
}

// Listen holds a daemon's listen addresses. Callers is for routers only.
type Listen struct {
	Callers string `json:"callers,omitempty"`
	Admin   string `json:"admin"`
	Peers   string `json:"peers"`
}

func (s *Settings) write(dir string) (string, error) {
	s.AdminTokenSHA256 = httpserver.HashToken(AdminToken)
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, s.ID+".json")
	return path, os.WriteFile(path, append(raw, '\n'), 0o644)
}
