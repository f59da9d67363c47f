package port

import (
	"context"
	"encoding/json"
	"time"
)

// Object is one value of the platform's object API.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version increases across all objects of the platform, not per object.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ObjectPlatformEvacuation is a kind of platform object that only the platform's
// own operators write. An evacuation is in force as long as its object exists.
const ObjectPlatformEvacuation = "platform-evacuations"

// HostEntry is an entry of the platform's list of hosts, which lags behind.
type HostEntry struct {
	Endpoint
}

// Platform is the platform's object API. Its errors are ErrConflict,
// ErrNotFound, ErrPlatformUnavailable, ErrOutcomeUnknown, ErrThrottled and
// ErrTooLarge.
type Platform interface {
	// Get reads one object. With ErrNotFound it returns the version that stands for
	// an absent object. That version contains the era of the store, so a write that
	// expects it also states which era it is based on.
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (objects []Object, revision StoreRevision, err error)
	// Put writes if the stored version still equals expect (revision zero: absent)
	// and returns the object with its new version. With ErrConflict it returns the
	// current object. ErrOutcomeUnknown means that the reply was lost; only another
	// read shows whether the write took effect.
	Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (Object, error)
	// Watch waits up to wait for changes of a kind after revision.
	Watch(ctx context.Context, kind string, revision StoreRevision, wait time.Duration) (changes []Object, newRevision StoreRevision, err error)
	// Hosts reads the list of live and leaving hosts, which lags behind.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// ListedEndpoint is the entry of an endpoint in the platform's registry.
type ListedEndpoint struct {
	Endpoint
	// Removed is set if the registry no longer contains the endpoint. Only ID and
	// Revision are then set. The registry doesn't contain the endpoint at Revision, which
	// is at or after the removal and before the entry's next change.
	Removed bool
}

// EndpointRegistry is the platform's registry of endpoints, which orders all
// changes by a revision. Its errors are those of Platform.
type EndpointRegistry interface {
	ListEndpoints(ctx context.Context) (entries []ListedEndpoint, revision StoreRevision, err error)
	// WatchEndpoints waits up to wait for changes after revision.
	WatchEndpoints(ctx context.Context, revision StoreRevision, wait time.Duration) (changes []ListedEndpoint, newRevision StoreRevision, err error)
}

// The kinds of platform objects that the system writes.
const (
	ObjectRoutingConfiguration = "routing-configurations"
	ObjectOrganisationPriority = "organisation-priorities"
	ObjectModelDeployment      = "model-deployments"
	ObjectRequestQuarantine    = "request-quarantines"
	ObjectDomainEvacuation     = "domain-evacuations"
	ObjectAudit                = "audit"
	ObjectClaims               = "claims"
	ObjectLease                = "leases"
	ObjectBudget               = "budgets"
)
