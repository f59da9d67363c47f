package oncehttp

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
)

const (
	// keepMargin is the time before the end of what an endpoint states in Keep-Alive at
	// which an unused connection to it is closed. The endpoint counts from its own last
	// activity and may close it while a request is on the way.
	keepMargin = 500 * time.Millisecond
	// maxKeepSeconds bounds a stated time, which is one of years in some servers.
	maxKeepSeconds = 24 * 60 * 60
)

// errClosedUnused means that a connection was closed, because it was unused for too long,
// at the moment at which a request took it. Nothing of the request was sent.
var errClosedUnused = merry.Sentinel("oncehttp: the unused connection was closed")

// connections are the connections of a client. It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// idle counts the unused connections, by address.
	idle map[string]int
}

func (p *connections) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle[address] > 0
}

// countedConn counts the bytes passed to the kernel, and closes itself if it is unused for
// too long. The fields without a lock of their own are guarded by pool.mu.
type countedConn struct {
	*httpstrict.Conn
	written atomic.Int64

	pool    *connections
	address string
	// user is the request that uses the connection, nil while it is unused.
	user *sentTrace
	// lastID is the id of the last request that used it.
	lastID string
	// unused: it is counted in pool.idle. closed: it was closed. expired: it was closed
	// because it was unused for too long.
	unused, closed, expired bool
	// keepFor is how long the connection may be unused; zero means no limit of its own.
	keepFor time.Duration
	timer   *time.Timer
}

func (c *countedConn) Write(p []byte) (int, error) {
	if c.hasExpired() {
		return 0, errClosedUnused
	}
	// Counted before the write, because a failed write may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.pool.mu.Lock()
	c.closed = true
	c.leaveIdle()
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// leaveIdle stops counting the connection as unused; pool.mu must be held.
func (c *countedConn) leaveIdle() {
	if !c.unused {
		return
	}
	c.unused = false
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.pool.idle[c.address]--; c.pool.idle[c.address] == 0 {
		delete(c.pool.idle, c.address)
	}
}

// take records that a request uses the connection.
func (c *countedConn) take(user *sentTrace) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.leaveIdle()
	c.user = user
	user.previousID, c.lastID = c.lastID, user.id
}

// putBack records that a request has left the connection for reuse. net/http reports this
// after the connection may have been taken by the next request.
func (c *countedConn) putBack(user *sentTrace) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.user != user || c.closed {
		return
	}
	c.user, c.unused = nil, true
	c.pool.idle[c.address]++
	c.startTimer()
}

// startTimer limits the time for which the connection may be unused; pool.mu must be held.
func (c *countedConn) startTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.keepFor > 0 {
		c.timer = time.AfterFunc(c.keepFor, c.closeUnused)
	}
}

// closeUnused closes the connection if no request has taken it.
func (c *countedConn) closeUnused() {
	c.pool.mu.Lock()
	c.expired = c.expired || c.unused
	expired := c.expired
	c.pool.mu.Unlock()
	if expired {
		// net/http may still give the connection to a request, whose Write then fails
		// before anything is sent.
		_ = c.Close()
	}
}

// abandon closes the connection unless a request other than user uses it.
func (c *countedConn) abandon(user *sentTrace) {
	c.pool.mu.Lock()
	taken := c.user != nil && c.user != user
	c.expired = c.expired || !taken
	c.pool.mu.Unlock()
	if !taken {
		_ = c.Close()
	}
}

func (c *countedConn) hasExpired() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.expired
}

// setKeepFor sets how long the connection may be unused.
func (c *countedConn) setKeepFor(d time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.keepFor = d
	if c.unused {
		c.startTimer()
	}
}

// statedKeepTime returns how long an unused connection may be kept by the time that the
// endpoint states in Keep-Alive, or zero if it states none.
func statedKeepTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		stated := time.Duration(min(seconds, maxKeepSeconds)) * time.Second
		return max(time.Millisecond, stated-min(keepMargin, stated/2))
	}
	return 0
}
