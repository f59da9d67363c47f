package test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// fleetTest is a fleet of entry daemons and a caller.
type fleetTest struct {
	*testfleet.Fleet
	t            *testing.T
	caller       *testfleet.Caller
	mu           sync.Mutex
	requestCount int
}

// startFleet starts entry daemons with the stand-ins of the platform. All
// processes are killed when the test ends; if it failed, the ends of the daemon
// logs are printed.
func startFleet(t *testing.T, change func(*testfleet.Layout)) *fleetTest {
	t.Helper()
	l := testfleet.SmallLayout(procs.BinDir(), "..", procs.LogDir(t))
	if change != nil {
		change(&l)
	}
	f, err := testfleet.Launch(testContext(t), l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Kill()
		if t.Failed() {
			for _, d := range f.Daemons {
				log := d.Log()
				t.Logf("end of the log of %s:\n%s", d.ID, log[max(0, len(log)-4000):])
			}
		}
	})
	c := f.NewCaller()
	t.Cleanup(c.Close)
	return &fleetTest{Fleet: f, t: t, caller: c}
}

// request returns a new request with a unique id.
func (f *fleetTest) request(kind testfleet.Kind, events int) *testfleet.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCount++
	return &testfleet.Request{ID: fmt.Sprintf("attempt-%d", f.requestCount), Kind: kind, Events: events}
}

// waitServing waits until the daemon answers a request of each kind completely.
func (f *fleetTest) waitServing(d *testfleet.Daemon) {
	f.t.Helper()
	for _, kind := range []testfleet.Kind{testfleet.Repeatable, testfleet.Once, testfleet.Generation} {
		procs.Until(f.t, fmt.Sprint(d.ID, " serves ", kind), func() bool {
			r := f.request(kind, 3)
			return f.caller.Ask(testContext(f.t), d.Callers, r).Whole(r)
		})
	}
}

// restartDaemons kills all daemons and starts them again, and waits until each serves.
func (f *fleetTest) restartDaemons() {
	f.t.Helper()
	for _, d := range f.Daemons {
		d.Kill()
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, d := range f.Daemons {
		f.waitServing(d)
	}
}

// startGeneration starts a generation and waits for its first event or its end.
func (f *fleetTest) startGeneration(d *testfleet.Daemon, events int) *generation {
	f.t.Helper()
	o := &generation{request: f.request(testfleet.Generation, events), done: make(chan struct{})}
	begun := make(chan struct{})
	var once sync.Once
	o.request.OnEvent = func(int) { once.Do(func() { close(begun) }) }
	ctx := testContext(f.t)
	go func() {
		defer close(o.done)
		o.answer = f.caller.Ask(ctx, d.Callers, o.request)
	}()
	select {
	case <-begun:
	case <-o.done:
	}
	return o
}

// generation is a generation that may still be running. answer is set once done
// is closed.
type generation struct {
	request *testfleet.Request
	done    chan struct{}
	answer  *testfleet.Answer
}

func (o *generation) mustComplete(t *testing.T) {
	t.Helper()
	<-o.done
	if !o.answer.Whole(o.request) {
		t.Fatalf("%s: status %d, %v after %d bytes", o.request.ID, o.answer.Status, o.answer.Err, len(o.answer.Body))
	}
}

// Checks that dragonflyctl explains a request by the id that its caller chose,
// and the configuration in force, when it queries a daemon that did not handle
// the request.
func TestEntryServesAndExplains(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	f.waitServing(f.Daemons[0])
	r := f.request(testfleet.Generation, 5)
	if a := f.caller.Ask(testContext(t), f.Daemons[0].Callers, r); !a.Whole(r) {
		t.Fatalf("status %d, %v, body %q", a.Status, a.Err, a.Body)
	}
	f.checkCtlOutput(f.Daemons[0].ID, "why", "request", r.ID)
	f.checkCtlOutput("runner-", "why", "request", r.ID)
	f.checkCtlOutput("heard of", "why", "endpoint", f.Runners()[0].ID)
	for _, d := range f.Daemons {
		f.checkCtlOutput(d.ID, "in-force")
		f.checkCtlOutput(d.ID, "why", "configuration", "route-tables/main")
	}
}

// checkCtlOutput runs dragonflyctl against the second daemon and checks that
// the output contains want.
func (f *fleetTest) checkCtlOutput(want string, args ...string) {
	f.t.Helper()
	out, err := f.Ctl(testContext(f.t), f.Daemons[1], args...)
	if err != nil || !strings.Contains(string(out), want) {
		f.t.Fatalf("dragonflyctl %v: want %q in the output, got %v:\n%s", args, want, err, out)
	}
}

// Stops a daemon gracefully while it streams and receives new requests. Open
// streams must complete, new requests must be answered, the other daemons must
// no longer list it, and it must exit by itself with code 0 within the grace
// period.
func TestEntryGracefulStopCompletesRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Grace = 10 * time.Second })
	leaving, other := f.Daemons[0], f.Daemons[1]
	const events = 200
	var streams []*generation
	for range 4 {
		streams = append(streams, f.startGeneration(leaving, events))
	}
	if err := leaving.Terminate(); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the other daemon no longer lists the stopping one", func() bool {
		for _, address := range f.Resolve(testContext(t), other) {
			if address == leaving.Callers {
				return false
			}
		}
		return true
	})
	lateRequest := f.request(testfleet.Repeatable, 0)
	if a := f.caller.Ask(testContext(t), leaving.Callers, lateRequest); !a.Whole(lateRequest) {
		t.Fatalf("a call sent after the stop signal: status %d, %v", a.Status, a.Err)
	}
	for _, s := range streams {
		s.mustComplete(t)
	}
	f.caller.Close()
	<-leaving.Exited()
	if leaving.ExitCode() != 0 {
		t.Fatalf("exit code %d", leaving.ExitCode())
	}
}

// Changes the settings file, first with a SIGHUP and then without. A stream
// that is open throughout must complete, and the daemon must keep serving. The
// log must show the first reload.
func TestEntryReloadsSettings(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	d := f.Daemons[0]
	stream := f.startGeneration(d, 200)
	for _, level := range []string{"debug", "warn"} {
		if err := f.ChangeSettings(d, map[string]any{"log_level": level}); err != nil {
			t.Fatal(err)
		}
		if level == "debug" {
			if err := d.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			procs.Until(t, "the reload is in the log", func() bool { return strings.Contains(string(d.Log()), `"event":"reloaded"`) })
		}
	}
	stream.mustComplete(t)
	f.waitServing(d)
}

// Kills a daemon and a runner at the same time. The caller of a stream through
// the daemon must see an error, the other daemons must keep serving, and the
// killed daemon must serve again after its restart.
func TestEntryServesAfterKillOfDaemonAndRunner(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	killed := f.Daemons[0]
	stream := f.startGeneration(killed, 2000)
	killed.Kill()
	f.Runners()[0].Kill()
	<-stream.done
	if stream.answer.Err == nil {
		t.Fatalf("the stream of the killed daemon ended without an error after %d bytes", len(stream.answer.Body))
	}
	for _, d := range f.Daemons[1:] {
		f.waitServing(d)
	}
	if err := f.StartDaemon(killed); err != nil {
		t.Fatal(err)
	}
	f.waitServing(killed)
}

// Makes the store stop answering. Running daemons must serve with the data that
// they have. A daemon that restarts meanwhile must learn routes and runners
// from its peers, and until then must not answer with a client error about
// routes or keys.
func TestEntryStartsWhileStoreIsUnavailable(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	if err := f.SetStoreFaults(testContext(t), standin.StoreFaults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	killed := f.Daemons[2]
	killed.Kill()
	if err := f.StartDaemon(killed); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the restarted daemon serves", func() bool {
		r := f.request(testfleet.Repeatable, 0)
		a := f.caller.Ask(testContext(t), killed.Callers, r)
		if a.Err == nil && a.Status >= 400 && a.Status < 500 {
			t.Fatalf("status %d from a daemon that has no configuration yet", a.Status)
		}
		return a.Whole(r)
	})
	for _, d := range f.Daemons {
		f.waitServing(d)
	}
}

// Nothing reads the standard output of a daemon, so its pipe fills up. The
// daemon must serve requests all the same.
func TestEntryServesWithBlockedOutput(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.CallDuration = 0 })
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	d := f.Daemons[0]
	d.Kill()
	d.Output = writer
	if err := f.StartDaemon(d); err != nil {
		t.Fatal(err)
	}
	f.waitServing(d)
	// More lines than fit in the pipe and the log buffer of the daemon.
	const many = 3000
	ctx, cancel := context.WithTimeout(context.Background(), procs.Deadline)
	defer cancel()
	for range many {
		r := f.request(testfleet.Repeatable, 0)
		if a := f.caller.Ask(ctx, d.Callers, r); !a.Whole(r) {
			t.Fatalf("%s: status %d, %v", r.ID, a.Status, a.Err)
		}
	}
}

// Stops runners one after another while streams run on them. Every stream must
// continue on another runner without a lost or duplicate event.
func TestEntryStreamsContinueAfterRunnersStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	const events = 900
	var streams []*generation
	for i := range 8 {
		streams = append(streams, f.startGeneration(f.Daemons[i%len(f.Daemons)], events))
	}
	for _, r := range f.Runners()[:3] {
		if err := r.Terminate(); err != nil {
			t.Fatal(err)
		}
		<-r.Exited()
	}
	for _, s := range streams {
		s.mustComplete(t)
	}
}

// delistedWithin is the maximum time for which other daemons still list a
// killed daemon.
const delistedWithin = 6 * time.Second

// Guards against directories that send callers to a killed daemon.
func TestKilledDaemonIsRemovedFromDirectory(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	killed, others := f.Daemons[0], f.Daemons[1:]
	killed.Kill()
	deadline := time.Now().Add(delistedWithin)
	for _, d := range others {
		procs.Until(t, d.ID+" no longer lists the killed daemon", func() bool {
			listed := f.Resolve(testContext(t), d)
			return len(listed) > 0 && !slices.Contains(listed, killed.Callers)
		})
	}
	if excess := time.Since(deadline); excess > 0 {
		t.Errorf("the killed daemon was listed for %v longer than %v", excess, delistedWithin)
	}
	if err := f.StartDaemon(killed); err != nil {
		t.Fatal(err)
	}
	for _, d := range others {
		procs.Until(t, d.ID+" lists the restarted daemon", func() bool {
			return slices.Contains(f.Resolve(testContext(t), d), killed.Callers)
		})
	}
}
