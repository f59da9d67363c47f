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
	t      *testing.T
	caller *testfleet.Caller
	mu     sync.Mutex
	asked  int
}

// startFleet starts entry daemons on the stand-ins of the users' platform. All
// are killed with the test; where that failed, the daemons' logs are printed.
func startFleet(t *testing.T, change func(*testfleet.Layout)) *fleetTest {
	t.Helper()
	l := testfleet.SmallLayout(procs.BinDir(), "..", t.TempDir())
	if change != nil {
		change(&l)
	}
	f, err := testfleet.Launch(bounded(t), l)
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

// request is a request with an id of its own.
func (f *fleetTest) request(kind testfleet.Kind, events int) *testfleet.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return &testfleet.Request{ID: fmt.Sprintf("attempt-%d", f.asked), Kind: kind, Events: events}
}

// serves waits until a daemon gives a whole answer to a request of each kind.
func (f *fleetTest) serves(d *testfleet.Daemon) {
	f.t.Helper()
	for _, kind := range []testfleet.Kind{testfleet.Repeatable, testfleet.Once, testfleet.Generation} {
		procs.Until(f.t, fmt.Sprint(d.ID, " serves ", kind), func() bool {
			r := f.request(kind, 3)
			return f.caller.Ask(bounded(f.t), d.Callers, r).Whole(r)
		})
	}
}

// open starts a generation and waits until its first event has come.
func (f *fleetTest) open(d *testfleet.Daemon, events int) *opened {
	f.t.Helper()
	o := &opened{request: f.request(testfleet.Generation, events), done: make(chan struct{})}
	begun := make(chan struct{})
	var once sync.Once
	o.request.OnEvent = func(int) { once.Do(func() { close(begun) }) }
	ctx := bounded(f.t)
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

// opened is a generation under way.
type opened struct {
	request *testfleet.Request
	done    chan struct{}
	answer  *testfleet.Answer
}

func (o *opened) mustBeWhole(t *testing.T) {
	t.Helper()
	<-o.done
	if !o.answer.Whole(o.request) {
		t.Fatalf("%s: %d %v after %d bytes", o.request.ID, o.answer.Status, o.answer.Err, len(o.answer.Body))
	}
}

// An operator asks why of a request by the id that its caller chose, and which
// configuration is in force, at a daemon that has nothing to do with it.
func TestEntryServesAndExplains(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	f.serves(f.Daemons[0])
	r := f.request(testfleet.Generation, 5)
	if a := f.caller.Ask(bounded(t), f.Daemons[0].Callers, r); !a.Whole(r) {
		t.Fatalf("%d %v %q", a.Status, a.Err, a.Body)
	}
	f.tells(f.Daemons[0].ID, "why", "request", r.ID)
	f.tells("runner-", "why", "request", r.ID)
	f.tells("heard of", "why", "endpoint", f.Runners()[0].ID)
	for _, d := range f.Daemons {
		f.tells(d.ID, "in-force")
		f.tells(d.ID, "why", "configuration", "route-tables/main")
	}
}

// tells has the command line ask a daemon, and wants a text in its answer.
func (f *fleetTest) tells(want string, args ...string) {
	f.t.Helper()
	out, err := f.Ctl(bounded(f.t), f.Daemons[1], args...)
	if err != nil || !strings.Contains(string(out), want) {
		f.t.Fatalf("%v: want %q, got %v:\n%s", args, want, err, out)
	}
}

// A daemon is asked to stop while it streams and is asked for more. What is
// open is finished, what still comes is answered, the others name it no more,
// and it ends by itself within the grace.
func TestEntryStopCutsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Grace = 10 * time.Second })
	leaving, other := f.Daemons[0], f.Daemons[1]
	const events = 200
	var streams []*opened
	for range 4 {
		streams = append(streams, f.open(leaving, events))
	}
	if err := leaving.Terminate(); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "the other daemon names it no more", func() bool {
		for _, address := range f.Resolve(bounded(t), other) {
			if address == leaving.Callers {
				return false
			}
		}
		return true
	})
	late := f.request(testfleet.Repeatable, 0)
	if a := f.caller.Ask(bounded(t), leaving.Callers, late); !a.Whole(late) {
		t.Fatalf("a call that came after the order to stop: %d %v", a.Status, a.Err)
	}
	for _, s := range streams {
		s.mustBeWhole(t)
	}
	f.caller.Close()
	<-leaving.Exited()
	if leaving.ExitCode() != 0 {
		t.Fatalf("exit code %d", leaving.ExitCode())
	}
}

// The settings file changes, with the signal and then without. The daemon
// serves on as the same process, and its log tells of both reloads.
func TestEntryReloadsItsSettings(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	d := f.Daemons[0]
	stream := f.open(d, 200)
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
	stream.mustBeWhole(t)
	f.serves(d)
}

// One daemon and one runner are killed at once. A stream of the daemon breaks
// visibly, the other daemons serve on, and the daemon serves again as soon as
// it is back.
func TestEntryKillOfADaemonAndARunner(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	killed := f.Daemons[0]
	stream := f.open(killed, 2000)
	killed.Kill()
	f.Runners()[0].Kill()
	<-stream.done
	if stream.answer.Err == nil {
		t.Fatalf("a stream cut after %d bytes passed for whole", len(stream.answer.Body))
	}
	for _, d := range f.Daemons[1:] {
		f.serves(d)
	}
	if err := f.StartDaemon(killed); err != nil {
		t.Fatal(err)
	}
	f.serves(killed)
}

// The store falls silent. Daemons serve on with what they know; one that is
// killed and starts while the store is away learns routes and runners from its
// peers, and refuses before that without a word on routes or keys.
func TestEntryStartsWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	if err := f.SetStoreFaults(bounded(t), standin.StoreFaults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	killed := f.Daemons[2]
	killed.Kill()
	if err := f.StartDaemon(killed); err != nil {
		t.Fatal(err)
	}
	procs.Until(t, "it serves, and says nothing untrue before", func() bool {
		r := f.request(testfleet.Repeatable, 0)
		a := f.caller.Ask(bounded(t), killed.Callers, r)
		if a.Err == nil && a.Status >= 400 && a.Status < 500 {
			t.Fatalf("%d from a daemon that knows nothing yet", a.Status)
		}
		return a.Whole(r)
	})
	for _, d := range f.Daemons {
		f.serves(d)
	}
}

// Nobody reads a daemon's standard output, so that its pipe is full. Requests
// are served as if it were read.
func TestEntryServesWithItsOutputBlocked(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Work = 0 })
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
	f.serves(d)
	// More lines than the pipe and the daemon's buffer hold.
	const many = 3000
	ctx, cancel := context.WithTimeout(context.Background(), procs.Deadline)
	defer cancel()
	for range many {
		r := f.request(testfleet.Repeatable, 0)
		if a := f.caller.Ask(ctx, d.Callers, r); !a.Whole(r) {
			t.Fatalf("%s: %d %v", r.ID, a.Status, a.Err)
		}
	}
}

// Runners leave one after another, each with streams on it, some without a
// word but the end of their entry. Every stream is whole: it goes on elsewhere
// without an event lost or repeated.
func TestEntryStreamsOutliveTheirRunners(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	const events = 900
	var streams []*opened
	for i := range 8 {
		streams = append(streams, f.open(f.Daemons[i%len(f.Daemons)], events))
	}
	for _, r := range f.Runners()[:3] {
		if err := r.Terminate(); err != nil {
			t.Fatal(err)
		}
		<-r.Exited()
	}
	for _, s := range streams {
		s.mustBeWhole(t)
	}
}

// deadNamedFor bounds the time for which a daemon that was killed is still named.
const deadNamedFor = 6 * time.Second

// Guards against directories that send callers to a daemon that was killed.
func TestKilledDaemonIsNamedNoMore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	dead, others := f.Daemons[0], f.Daemons[1:]
	dead.Kill()
	bound := time.Now().Add(deadNamedFor)
	for _, d := range others {
		procs.Until(t, d.ID+" names it no more", func() bool {
			named := f.Resolve(bounded(t), d)
			return len(named) > 0 && !slices.Contains(named, dead.Callers)
		})
	}
	if late := time.Since(bound); late > 0 {
		t.Errorf("it was named for %v longer than %v", late, deadNamedFor)
	}
	if err := f.StartDaemon(dead); err != nil {
		t.Fatal(err)
	}
	for _, d := range others {
		procs.Until(t, d.ID+" names it again", func() bool {
			return slices.Contains(f.Resolve(bounded(t), d), dead.Callers)
		})
	}
}
