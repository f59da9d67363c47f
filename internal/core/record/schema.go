package record

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// RoutingConfiguration is the latest schema of a routing configuration. Fields that
// the document omits are nil until SetDefaults sets them.
type RoutingConfiguration struct {
	// Models lists the models to which it applies. An empty list makes it the default
	// for all models.
	Models  []string       `json:"models" validate:"max=64,unique,dive,required,max=128"`
	Weights RoutingWeights `json:"weights"`
	Limits  RoutingLimits  `json:"limits"`
}

// RoutingWeights are the weights of the cost terms of a routing decision.
type RoutingWeights struct {
	Stall    *float64 `json:"stall" validate:"omitempty,min=0,max=1000"`
	TokenGap *float64 `json:"token_gap" validate:"omitempty,min=0,max=1000"`
	Prefill  *float64 `json:"prefill" validate:"omitempty,min=0,max=1000"`
	Prefix   *float64 `json:"prefix" validate:"omitempty,min=0,max=1000"`
}

// RoutingLimits are the limits that a routing decision observes.
type RoutingLimits struct {
	OverflowProbability *float64 `json:"overflow_probability" validate:"omitempty,min=0,max=1"`
	Batch               *int     `json:"batch" validate:"omitempty,min=1,max=65536"`
	// HoldMillis is how long a request may be held, in milliseconds.
	HoldMillis *int64 `json:"hold_ms" validate:"omitempty,min=0,max=3600000"`
	Queue      *int   `json:"queue" validate:"omitempty,min=0,max=1000000"`
}

// routingV1 is the first schema of a routing configuration.
type routingV1 struct {
	Model   string `json:"model" validate:"max=128"`
	Weights struct {
		Overflow *float64 `json:"overflow" validate:"omitempty,min=0,max=1000"`
		Gap      *float64 `json:"gap" validate:"omitempty,min=0,max=1000"`
		Prefill  *float64 `json:"prefill" validate:"omitempty,min=0,max=1000"`
		Prefix   *float64 `json:"prefix" validate:"omitempty,min=0,max=1000"`
	} `json:"weights"`
	OverflowLimit *float64 `json:"overflow_limit" validate:"omitempty,min=0,max=1"`
	BatchLimit    *int     `json:"batch_limit" validate:"omitempty,min=1,max=65536"`
	HoldLimit     *int64   `json:"hold_limit_ms" validate:"omitempty,min=0,max=3600000"`
	QueueLimit    *int     `json:"queue_limit" validate:"omitempty,min=0,max=1000000"`
}

// OrganisationPriority is the latest schema of an organisation priority.
type OrganisationPriority struct {
	// Organisation is the name of the organisation. An empty name makes it the
	// default for organisations without a record.
	Organisation string             `json:"organisation" validate:"max=128"`
	Priority     int                `json:"priority" validate:"min=-1000,max=1000"`
	Share        *float64           `json:"share" validate:"omitempty,gt=0,max=1000000"`
	Limits       OrganisationLimits `json:"limits"`
	Keys         []OrganisationKey  `json:"keys" validate:"max=256,dive"`
}

// OrganisationLimits are the limits of one organisation; zero is no limit.
type OrganisationLimits struct {
	TokensPerSecond float64 `json:"tokens_per_second" validate:"min=0"`
	Concurrency     int     `json:"concurrency" validate:"min=0"`
}

// OrganisationKey is the hash of an API key that callers present.
type OrganisationKey struct {
	SHA256 string `json:"sha256" validate:"len=64,hexadecimal"`
	Name   string `json:"name" validate:"max=128"`
}

// organisationV1 is the first schema of an organisation priority.
type organisationV1 struct {
	Organisation    string   `json:"organisation" validate:"max=128"`
	Priority        int      `json:"priority" validate:"min=-1000,max=1000"`
	Share           *float64 `json:"share" validate:"omitempty,gt=0,max=1000000"`
	TokensPerSecond float64  `json:"tokens_per_second" validate:"min=0"`
	Concurrency     int      `json:"concurrency" validate:"min=0"`
	KeySHA256       []string `json:"key_sha256" validate:"max=256,dive,len=64,hexadecimal"`
}

// ModelDeployment is the latest schema of a model deployment.
type ModelDeployment struct {
	Model     string          `json:"model" validate:"required,max=128"`
	Revision  ModelRevision   `json:"revision"`
	Placement ModelPlacement  `json:"placement"`
	Rollout   RolloutSettings `json:"rollout"`
}

// ModelRevision is the model version and the adapters that each replica loads.
type ModelRevision struct {
	Version  string   `json:"version" validate:"required,max=128"`
	Adapters []string `json:"adapters" validate:"max=256,unique,dive,required,max=128"`
}

// ModelPlacement is where a model runs and with how many replicas.
type ModelPlacement struct {
	Replicas *int `json:"replicas" validate:"omitempty,min=0,max=100000"`
	// FailureDomains lists the failure domains that may have replicas. An empty list
	// allows all.
	FailureDomains []string `json:"failure_domains" validate:"max=256,unique,dive,required,max=64"`
	// Role is passed to the runners unchanged.
	Role string `json:"role" validate:"max=64"`
}

// RolloutSettings are the limits of a version change.
type RolloutSettings struct {
	// MaxUnavailable is the number of ready replicas that may be missing during it.
	MaxUnavailable *int `json:"max_unavailable" validate:"omitempty,min=1,max=100000"`
}

// deploymentV1 is the first schema of a model deployment.
type deploymentV1 struct {
	Model    string   `json:"model" validate:"required,max=128"`
	Version  string   `json:"version" validate:"required,max=128"`
	Replicas *int     `json:"replicas" validate:"omitempty,min=0,max=100000"`
	Adapters []string `json:"adapters" validate:"max=256,unique,dive,required,max=128"`
	Role     string   `json:"role" validate:"max=64"`
}

// MaxQuarantinedRequests is the maximum number of requests in a RequestQuarantine, and
// MaxQuarantinedParts that of parts.
const (
	MaxQuarantinedRequests = 256
	MaxQuarantinedParts    = 256
)

// RequestQuarantine lists the requests and the parts of prompts that are not sent to
// endpoints, since endpoints crash when they run them. The daemons maintain it;
// operators release requests and parts.
type RequestQuarantine struct {
	Requests []QuarantinedRequest `json:"requests" validate:"max=256,dive"`
	Parts    []QuarantinedPart    `json:"parts,omitempty" validate:"max=256,dive"`
}

// QuarantinedPart is one part of a prompt of a RequestQuarantine.
type QuarantinedPart struct {
	// Fingerprint identifies the part, its organisation, pool and model, as in the log.
	Fingerprint string `json:"fingerprint" validate:"len=32,hexadecimal"`
	// Part is the id of the part as callers send it.
	Part         string `json:"part" validate:"max=16,hexadecimal"`
	Organisation string `json:"organisation" validate:"max=128"`
	// Companions are the beginnings of the fingerprints of the parts that all lost
	// requests with this part had as well.
	Companions []string    `json:"companions" validate:"max=64,dive,len=16,hexadecimal"`
	Crashes    []PartCrash `json:"crashes" validate:"max=8,dive"`
	// Released is set by an operator to have requests with the part sent again. The
	// release covers the listed crashes.
	Released bool `json:"released,omitempty"`
}

// PartCrash is one crash under requests with a part.
type PartCrash struct {
	// Endpoint is the id of the crash of an endpoint, Request the beginning of the
	// fingerprint of the request whose attempt there was the youngest.
	Endpoint string `json:"endpoint" validate:"len=16,hexadecimal"`
	Request  string `json:"request" validate:"len=16,hexadecimal"`
	// AfterMillis is the time since the first of the crashes, RanMillis how long the
	// attempt had lasted.
	AfterMillis int64 `json:"after_ms" validate:"min=0"`
	RanMillis   int64 `json:"ran_ms" validate:"min=0"`
}

// QuarantinedRequest is one request of a RequestQuarantine.
type QuarantinedRequest struct {
	// Fingerprint identifies the request, as in the log.
	Fingerprint string `json:"fingerprint" validate:"len=32,hexadecimal"`
	// Crashes are the ids of the endpoint crashes during the request.
	Crashes []string `json:"crashes" validate:"max=8,dive,len=16,hexadecimal"`
	// Released is set by an operator to have the request sent again. The release
	// covers the listed crashes; later ones count towards a new quarantine.
	Released bool `json:"released,omitempty"`
}

// DomainEvacuation is the order to send no more work to the endpoints of a failure
// domain until the record is deleted. The record has the name of the domain.
type DomainEvacuation struct {
	Reason      string `json:"reason" validate:"required,max=512"`
	RequestedBy string `json:"requested_by" validate:"max=128"`
	// Since is the start of the evacuation in RFC 3339 format, empty if unknown.
	Since string `json:"since" validate:"omitempty,datetime=2006-01-02T15:04:05Z07:00"`
}

// newSpec returns a pointer to an empty spec of the kind and schema version.
func newSpec(kind string, schemaVersion int) any {
	v1 := schemaVersion == SchemaV1
	switch kind {
	case port.ObjectRoutingConfiguration:
		if v1 {
			return &routingV1{}
		}
		return &RoutingConfiguration{}
	case port.ObjectOrganisationPriority:
		if v1 {
			return &organisationV1{}
		}
		return &OrganisationPriority{}
	case port.ObjectDomainEvacuation:
		return &DomainEvacuation{}
	case port.ObjectRequestQuarantine:
		return &RequestQuarantine{}
	case port.ObjectModelDeployment:
		if v1 {
			return &deploymentV1{}
		}
		return &ModelDeployment{}
	}
	return nil
}

var specValidator = newSpecValidator()

func newSpecValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// validate checks names, types and bounds. It doesn't change the document.
func validate(d *Document) error {
	if !KnownKind(d.Kind) {
		return &FieldError{Field: fieldKind, Problem: "must be one of " + strings.Join(Kinds(), ", ")}
	}
	if !ValidName(d.Name) {
		return &FieldError{Field: fieldName, Problem: "must match " + namePattern.String()}
	}
	spec := newSpec(d.Kind, d.SchemaVersion)
	if err := decodeSpec(d.spec, spec); err != nil {
		return err
	}
	err := specValidator.Struct(spec)
	if err == nil {
		return nil
	}
	var wrong validator.ValidationErrors
	if !errors.As(err, &wrong) {
		return merry.Prepend(ErrInvalid, err.Error())
	}
	return fieldError(wrong[0])
}

func fieldError(e validator.FieldError) error {
	_, field, _ := strings.Cut(e.Namespace(), ".")
	rule := e.Tag()
	if e.Param() != "" {
		rule += "=" + e.Param()
	}
	return &FieldError{Field: fieldSpec + "." + field, Problem: "must satisfy " + rule}
}

// decodeSpec decodes a spec into a struct. Unlike with encoding/json, field names
// are case-sensitive: a name in another case is an unknown field, which is kept.
func decodeSpec(spec object, out any) error {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     out,
		TagName:    "json",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.DecodeHookFuncType(refuseNumberAsString),
	})
	if err != nil {
		return merry.Prepend(err, "record")
	}
	err = decoder.Decode(spec)
	if err == nil {
		return nil
	}
	var wrong *mapstructure.DecodeError
	if errors.As(err, &wrong) {
		return &FieldError{Field: fieldSpec + "." + wrong.Name(), Problem: wrong.Unwrap().Error()}
	}
	return &FieldError{Field: fieldSpec, Problem: err.Error()}
}

// refuseNumberAsString is a decode hook that rejects numbers for string fields.
// json.Number is a string type for reflection, so they would be accepted otherwise.
func refuseNumberAsString(from, to reflect.Type, data any) (any, error) {
	if from == reflect.TypeFor[json.Number]() && to.Kind() == reflect.String {
		return nil, merry.New("must be a string, not a number")
	}
	return data, nil
}
