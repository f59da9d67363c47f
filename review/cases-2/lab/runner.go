package lab

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Runner is a runner that answers calls. It registers itself in the store as long as the lab
// runs and it isn't cut off from it.
type Runner struct {
	ID, Service string
	// Work is the time that a call takes.
	Work time.Duration
	// IsEngine makes its entry that of a model runner; it serves no streams.
	IsEngine bool

	lab *Lab
	cut atomic.Bool
	// beat receives after each heartbeat if somebody waits.
	beat chan struct{}
}

// AddRunner starts a runner.
func (l *Lab) AddRunner(r *Runner) error {
	r.lab, r.beat = l, make(chan struct{})
	address, err := l.Serve(r)
	if err != nil {
		return err
	}
	go r.register(address)
	return nil
}

// retryPause is the time between two writes of an entry while the store can't be reached.
const retryPause = 250 * time.Millisecond

// register writes the runner's entry at each heartbeat.
func (r *Runner) register(address string) {
	for {
		pause := Heartbeat
		if r.cut.Load() {
			pause = retryPause
		} else {
			r.lab.writeEntry(r.ID, Entry(r.Service, address, r.IsEngine))
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

// Cut cuts the runner off from the store, or connects it again.
func (r *Runner) Cut(cut bool) { r.cut.Store(cut) }

// ServeHTTP serves requests and health checks.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Dragonflyrail-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Dragonflyrail-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("Dragonflyrail-Instance-Id", r.ID)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Dragonflyrail-Request-Id")
	r.lab.Log("%s runs %s", r.ID, id)
	w.Header().Set("Dragonflyrail-Request-Id", id)
	w.Header().Set("Dragonflyrail-Response-Seal", "seal-of-"+r.ID)
	time.Sleep(r.Work)
	w.Header().Set("Dragonflyrail-Server-Load", "1,0,6")
	fmt.Fprintf(w, "answer to %s with %d bytes", id, len(body))
}
