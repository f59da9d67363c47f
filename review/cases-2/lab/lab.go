// Package lab runs the project's entry daemons as separate processes on loopback, beside
// stand-ins of the platform's store, of runners and of clients.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Figures of the site bayani-ops.
const (
	Heartbeat = 1200 * time.Millisecond
	EntryTTL  = 3 * Heartbeat
	GraceS    = 8
	Host      = "survey.example"
	Key       = "key-of-crews"
	Tenant    = "crews"
	CallPool  = "dispatch"
	ModelPool = "lm-pool"
)

// Lab is a small deployment with a record of what was sent, answered and run.
type Lab struct {
	Root string
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *standin.Store

	dir       string
	storeAddr string
	began     time.Time
	cancel    context.CancelFunc
	ctx       context.Context
	daemons   []*Daemon

	mu     sync.Mutex
	record *os.File
	// written holds the time of the last write of each runner's entry.
	written map[string]time.Time
}

// New starts a store and the record. The working directory must be the root of the
// repository, and RECORD must name the file to write.
func New() (*Lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	l := &Lab{Root: root, Trouble: os.Getenv("TROUBLE") != "0", Store: standin.NewStore(), dir: dir, began: time.Now(), record: record, written: map[string]time.Time{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.storeAddr, err = l.Serve(l.Store)
	if err != nil {
		return nil, err
	}
	go l.expireEntries()
	return l, nil
}

// writeEntry writes the entry of a runner to the store.
func (l *Lab) writeEntry(id string, entry map[string]any) {
	l.mu.Lock()
	_, present := l.written[id]
	l.written[id] = time.Now()
	l.mu.Unlock()
	l.Store.Put(standin.KindRunners, id, entry)
	if !present {
		l.Log("%s is registered", id)
	}
}

// expireEntries removes the entries that haven't been written for EntryTTL, until the lab is
// closed.
func (l *Lab) expireEntries() {
	const checkEvery = 10 * time.Millisecond
	for l.ctx.Err() == nil {
		var lapsed []string
		l.mu.Lock()
		for id, at := range l.written {
			if time.Since(at) >= EntryTTL {
				lapsed = append(lapsed, id)
				delete(l.written, id)
			}
		}
		l.mu.Unlock()
		for _, id := range lapsed {
			l.Store.Delete(standin.KindRunners, id)
			l.Log("the entry of %s has lapsed", id)
		}
		time.Sleep(checkEvery)
	}
}

// Serve serves a handler at a free loopback port until the lab is closed. It returns the
// address.
func (l *Lab) Serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Log adds a line to the record.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.began).Seconds()}, args...)...)
}

// Close ends all processes and stand-ins and removes the temporary folder, unless KEEP_LOGS
// is set.
func (l *Lab) Close() {
	for _, d := range l.daemons {
		d.Kill()
	}
	l.cancel()
	l.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(l.dir)
	}
}

// Fail records why the case could not run, and ends the program.
func (l *Lab) Fail(err error) {
	l.Log("the case could not run: %v", err)
	l.Close()
	fmt.Fprintln(os.Stderr, err)
	os.Exit(NotRun)
}

// Judge records the verdict, and ends the program.
func (l *Lab) Judge(broken bool, format string, args ...any) {
	verdict, code := "held", Held
	if broken {
		verdict, code = "BROKEN", Broken
	}
	text := fmt.Sprintf(format, args...)
	l.Log("%s: %s", verdict, text)
	l.Close()
	fmt.Println(verdict + ": " + text)
	os.Exit(code)
}

// Daemon is an entry daemon. Its addresses stay the same when it is started again.
type Daemon struct {
	ID, Callers, Readiness string

	lab      *Lab
	settings string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
}

// AddDaemons writes the settings of n daemons in three zones, as the template of the deploy
// file has them, and starts them.
func (l *Lab) AddDaemons(n int) ([]*Daemon, error) {
	const addresses = 6
	free, err := freeAddresses(n * addresses)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, free[i*addresses+1])
	}
	zones := []string{"quezon", "pampanga", "batangas"}
	for i := range n {
		a := free[i*addresses : (i+1)*addresses]
		d := &Daemon{ID: fmt.Sprintf("front-%d", i+1), Callers: a[0], Readiness: a[3], lab: l}
		d.settings = filepath.Join(l.dir, d.ID+".json")
		raw, err := json.Marshal(map[string]any{
			"id": d.ID, "host": "127.0.0.1", "failure_domain": zones[i%len(zones)],
			"listen":  map[string]any{"callers": a[0], "peers": a[1], "admin": a[5]},
			"metrics": a[4], "directory": a[2], "readiness": a[3], "admin_token_sha256": "",
			"keepers": seeds, "store": l.storeAddr, "endpoint_beat_ms": Heartbeat.Milliseconds(), "grace_seconds": GraceS,
			"retry_ratio": 0.2, "retry_slack": 52, "uneven_endpoints": true, "scarce_room": true,
			"capacity": map[string]any{"processor": 0.4, "cores": 1, "link_mbps": 1000, "memory_mb": 284, "descriptors": 4100},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(d.settings, raw, 0o600); err != nil {
			return nil, err
		}
		l.daemons = append(l.daemons, d)
		if err := d.Start(); err != nil {
			return nil, err
		}
	}
	return l.daemons, nil
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// Start starts the daemon with the command of the deploy file.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(d.lab.dir, d.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	p := exec.Command(filepath.Join(d.lab.Root, "target", "dragonfly-entry"))
	p.Dir, p.Env = d.lab.Root, append(os.Environ(), "DRAGONFLYRAIL_BOOT="+d.settings)
	p.Stdout, p.Stderr = output, output
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The daemon may be ended by a signal.
		_ = p.Wait()
		close(exited)
	}()
	d.process, d.exited = p, exited
	d.lab.Log("%s starts", d.ID)
	return nil
}

// Kill ends the daemon with SIGKILL and waits for its end.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

// Ready reports whether the daemon's readiness check answers 200.
func (d *Daemon) Ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + d.Readiness + "/-/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (l *Lab) AwaitReady(timeout time.Duration) error {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, d := range l.daemons {
			if d.Ready() {
				ready++
			}
		}
		if ready == len(l.daemons) {
			return nil
		}
		if time.Since(began) > timeout {
			return fmt.Errorf("%d of %d daemons are ready after %v", ready, len(l.daemons), timeout)
		}
	}
}

// Configure writes the operator's configuration: /tile/ is safe, /ping/ unsafe, /report/ a
// stream, with the figures of the site's kinds of requests.
func (l *Lab) Configure() {
	route := func(name, kind, service string, attempts, timeout, goal, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": priority, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": kind == "streaming",
			"resumable": false, "gap_target_ms": 180,
		}
	}
	l.Store.Put(standin.KindConfiguration, standin.ConfigurationName, map[string]any{
		"version": 7,
		"routes": []any{
			route("tile", "safe", CallPool, 2, 600, 100, 2), route("ping", "unsafe", CallPool, 1, 600, 100, 2),
			route("report", "streaming", ModelPool, 1, 39000, 1800, 0),
		},
		"services": []any{
			map[string]any{"name": CallPool, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": ModelPool, "health_path": "/health", "max_conns": 222, "protocol": "h1", "tls": false, "engine": map[string]any{
				"capacity": 24, "kv_tokens": 34240, "kv_token_bytes": 327680, "link_mbps": 47000.0, "moves": true, "backups": true,
				"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1}},
	})
}
