package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// RequestState is the stage of a request.
type RequestState string

// The states of a request.
const (
	RequestHeld     RequestState = "held"
	RequestRunning  RequestState = "running"
	RequestFinished RequestState = "over"
	// RequestUnknown: no available source knows the request's state.
	RequestUnknown RequestState = "unknown"
)

// RequestStatus is what a router knows about a request, as reported to callers.
type RequestStatus struct {
	RequestID    string          `json:"request_id"`
	State        RequestState    `json:"state"`
	Outcome      outcome.Outcome `json:"outcome,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	Organisation string          `json:"organisation,omitempty"`
	Endpoint     string          `json:"endpoint,omitempty"`
	Generation   string          `json:"generation,omitempty"`
	Tokens       int             `json:"tokens"`
	Attempts     int             `json:"attempts"`
}

const statusShardCount = 16

// statusStore keeps the statuses of the latest requests. Each shard evicts its
// oldest first.
type statusStore struct {
	shards [statusShardCount]statusShard
}

type statusShard struct {
	mu   sync.Mutex
	m    map[string]RequestStatus
	ring []string
	next int
}

func newStatusStore(limit int) *statusStore {
	rs := &statusStore{}
	for i := range rs.shards {
		rs.shards[i].m = make(map[string]RequestStatus)
		rs.shards[i].ring = make([]string, max(1, limit/statusShardCount))
	}
	return rs
}

func (rs *statusStore) shard(id string) *statusShard {
	return &rs.shards[xxhash.Sum64String(id)%statusShardCount]
}

// put stores a status and replaces an earlier one of the same request.
func (rs *statusStore) put(s RequestStatus) {
	sh := rs.shard(s.RequestID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, known := sh.m[s.RequestID]; !known {
		delete(sh.m, sh.ring[sh.next])
		sh.ring[sh.next] = s.RequestID
		sh.next = (sh.next + 1) % len(sh.ring)
	}
	sh.m[s.RequestID] = s
}

func (rs *statusStore) get(id string) (RequestStatus, bool) {
	sh := rs.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s, ok := sh.m[id]
	return s, ok
}
