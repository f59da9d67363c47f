package platform

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// HostList is the list of hosts in requests and responses.
type HostList struct {
	Endpoints []port.Endpoint `json:"endpoints"`
}

type timestampedList struct {
	list  HostList
	setAt time.Time
}

// hosts makes each host list visible a fixed time (lag) after it was set.
type hosts struct {
	mu    sync.Mutex
	lag   time.Duration
	lists []timestampedList
}

func (h *hosts) set(now time.Time, list HostList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropReplaced(now)
	h.lists = append(h.lists, timestampedList{list: list, setAt: now})
}

func (h *hosts) visible(now time.Time) HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropReplaced(now)
	if len(h.lists) == 0 || now.Sub(h.lists[0].setAt) < h.lag {
		return HostList{Endpoints: []port.Endpoint{}}
	}
	return h.lists[0].list
}

// dropReplaced removes the lists that a newer visible list has replaced.
func (h *hosts) dropReplaced(now time.Time) {
	for len(h.lists) > 1 && now.Sub(h.lists[1].setAt) >= h.lag {
		h.lists = h.lists[1:]
	}
}
