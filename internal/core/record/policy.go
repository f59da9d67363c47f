package record

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Default values of fields that a record omits.
const (
	defaultWeight              = 1.0
	defaultOverflowProbability = 0.05
	defaultBatch               = 64
	defaultHoldMillis          = 10_000
	defaultQueue               = 1024
	defaultShare               = 1.0
	defaultReplicas            = 1
	defaultMaxUnavailable      = 1
)

// SetDefaults sets omitted fields to their defaults.
func (c *RoutingConfiguration) SetDefaults() {
	setDefault(&c.Weights.Stall, defaultWeight)
	setDefault(&c.Weights.TokenGap, defaultWeight)
	setDefault(&c.Weights.Prefill, defaultWeight)
	setDefault(&c.Weights.Prefix, defaultWeight)
	setDefault(&c.Limits.OverflowProbability, defaultOverflowProbability)
	setDefault(&c.Limits.Batch, defaultBatch)
	setDefault(&c.Limits.HoldMillis, defaultHoldMillis)
	setDefault(&c.Limits.Queue, defaultQueue)
}

// SetDefaults sets omitted fields to their defaults.
func (p *OrganisationPriority) SetDefaults() { setDefault(&p.Share, defaultShare) }

// SetDefaults sets omitted fields to their defaults.
func (d *ModelDeployment) SetDefaults() {
	setDefault(&d.Placement.Replicas, defaultReplicas)
	setDefault(&d.Rollout.MaxUnavailable, defaultMaxUnavailable)
}

func setDefault[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

// decodedRecord is a record in force with its spec in the latest schema.
type decodedRecord[T any] struct {
	record port.Record
	spec   T
}

// decodeKind returns the decoded records of a kind, smallest version first, so
// that of two records for the same subject the newer one is applied last and
// wins. A body that this build can't decode (a newer schema) is omitted; keepers
// refuse such bodies when they are written.
func decodeKind[T any](rs []port.Record, kind string) []decodedRecord[T] {
	var out []decodedRecord[T]
	for _, r := range rs {
		if r.Kind != kind || r.Deleted {
			continue
		}
		var spec T
		if decodeLatest(r, &spec) != nil {
			continue
		}
		out = append(out, decodedRecord[T]{record: r, spec: spec})
	}
	slices.SortFunc(out, func(a, b decodedRecord[T]) int {
		return cmp.Or(cmp.Compare(a.record.Version, b.record.Version), strings.Compare(a.record.Name, b.record.Name))
	})
	return out
}

func decodeLatest(r port.Record, out any) error {
	d, err := Parse(r.Body)
	if err != nil {
		return err
	}
	latest, err := d.Convert(LatestSchema)
	if err != nil {
		return err
	}
	return decodeSpec(latest.spec, out)
}

// Policy derives the scheduling policy from the records. The entries for the empty
// model and the empty organisation are the defaults; they always exist.
func Policy(rs []port.Record) port.Policy {
	p := port.Policy{
		Weights:       map[string]port.Weights{},
		Organisations: map[string]port.OrganisationLimits{},
	}
	p.Weights[""] = weightsOf(&RoutingConfiguration{})
	p.Organisations[""] = limitsOf(&OrganisationPriority{})
	for _, c := range decodeKind[RoutingConfiguration](rs, port.ObjectRoutingConfiguration) {
		weights := weightsOf(&c.spec)
		for _, model := range c.spec.Models {
			p.Weights[model] = weights
		}
		if len(c.spec.Models) == 0 {
			p.Weights[""] = weights
		}
		p.Version = max(p.Version, c.record.Version)
	}
	for _, o := range decodeKind[OrganisationPriority](rs, port.ObjectOrganisationPriority) {
		p.Organisations[o.spec.Organisation] = limitsOf(&o.spec)
	}
	return p
}

func weightsOf(c *RoutingConfiguration) port.Weights {
	c.SetDefaults()
	return port.Weights{
		Overflow: *c.Weights.Stall, Gap: *c.Weights.TokenGap,
		Prefill: *c.Weights.Prefill, Prefix: *c.Weights.Prefix,
		OverflowLimit: *c.Limits.OverflowProbability,
		BatchLimit:    *c.Limits.Batch,
		HoldLimit:     time.Duration(*c.Limits.HoldMillis) * time.Millisecond,
		QueueLimit:    *c.Limits.Queue,
	}
}

func limitsOf(o *OrganisationPriority) port.OrganisationLimits {
	o.SetDefaults()
	return port.OrganisationLimits{
		Priority: o.Priority, Share: *o.Share,
		TokensPerSecond: o.Limits.TokensPerSecond, Concurrency: o.Limits.Concurrency,
	}
}

// Keys maps the API keys of callers to organisations.
type Keys struct{ organisations map[string]string }

// NewKeys returns the keys of all organisations.
func NewKeys(rs []port.Record) Keys {
	k := Keys{organisations: map[string]string{}}
	for _, o := range decodeKind[OrganisationPriority](rs, port.ObjectOrganisationPriority) {
		for _, key := range o.spec.Keys {
			k.organisations[strings.ToLower(key.SHA256)] = o.spec.Organisation
		}
	}
	return k
}

// Organisation returns the name of the organisation for the SHA-256 hash of a key,
// in hexadecimal.
func (k Keys) Organisation(keySHA256Hex string) (name string, ok bool) {
	name, ok = k.organisations[strings.ToLower(keySHA256Hex)]
	return name, ok
}

// Deployment is a model deployment in force.
type Deployment struct {
	Name    string
	Version uint64
	ModelDeployment
}

// Deployments returns the model deployments in force with defaults set, smallest
// version first.
func Deployments(rs []port.Record) []Deployment {
	all := decodeKind[ModelDeployment](rs, port.ObjectModelDeployment)
	out := make([]Deployment, len(all))
	for i := range all {
		all[i].spec.SetDefaults()
		out[i] = Deployment{Name: all[i].record.Name, Version: all[i].record.Version, ModelDeployment: all[i].spec}
	}
	return out
}
