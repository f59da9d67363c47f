// Package route holds the operators' routes: which requests go to which pool,
// under which limits, for whom. A table is one version of all of it; an index
// answers from it for each request. It knows no sockets and no clock.
package route

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// RecordKind is the kind of record that holds a table.
const RecordKind = "route-tables"

// SchemaVersion is the schema of tables that this build writes and reads.
const SchemaVersion = 1

// ErrUnreadable is a table that this build can't read.
var ErrUnreadable = merry.Sentinel("route: table can't be read")

// Repeatable tells what may be done with a request whose outcome is in doubt.
type Repeatable string

// The classes of requests.
const (
	// RepeatSafe: a second run does no harm.
	RepeatSafe Repeatable = "safe"
	// RepeatNever: it runs at most once.
	RepeatNever Repeatable = "never"
)

// Table is one version of the routes. Version is the operators' own number:
// the only order between two tables.
type Table struct {
	Schema        int            `json:"schema_version"`
	Version       uint64         `json:"version"`
	Routes        []Route        `json:"routes"`
	Pools         []Pool         `json:"pools"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Route sends the requests of one host and path prefix to pools.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"prefix"`
	// Targets has at least one entry.
	Targets []Target   `json:"targets"`
	Repeat  Repeatable `json:"repeat"`
	// Streams: the answer is a series of events that are passed on one by one.
	Streams bool `json:"streams,omitempty"`
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or its first event, is
	// on time; zero where the operators name none.
	Objective time.Duration `json:"objective,omitempty"`
	// GapObjective is the longest pause between two events that is on time.
	GapObjective time.Duration `json:"gap_objective,omitempty"`
	// Rank orders routes by urgency; zero goes first.
	Rank int `json:"rank"`
	// Open: no key is asked for.
	Open bool `json:"open,omitempty"`
	// Resumable: a caller may come back for the rest of a stream, at a new
	// run that continues it.
	Resumable bool `json:"resumable,omitempty"`
}

// Target is one pool with its part of a route's requests.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is what the operators say of a group of endpoints.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is where an endpoint answers for its health.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is what one endpoint takes of all callers together; zero
	// is no bound.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdRate is the requests a second that an endpoint takes from all callers
	// together while it is cold; zero where the operators name none.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// Engine describes the pool's model engines; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine is what the model engines of one pool have in common.
type Engine struct {
	// Batch is the number of requests that run at once.
	Batch int `json:"batch"`
	// CacheTokens is the room for tokens of running and cached requests.
	CacheTokens int `json:"cache_tokens"`
	// TokenBytes is the size of one cached token.
	TokenBytes int `json:"token_bytes,omitempty"`
	// LinkMegabits is the speed, per second, at which tokens are copied.
	LinkMegabits float64 `json:"link_megabits,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"event_tokens,omitempty"`
	// CopiesOnRequest: a running request's tokens can be copied to another
	// engine. CopiesAlong: they can be sent there as they grow.
	CopiesOnRequest bool `json:"copies_on_request,omitempty"`
	CopiesAlong     bool `json:"copies_along,omitempty"`
	// CopyTTL is how long a copy that nobody uses is kept.
	CopyTTL time.Duration `json:"copy_ttl,omitempty"`
	Models  []string      `json:"models,omitempty"`
}

// Limits bound what a caller may send, and how slowly.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64         `json:"max_body_bytes,omitempty"`
	HeaderTimeout  time.Duration `json:"header_timeout,omitempty"`
	IdleTimeout    time.Duration `json:"idle_timeout,omitempty"`
}

// Organisation is one organisation's callers.
type Organisation struct {
	Name string `json:"name"`
	// Rank, where set, goes before the route's.
	Rank *int `json:"rank,omitempty"`
	// KeySHA256 are the hashes of its keys, in hex.
	KeySHA256 []string `json:"key_sha256,omitempty"`
}

// Encode returns the body of the record that holds the table.
func (t *Table) Encode() json.RawMessage {
	raw, err := json.Marshal(t)
	if err != nil {
		// Only plain fields are in a table.
		panic(err)
	}
	return raw
}

// Decode reads the body of a record.
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
