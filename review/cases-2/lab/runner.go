package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/faultproxy"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
)

// Runner is a runner of one service. It registers itself in the store as long as the lab
// runs and it isn't cut off.
type Runner struct {
	ID, Service, Address string
	// Work is the time that a call takes, or that passes between two events.
	Work time.Duration
	// Events is the number of events of a stream; zero for a plain service.
	Events int

	lab *Lab
	cut atomic.Bool
	// beat receives after each heartbeat if somebody waits.
	beat chan struct{}
	mu   sync.Mutex
	ran  map[string]int
}

// AddRunner starts a runner. address is where it listens, advertised what its entry names;
// both may be empty.
func (l *Lab) AddRunner(r *Runner, advertised string) error {
	r.lab, r.ran, r.beat = l, map[string]int{}, make(chan struct{})
	address, err := l.Serve(r.Address, r)
	if err != nil {
		return err
	}
	r.Address = address
	if advertised == "" {
		advertised = address
	}
	go r.register(advertised)
	return nil
}

// AddRunnerBehindProxy starts a runner whose entry names a proxy in front of it.
func (l *Lab) AddRunnerBehindProxy(r *Runner) (*faultproxy.Proxy, error) {
	free, err := freeAddresses(2)
	if err != nil {
		return nil, err
	}
	path, err := faultproxy.New(free[0], free[1])
	if err != nil {
		return nil, err
	}
	context.AfterFunc(l.ctx, path.Close)
	r.Address = free[1]
	return path, l.AddRunner(r, free[0])
}

// AddCrashingRunner starts a runner that ends without a notice when crash is called, just
// after its next heartbeat: its connections are closed and its entry is written no more.
func (l *Lab) AddCrashingRunner(r *Runner) (crash func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.lab, r.ran, r.Address, r.beat = l, map[string]int{}, listener.Addr().String(), make(chan struct{})
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(listener) }()
	go r.register(r.Address)
	return func() {
		r.AwaitBeat()
		r.Cut(true)
		_ = server.Close()
	}, nil
}

// Register writes the entry of a plain runner at each heartbeat, for a runner that the lab
// didn't start.
func (l *Lab) Register(id, service, address string) {
	go (&Runner{ID: id, Service: service, lab: l}).register(address)
}

// retryPause is the time between two writes of an entry while the store can't be reached.
const retryPause = 250 * time.Millisecond

// register writes the runner's entry at each heartbeat.
func (r *Runner) register(advertised string) {
	for {
		pause := Heartbeat
		if r.cut.Load() {
			pause = retryPause
		} else {
			r.lab.writeEntry(r.ID, Entry(r.Service, advertised, r.Events > 0))
		}
		select {
		case r.beat <- struct{}{}:
		default:
		}
		select {
		case <-r.lab.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// Entry is the registry entry of a runner.
func Entry(service, address string, engine bool) map[string]any {
	e := map[string]any{
		"service": service, "address": address, "zone": "quezon", "version": "v1", "capacity": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": 1,
	}
	if engine {
		e["capacity"], e["phase"], e["models"] = 24, "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// AwaitBeat waits for the runner's next heartbeat.
func (r *Runner) AwaitBeat() { <-r.beat }

// Cut cuts the runner off from the store, or connects it again. The path of requests is
// that of the proxy in front of it.
func (r *Runner) Cut(cut bool) { r.cut.Store(cut) }

// Ran returns how often each request has run here.
func (r *Runner) Ran() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.ran))
	for id, n := range r.ran {
		out[id] = n
	}
	return out
}

// Run records that a request begins to run.
func (r *Runner) Run(id string) {
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	r.lab.Log("%s runs %s", r.ID, id)
}

// ServeHTTP serves requests, health checks and load reports.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Dragonflyrail-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Dragonflyrail-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Dragonflyrail-Instance-Id", r.ID)
		return
	case "/-/report":
		fmt.Fprint(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":34240,"handle_count":0,"state":"ready","runs":[]}`)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Dragonflyrail-Request-Id")
	r.Run(id)
	w.Header().Set("Dragonflyrail-Request-Id", id)
	w.Header().Set("Dragonflyrail-Response-Seal", "seal-of-"+r.ID)
	if r.Events == 0 {
		time.Sleep(r.Work)
		w.Header().Set("Dragonflyrail-Server-Load", "1,0,6")
		fmt.Fprintf(w, "answer to %s with %d bytes", id, len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range r.Events {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.Work):
		}
		fmt.Fprint(w, standin.Event(id, n+1))
		if control.Flush() != nil {
			return
		}
	}
}
