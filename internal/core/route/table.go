// Package route contains the routes configured by operators: which requests of which
// organisations go to which pools, and under which limits. A table is one version of
// this configuration, and an index is used to look up each request in it. The package
// uses no sockets and no clock.
package route

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// RecordKind is the kind of the records that contain a table.
const RecordKind = "route-tables"

// SchemaVersion is the schema version of the tables that this build writes, and the
// newest that it reads.
const SchemaVersion = 1

// ErrUnreadable is returned for a table that is invalid or has a newer schema than
// this build supports.
var ErrUnreadable = merry.Sentinel("route: table can't be read")

// RepeatClass determines whether a request with an unknown outcome may be repeated.
type RepeatClass string

// The classes of requests by repetition.
const (
	// RepeatSafe: a second run of the request is harmless.
	RepeatSafe RepeatClass = "safe"
	// RepeatNever: the request runs at most once.
	RepeatNever RepeatClass = "never"
)

// Table is one version of the route configuration. Version is assigned by the
// operators and is the only criterion by which tables are ordered.
type Table struct {
	Schema        int            `json:"schema_version"`
	Version       uint64         `json:"version"`
	Routes        []Route        `json:"routes"`
	Pools         []Pool         `json:"pools"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Route routes the requests with one host and path prefix to pools.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"prefix"`
	// Targets has at least one entry.
	Targets []Target    `json:"targets"`
	Repeat  RepeatClass `json:"repeat"`
	// Streams: the response is a stream of events, which are forwarded one by one.
	Streams bool `json:"streams,omitempty"`
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Timeout is the maximum time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target time for a response, or for its first event; zero
	// if there is none.
	Objective time.Duration `json:"objective,omitempty"`
	// GapObjective is the target for the longest pause between two events.
	GapObjective time.Duration `json:"gap_objective,omitempty"`
	// Rank is the priority of the route; zero is the highest.
	Rank int `json:"rank"`
	// Open: requests need no key.
	Open bool `json:"open,omitempty"`
	// Resumable: a caller may request the rest of an interrupted stream, which a
	// new run continues.
	Resumable bool `json:"resumable,omitempty"`
}

// Target is a pool and its weight, which sets its share of a route's requests.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is the configuration of a group of endpoints.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check of an endpoint.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the maximum number of connections to one endpoint, for all
	// callers together; zero means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdRate is the maximum number of requests per second to an endpoint while it
	// is cold, for all callers together; zero if none is configured.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// Engine describes the model engines of the pool; nil for a pool of plain
	// services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine holds the common properties of the model engines of a pool.
type Engine struct {
	// Batch is the number of requests that an engine runs concurrently.
	Batch int `json:"batch"`
	// CacheTokens is the capacity for tokens of running and cached requests.
	CacheTokens int `json:"cache_tokens"`
	// TokenBytes is the size of one cached token in bytes.
	TokenBytes int `json:"token_bytes,omitempty"`
	// LinkMegabits is the rate at which tokens are copied, in megabits per second.
	LinkMegabits float64 `json:"link_megabits,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"event_tokens,omitempty"`
	// CopiesOnRequest: the tokens of a running request can be copied to another
	// engine. CopiesContinuously: they can be sent there continuously while they are
	// generated.
	CopiesOnRequest    bool `json:"copies_on_request,omitempty"`
	CopiesContinuously bool `json:"copies_along,omitempty"`
	// CopyTTL is how long an unused copy is kept.
	CopyTTL time.Duration `json:"copy_ttl,omitempty"`
	Models  []string      `json:"models,omitempty"`
}

// Limits bound the size of requests, and the time that callers may take to send
// them.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64         `json:"max_body_bytes,omitempty"`
	HeaderTimeout  time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout    time.Duration `json:"idle_timeout,omitempty"`
}

// Organisation is the configuration of one organisation, whose callers are identified
// by its keys.
type Organisation struct {
	Name string `json:"name"`
	// Rank, if set, overrides the rank of the route.
	Rank *int `json:"rank,omitempty"`
	// KeySHA256 contains the SHA-256 hashes of its keys, in hex.
	KeySHA256 []string `json:"key_sha256,omitempty"`
}

// Encode returns the table as the body of a record.
func (t *Table) Encode() json.RawMessage {
	raw, err := json.Marshal(t)
	if err != nil {
		// All fields of a table can be marshalled.
		panic(err)
	}
	return raw
}

// Decode decodes a table from the body of a record.
func Decode(body json.RawMessage) (*Table, error) {
	var t Table
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, merry.Prepend(ErrUnreadable, err.Error())
	}
	if t.Schema > SchemaVersion {
		return nil, merry.Prependf(ErrUnreadable, "schema_version %d is newer than known", t.Schema)
	}
	return &t, nil
}
