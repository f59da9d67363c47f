package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
)

// Names and bounds of the deployment, as those of Kegsetu.
const (
	hostName    = "kegs.example"
	service     = "depot-app"
	tenant      = "bar-1"
	key         = "key-of-bar-1"
	unsafePath  = "/keg-lookup/"
	safePath    = "/pickup-record/"
	zone        = "kolkata-hall"
	heartbeat   = 1200 * time.Millisecond
	lapse       = 3 * heartbeat
	deadline    = 1500 * time.Millisecond
	daemonCount = 3
	hostCount   = 3
)

// ownAddress is the loopback address of this play. No outgoing connection has it as its
// source, so that a port that is free for a moment isn't taken.
var ownAddress = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)

// fleet is a small deployment: the store and the runners in this process, the daemons as
// processes of their own.
type fleet struct {
	record  *record
	store   *standin.Store
	hosts   []*host
	daemons []*daemon
	server  *http.Server
	dir     string
	cancel  context.CancelFunc
}

// daemon is one process of dragonfly-entry.
type daemon struct {
	name                                                   string
	callers, control, directory, readiness, admin, metrics string
	process                                                *exec.Cmd
}

// newFleet starts the store, the runners and the daemons, and waits until all are ready.
func newFleet(ctx context.Context, rec *record, prepare func(*host)) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{record: rec, store: standin.NewStore(), dir: dir, cancel: cancel}
	listener, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		return f, err
	}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }()
	go f.store.ExpireObjects(ctx, "servers", lapse)
	f.store.Put("config", "main", configuration())
	for i := range hostCount {
		h, err := newHost(fmt.Sprint(i+1), rec)
		if err != nil {
			return f, err
		}
		prepare(h)
		f.hosts = append(f.hosts, h)
		if err := f.startRunner(ctx, h, fmt.Sprintf("i-%d-1", i+1)); err != nil {
			return f, err
		}
	}
	if err := f.startDaemons(listener.Addr().String()); err != nil {
		return f, err
	}
	return f, f.waitReady(ctx)
}

// startRunner starts a runner and writes its entry until it has ended.
func (f *fleet) startRunner(ctx context.Context, h *host, id string) error {
	if err := h.start(id); err != nil {
		return err
	}
	go func() {
		for h.isRunning(id) && ctx.Err() == nil {
			h.awaitPath()
			// A heartbeat that changes only the sequence makes no event; this store compares the
			// whole entry.
			f.store.Put("servers", id, map[string]any{
				"service": service, "address": h.address, "zone": zone, "version": "v1", "capacity": slots,
				"state": "ready", "cold_left_ms": 0, "sequence": 1,
			})
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func configuration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": deadline.Milliseconds(),
			"goal_ms": 150, "priority": 2, "service": service, "max_attempts": attempts, "anonymous": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-keg-lookup", unsafePath, "unsafe", 1), route("r-pickup-record", safePath, "safe", 2)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}

func (f *fleet) startDaemons(store string) error {
	for i := range daemonCount {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1)}
		for _, address := range []*string{&d.callers, &d.control, &d.directory, &d.readiness, &d.admin, &d.metrics} {
			l, err := net.Listen("tcp", ownAddress+":0")
			if err != nil {
				return err
			}
			*address = l.Addr().String()
			// All are held until the daemon starts, so that they differ.
			defer l.Close()
		}
		f.daemons = append(f.daemons, d)
	}
	var seeds []string
	for _, d := range f.daemons {
		seeds = append(seeds, d.control)
	}
	template, err := os.ReadFile("deploy/entry.json.tmpl")
	if err != nil {
		return err
	}
	for _, d := range f.daemons {
		path := filepath.Join(f.dir, d.name+".json")
		if err := os.WriteFile(path, d.settings(template, store, seeds), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the processes of the daemons, with the command of the deploy file.
func (f *fleet) launch() error {
	for _, d := range f.daemons {
		output, err := os.Create(filepath.Join(f.dir, d.name+".log"))
		if err != nil {
			return err
		}
		d.process = exec.Command("target/dragonfly-entry")
		d.process.Env = append(os.Environ(), "DRAGONFLYRAIL_BOOT="+filepath.Join(f.dir, d.name+".json"))
		d.process.Stdout, d.process.Stderr = output, output
		d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = d.process.Start()
		_ = output.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// killDaemons ends all daemons with SIGKILL.
func (f *fleet) killDaemons() {
	for _, d := range f.daemons {
		if d.process != nil && d.process.Process != nil {
			// Both fail only for a process that has ended.
			_ = d.process.Process.Kill()
			_ = d.process.Wait()
		}
	}
	f.record.add("all daemons are killed")
}

// sections are the template's sections, all of which have a value.
var sections = regexp.MustCompile(`\{\{[#/][^{}]+\}\}`)

// settings fills in the template.
func (d *daemon) settings(template []byte, store string, seeds []string) []byte {
	port := func(address string) string { return address[strings.LastIndex(address, ":")+1:] }
	out := sections.ReplaceAll(template, nil)
	for name, value := range map[string]any{
		"node_name": d.name, "ip": ownAddress, "zone": zone, "listen.frontend": d.callers, "listen.control": d.control,
		"port_range.0": port(d.admin), "port_range.1": port(d.metrics), "listen.directory": d.directory,
		"listen.readiness": d.readiness, "seeds": seeds, "provider.address": store, "heartbeat_ms": heartbeat.Milliseconds(),
		"bounds.grace_s": 8, "bounds.retry_budget_ratio": 0.2, "bounds.retry_slack": 54, "limits.cpu_share": 0.4,
		"limits.cores": 1, "limits.link_mbps": 1000, "limits.memory_mb": 134, "limits.max_fds": 4100,
	} {
		text, err := json.Marshal(value)
		if err != nil {
			// Strings, numbers and lists of strings can always be marshalled.
			panic(err)
		}
		out = bytes.ReplaceAll(out, []byte("{{"+name+"|json}}"), text)
		out = bytes.ReplaceAll(out, []byte("{{"+name+"}}"), bytes.Trim(text, `"`))
	}
	return out
}

// waitReady starts the daemons and waits until each is ready and names all of them.
func (f *fleet) waitReady(ctx context.Context) error {
	if err := f.launch(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for _, d := range f.daemons {
		for !d.ready(ctx) || len(d.resolve(ctx)) < daemonCount {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s isn't ready", d.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	f.record.add("all daemons are ready")
	return nil
}

func (d *daemon) ready(ctx context.Context) bool {
	res, err := get(ctx, "http://"+d.readiness+"/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// resolve asks the daemon where to connect.
func (d *daemon) resolve(ctx context.Context) []string {
	res, err := get(ctx, "http://"+d.directory+"/-/resolve?name="+hostName+"&region=bengal&zone="+zone)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(res.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}

func get(ctx context.Context, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

// stop ends all that the fleet started.
func (f *fleet) stop() {
	f.cancel()
	f.killDaemons()
	for _, h := range f.hosts {
		h.stop()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
