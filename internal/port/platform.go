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
	// Version grows over all objects of the platform, never only over one.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ObjectPlatformEvacuation is a kind of platform objects that only the platform's
// own operators write. An evacuation is in force as long as its object exists.
const ObjectPlatformEvacuation = "platform-evacuations"

// HostEntry is one line of the platform's lagging list of hosts.
type HostEntry struct {
	Endpoint
}

// Platform is the platform's object API. Its errors are ErrConflict,
// ErrNotFound, ErrPlatformUnavailable, ErrOutcomeUnknown, ErrThrottled and
// ErrTooLarge.
type Platform interface {
	// Get reads one object. With ErrNotFound comes the version that stands for
	// none, which names the era of the store: a write that rests on it shows
	// by it that it is of that era.
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kind string) (objects []Object, revision StoreRevision, err error)
	// Put writes where the stored version still is expect (revision zero: absent)
	// and returns the new version. On conflict the current object comes
	// back with ErrConflict. ErrOutcomeUnknown: the reply was lost; read
	// again before saying anything of the write.
	Put(ctx context.Context, kind, name string, expect uint64, value json.RawMessage) (Object, error)
	// Watch waits for changes of a kind past revision, up to wait.
	Watch(ctx context.Context, kind string, revision StoreRevision, wait time.Duration) (changes []Object, newRevision StoreRevision, err error)
	// Hosts reads the lagging list of live and leaving hosts.
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// ListedEndpoint is what the platform's registry says of one endpoint.
type ListedEndpoint struct {
	Endpoint
	// Removed: the registry no longer names it. Only ID and Revision are set.
	Removed bool
}

// EndpointRegistry is the platform's registry of endpoints, which orders all
// changes by a revision. Its errors are those of Platform.
type EndpointRegistry interface {
	ListEndpoints(ctx context.Context) (entries []ListedEndpoint, revision StoreRevision, err error)
	// WatchEndpoints waits for changes past revision, up to wait.
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
