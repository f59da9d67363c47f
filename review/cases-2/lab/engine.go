package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
)

// Engines are the model runners of a pool, which copy runs to each other.
type Engines struct {
	lab *Lab
	mu  sync.Mutex
	all map[string]*Engine
}

// NewEngines returns an empty pool.
func (l *Lab) NewEngines() *Engines { return &Engines{lab: l, all: map[string]*Engine{}} }

// Engine is a model runner that streams events and copies its runs on request.
type Engine struct {
	ID, Address string
	// EventEvery is the time between two events, CopyFor the time that the first copy of a run
	// takes, and CopyNewFor that of a later one, which has only what is new. Copies run one
	// after another.
	EventEvery, CopyFor, CopyNewFor time.Duration
	// WorksOn makes the engine finish a run whose connection was closed.
	WorksOn bool
	// OnCopy is called with each call that copies a run, before it is carried out; it
	// returns true if it has dealt with the call.
	OnCopy func(w http.ResponseWriter, q *http.Request, c Copy) bool
	// LosesAnswer reports whether the answer to a request that goes on from a copy is lost: its
	// connection is reset, and the engine works on it.
	LosesAnswer func(id string) bool

	pool   *Engines
	mu     sync.Mutex
	link   sync.Mutex
	state  string
	runs   map[string]*run
	copies map[string]memory
	// started counts the requests that began to run, continued those of them that went on
	// from a copy.
	started, continued int
}

// Copy is a call to copy a run.
type Copy struct {
	ID   string `json:"id"`
	To   string `json:"to"`
	Last bool   `json:"last"`
}

// run is a run in progress. of is the request whose memory it goes on from.
type run struct {
	of   string
	next int
	stop chan struct{}
	// copied: the run has been copied before.
	copied bool
}

// memory is the copy of a run.
type memory struct {
	of   string
	next int
}

// Add starts an engine and registers it.
func (p *Engines) Add(e *Engine) error {
	e.pool, e.state, e.runs, e.copies = p, "ready", map[string]*run{}, map[string]memory{}
	address, err := p.lab.Serve(e)
	if err != nil {
		return err
	}
	e.Address = address
	p.mu.Lock()
	p.all[address] = e
	p.mu.Unlock()
	go e.register()
	return nil
}

func (e *Engine) register() {
	for e.pool.lab.ctx.Err() == nil {
		entry := Entry(ModelPool, e.Address, true)
		e.mu.Lock()
		entry["state"] = e.state
		e.mu.Unlock()
		e.pool.lab.writeEntry(e.ID, entry)
		time.Sleep(Heartbeat)
	}
}

// Drain makes the engine report that it is draining.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	entry := Entry(ModelPool, e.Address, true)
	entry["state"] = "draining"
	e.pool.lab.writeEntry(e.ID, entry)
	e.pool.lab.Log("%s reports draining", e.ID)
}

// Works reports whether the engine works on a request.
func (e *Engine) Works(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] != nil
}

// Started returns the number of requests that have begun to run here, also from a copy.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Continued returns the number of requests that have gone on here from a copy.
func (e *Engine) Continued() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.continued
}

// ServeHTTP serves requests and the engine's own interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Dragonflyrail-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Dragonflyrail-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("Dragonflyrail-Instance-Id", e.ID)
	case q.URL.Path == "/-/report":
		e.serveReport(w)
	case q.URL.Path == "/-/kv-move":
		e.serveCopy(w, q)
	case strings.HasPrefix(q.URL.Path, "/-/kv-handle/"):
		e.mu.Lock()
		delete(e.copies, strings.TrimPrefix(q.URL.Path, "/-/kv-handle/"))
		e.mu.Unlock()
	default:
		e.serveRun(w, q)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	state, active := e.state, len(e.runs)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":%d,"kv_used":0,"kv_total":34240,"handle_count":0,"state":%q,"runs":[]}`, active, state)
}

func (e *Engine) serveCopy(w http.ResponseWriter, q *http.Request) {
	var c Copy
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.OnCopy != nil && e.OnCopy(w, q, c) {
		return
	}
	body, status := e.CopyRun(c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the daemon has disconnected.
	_, _ = io.WriteString(w, body)
}

// CopyRun copies a run and returns the answer to the call.
func (e *Engine) CopyRun(c Copy) (body string, status int) {
	e.link.Lock()
	defer e.link.Unlock()
	e.mu.Lock()
	r := e.runs[c.ID]
	takes := e.CopyFor
	if r != nil && r.copied {
		takes = e.CopyNewFor
	}
	if r != nil && c.Last {
		select {
		case <-r.stop:
		default:
			close(r.stop)
		}
		delete(e.runs, c.ID)
	}
	e.mu.Unlock()
	if r == nil {
		return "{}", http.StatusNotFound
	}
	time.Sleep(takes)
	e.pool.mu.Lock()
	to := e.pool.all[c.To]
	e.pool.mu.Unlock()
	if to == nil {
		return "{}", http.StatusServiceUnavailable
	}
	e.mu.Lock()
	m := memory{of: r.of, next: r.next}
	r.copied = true
	e.mu.Unlock()
	handle := "h-" + c.ID
	to.mu.Lock()
	to.copies[handle] = m
	to.mu.Unlock()
	if c.Last {
		// The source keeps the memory.
		e.mu.Lock()
		e.copies[handle] = m
		e.mu.Unlock()
	}
	return fmt.Sprintf(`{"handle":%q,"created":%d}`, handle, m.next-1), http.StatusOK
}

func (e *Engine) serveRun(w http.ResponseWriter, q *http.Request) {
	l, id := e.pool.lab, q.Header.Get("Dragonflyrail-Request-Id")
	w.Header().Set("Dragonflyrail-Request-Id", id)
	r := &run{of: id, next: 1, stop: make(chan struct{})}
	if from := q.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		e.mu.Lock()
		m, held := e.copies[handle]
		// A handle can be used once.
		delete(e.copies, handle)
		e.mu.Unlock()
		if !held {
			l.Log("%s has no copy %s for %s", e.ID, handle, id)
			w.Header().Set("Dragonflyrail-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		r.of, r.next = m.of, last+1
		l.Log("%s goes on with %s after event %d, from copy %s, the memory of %s", e.ID, id, last, handle, m.of)
	} else {
		l.Log("%s runs %s", e.ID, id)
	}
	e.mu.Lock()
	e.runs[id] = r
	e.started++
	if q.Header.Get("Kv-From") != "" {
		e.continued++
	}
	e.mu.Unlock()
	if q.Header.Get("Kv-From") != "" && e.LosesAnswer != nil && e.LosesAnswer(id) {
		l.Log("%s loses its answer to %s and works on it", e.ID, id)
		ResetConnection(w)
		e.work(r, eventsOf(q))
	} else {
		w.Header().Set("Dragonflyrail-Response-Seal", "seal-of-"+e.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		e.stream(w, q, id, r)
	}
	e.mu.Lock()
	if e.runs[id] == r {
		delete(e.runs, id)
	}
	e.mu.Unlock()
}

// work makes the rest of a run's events for nobody.
func (e *Engine) work(r *run, total int) {
	for e.next(r) <= total {
		select {
		case <-r.stop:
			return
		case <-time.After(e.EventEvery):
		}
		e.made(r)
	}
}

// next returns the number of a run's next event.
func (e *Engine) next(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.next
}

func (e *Engine) made(r *run) {
	e.mu.Lock()
	r.next++
	e.mu.Unlock()
}

// stream sends the events of a run. One that is stopped ends its connection without the end
// of the answer.
func (e *Engine) stream(w http.ResponseWriter, q *http.Request, id string, r *run) {
	control, total := http.NewResponseController(w), eventsOf(q)
	for e.next(r) <= total {
		select {
		case <-r.stop:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			if e.WorksOn {
				e.pool.lab.Log("%s works on %s, whose connection was closed", e.ID, id)
				e.work(r, total)
			}
			return
		case <-time.After(e.EventEvery):
		}
		fmt.Fprint(w, standin.Event(r.of, e.next(r)))
		e.made(r)
		// A closed connection shows in the request's context.
		_ = control.Flush()
	}
}

// eventsOf returns the number of events of a generation: an event holds four tokens.
func eventsOf(q *http.Request) int {
	const tokensPerEvent = 4
	_, most, _ := strings.Cut(q.Header.Get("Dragonflyrail-Token-Usage"), ",")
	n, _ := strconv.Atoi(most)
	return n / tokensPerEvent
}

// ResetConnection ends the connection of a call with a reset.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
