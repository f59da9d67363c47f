package router

import (
	"net/http"
	"sync"
)

// maxStoredReply bounds one stored reply, in bytes.
const maxStoredReply = 32 << 10

// storedReply is a small, complete reply to a call with an idempotency key.
type storedReply struct {
	requestID   string
	requestHash uint64
	status      int
	header      http.Header
	body        []byte
}

// replyCache stores small, complete replies by idempotency key and evicts the
// oldest first. A caller whose connection broke after the call ran gets the same
// reply again from the same router; other routers can only report that the call
// ran.
type replyCache struct {
	mu    sync.Mutex
	limit int
	size  int
	m     map[[16]byte]*storedReply
	order [][16]byte
}

func newReplyCache(limit int) *replyCache {
	return &replyCache{limit: limit, m: make(map[[16]byte]*storedReply)}
}

// replyOverhead is the assumed size of a reply's header and bookkeeping, in bytes.
const replyOverhead = 512

func (s *storedReply) cost() int { return len(s.body) + replyOverhead }

func (rs *replyCache) put(key [16]byte, reply *storedReply) {
	if len(reply.body) > maxStoredReply {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if _, known := rs.m[key]; known {
		return
	}
	rs.m[key] = reply
	rs.order = append(rs.order, key)
	rs.size += reply.cost()
	for rs.size > rs.limit && len(rs.order) > 0 {
		oldest := rs.order[0]
		rs.order = rs.order[1:]
		rs.size -= rs.m[oldest].cost()
		delete(rs.m, oldest)
	}
}

func (rs *replyCache) get(key [16]byte) (*storedReply, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	reply, ok := rs.m[key]
	return reply, ok
}
