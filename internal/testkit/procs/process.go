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

// Spec says how to start a process.
type Spec struct {
	// Name is unique among a system's processes and names its log file.
	Name   string
	Binary string
	Args   []string
	// Dir holds the log file.
	Dir string
	// Detached keeps the process running when its starter ends.
	Detached bool
	// Output takes the standard output in place of the log file.
	Output *os.File
}

// Process is one started process.
type Process struct {
	Spec    Spec
	cmd     *exec.Cmd
	logPath string
	// logStart is where this run's lines begin in the log file.
	logStart int64
	exited   chan struct{}

	mu      sync.Mutex
	waitErr error
}

// Start starts a process; WaitReady tells when it serves.
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
		// Where the starter is killed, its children must not stay behind.
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
	p.waitErr = err
	p.mu.Unlock()
	close(p.exited)
}

// PID is the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited is closed when the process has ended.
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

// ExitCode is valid once the process has ended; -1 after a signal.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// logLine is what the harness reads of a log line.
type logLine struct {
	Event string `json:"event"`
}

// WaitReady waits for the log line that says that the process serves.
func (p *Process) WaitReady(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if p.logged("ready") {
			return nil
		}
		select {
		case <-tick.C:
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready:\n%s", p.Spec.Name, p.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s was not ready in time:\n%s", p.Spec.Name, p.Log())
		}
	}
}

func (p *Process) logged(event string) bool {
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

// Log returns what this run has written so far.
func (p *Process) Log() []byte {
	raw, err := os.ReadFile(p.logPath)
	if err != nil || int64(len(raw)) < p.logStart {
		return nil
	}
	return raw[p.logStart:]
}

// Signal sends a signal to the process, by its id.
func (p *Process) Signal(s os.Signal) error {
	if !p.Running() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	// It may have ended by itself meanwhile.
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate asks the process to stop.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Freeze suspends the process, as a long pause of its host would.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.waitStopped()
}

// Bounds of the wait for a signal to take effect.
const (
	stopPoll   = time.Millisecond
	stopWithin = 10 * time.Second
)

// waitStopped waits until the kernel has stopped the process: on a busy machine
// it still answers for a moment after the signal was sent.
func (p *Process) waitStopped() error {
	for began := time.Now(); time.Since(began) < stopWithin; time.Sleep(stopPoll) {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(threads, running) {
			return nil
		}
	}
	return fmt.Errorf("%s is not stopped", p.Spec.Name)
}

// running reports whether a thread is not stopped. One that has ended is.
func running(statPath string) bool {
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

// Stop asks the process to stop and kills it after the patience.
func (p *Process) Stop(patience time.Duration) {
	if p.Terminate() != nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.Kill()
	}
}
