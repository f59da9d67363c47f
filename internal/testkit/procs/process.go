package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const pollInterval = 5 * time.Millisecond

// Spec describes a process to start.
type Spec struct {
	// Name is unique among a system's processes and is the base name of the log
	// file.
	Name   string
	Binary string
	Args   []string
	// Dir is the directory of the log file.
	Dir string
	// Detached keeps the process running when its parent ends.
	Detached bool
	// Output, if not nil, receives the standard output in place of the log file.
	Output *os.File
}

// Process is a process started by Start.
type Process struct {
	Spec    Spec
	cmd     *exec.Cmd
	logPath string
	// logStart is the size of the log file before the process was started.
	logStart int64
	exited   chan struct{}

	mu      sync.Mutex
	waitErr error
	endedAt time.Time
}

// Start starts a process without waiting until it serves; see WaitReady.
func Start(spec Spec) (*Process, error) {
	p := &Process{
		Spec:    spec,
		logPath: filepath.Join(spec.Dir, spec.Name+".log"),
		exited:  make(chan struct{}),
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if info, err := log.Stat(); err == nil {
		p.logStart = info.Size()
	}
	p.cmd = exec.Command(spec.Binary, spec.Args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if spec.Output != nil {
		p.cmd.Stdout = spec.Output
	}
	if spec.Detached {
		p.cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	} else {
		// The kernel kills the process when its parent dies, even by SIGKILL.
		p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", spec.Name, err)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.waitErr, p.endedAt = err, time.Now()
	p.mu.Unlock()
	close(p.exited)
}

// EndedAt returns when the process ended, zero if it runs.
func (p *Process) EndedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endedAt
}

// PID is the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code, or -1 if a signal ended the process. Call it
// only after the process has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// logLine holds the fields of a log line that the harness reads.
type logLine struct {
	Event string `json:"event"`
}

// WaitReady waits until the process has logged the event "ready".
func (p *Process) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if p.hasLogged("ready") {
			return nil
		}
		select {
		case <-tick.C:
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready:\n%s", p.Spec.Name, p.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s was not ready before the deadline:\n%s", p.Spec.Name, p.Log())
		}
	}
}

func (p *Process) hasLogged(event string) bool {
	lines := bufio.NewScanner(bytes.NewReader(p.Log()))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == event {
			return true
		}
	}
	return false
}

// Log returns what this process has written to the log file so far.
func (p *Process) Log() []byte {
	raw, err := os.ReadFile(p.logPath)
	if err != nil || int64(len(raw)) < p.logStart {
		return nil
	}
	return raw[p.logStart:]
}

// Signal sends a signal to the process, or returns os.ErrProcessDone.
func (p *Process) Signal(s os.Signal) error {
	if !p.Running() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	// The signal fails if the process has already ended.
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Freeze suspends the process and waits until the kernel has stopped it. This
// simulates a long pause of its host.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.waitStopped()
}

// Poll interval and timeout of the wait for a suspended process to stop.
const (
	freezePoll    = time.Millisecond
	freezeTimeout = 10 * time.Second
)

// waitStopped waits until the kernel has stopped all threads of the process. On
// a busy machine they can keep running for a moment after the signal was sent.
func (p *Process) waitStopped() error {
	for began := time.Now(); time.Since(began) < freezeTimeout; time.Sleep(freezePoll) {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(threads, threadRunning) {
			return nil
		}
	}
	return fmt.Errorf("%s still ran after a stop signal", p.Spec.Name)
}

// threadRunning reports whether a thread is not stopped. A thread that has ended
// counts as stopped.
func threadRunning(statPath string) bool {
	raw, err := os.ReadFile(statPath)
	if err != nil {
		return false
	}
	// The state follows the name in parentheses, which may hold spaces.
	_, rest, found := strings.Cut(string(raw), ") ")
	return found && !strings.HasPrefix(rest, "T")
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM, and SIGKILL if the process has not ended by the timeout.
func (p *Process) Stop(timeout time.Duration) {
	if p.Terminate() != nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(timeout):
		p.Kill()
	}
}
