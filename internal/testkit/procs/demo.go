package procs

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Names used by the demo and by tests.
const (
	DemoModel        = "reconcile-13b"
	DemoVersion      = "1"
	DemoOrganisation = "brewery-finance"
	DemoModelPool    = "model-pool"
	DemoService      = "depot"
)

// DemoLayout returns the layout of a small complete system.
func DemoLayout(binDir, dir string) Layout {
	return Layout{
		BinDir: binDir, Dir: dir, Domains: []string{"kolkata-hall", "howrah-hall"},
		Runners: 3, FencedRunners: 2, Services: 1, Keepers: 2, Routers: 2,
		Model: DemoModel, Version: DemoVersion, ModelPool: DemoModelPool, ServicePool: DemoService,
		PlatformArgs: []string{"--host-lag", "500ms"},
		DrainTimeout: 20 * time.Second,
	}
}

// OrganisationKey returns the bearer key of an organisation in the demo and the
// examples.
func OrganisationKey(organisation string) string { return organisation + "-demo-key" }

// Document is an operator record in the format that dragonflyctl applies.
type Document struct {
	SchemaVersion int    `json:"schema_version"`
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	Spec          any    `json:"spec"`
}

// RoutingSpec is the spec of a routing configuration, schema version 1.
type RoutingSpec struct {
	Model      string         `json:"model"`
	Weights    RoutingWeights `json:"weights"`
	HoldMillis int64          `json:"hold_limit_ms"`
	QueueLimit int            `json:"queue_limit"`
}

// RoutingWeights are the weights of RoutingSpec.
type RoutingWeights struct {
	Overflow float64 `json:"overflow"`
	Gap      float64 `json:"gap"`
}

// OrganisationSpec is the spec of an organisation priority, schema version 1.
type OrganisationSpec struct {
	Organisation string   `json:"organisation"`
	Priority     int      `json:"priority"`
	Share        float64  `json:"share"`
	KeySHA256    []string `json:"key_sha256"`
}

// DeploymentSpec is the spec of a model deployment, schema version 1.
type DeploymentSpec struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Replicas int    `json:"replicas"`
}

// DemoRecords returns one record of each kind.
func DemoRecords() []Document {
	return []Document{
		{SchemaVersion: 1, Kind: port.ObjectRoutingConfiguration, Name: DemoModel, Spec: RoutingSpec{
			Model: DemoModel, Weights: RoutingWeights{Overflow: 4, Gap: 1}, HoldMillis: 5000, QueueLimit: 512,
		}},
		{SchemaVersion: 1, Kind: port.ObjectOrganisationPriority, Name: DemoOrganisation, Spec: OrganisationSpec{
			Organisation: DemoOrganisation, Priority: 10, Share: 4,
			KeySHA256: []string{httpserver.HashToken(OrganisationKey(DemoOrganisation))},
		}},
		{SchemaVersion: 1, Kind: port.ObjectModelDeployment, Name: DemoModel, Spec: DeploymentSpec{
			Model: DemoModel, Version: DemoVersion, Replicas: 3,
		}},
	}
}
