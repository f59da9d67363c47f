package test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// startResumableFleet starts a fleet whose streams may be continued by new runs, if
// resumable is set, and may be sent to two runners.
func startResumableFleet(t *testing.T, resumable bool) *fleetTest {
	t.Helper()
	f := startFleet(t, nil)
	change := func(c standin.Fields) {
		standin.WithResumableStreams()(c)
		for _, r := range c["routes"].([]any) {
			if route := r.(standin.Fields); route["kind"] == "streaming" {
				route["resumable"] = resumable
			}
		}
	}
	if err := f.Configure(testContext(t), 2, change); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons {
		procs.Until(t, "the configuration is in force", func() bool {
			return bytes.Contains(d.Log(), []byte(`"configuration_version":2`))
		})
	}
	return f
}

// runnerOf returns the last runner at which a request began to run.
func (f *fleetTest) runnerOf(r *testfleet.Request, except *testfleet.Runner) *testfleet.Runner {
	f.t.Helper()
	var found *testfleet.Runner
	procs.Until(f.t, "a runner logs the request", func() bool {
		for _, runner := range f.Runners() {
			if runner != except && bytes.Contains(runner.Log(), []byte(`"request_id":"`+r.ID+`"`)) {
				found = runner
			}
		}
		return found != nil
	})
	return found
}

// Guards against streams that are lost with their runner although their route is
// resumable: the runner is killed, and another one continues in the same answer.
func TestStreamOutlivesKilledRunner(t *testing.T) {
	t.Parallel()
	f := startResumableFleet(t, true)
	o := f.startGeneration(f.Daemons[0], 300)
	f.runnerOf(o.request, nil).Kill()
	o.mustComplete(t)
	f.checkCtlOutput("continued without a copy after event", "why", "request", o.request.ID)
}

// Guards against a stream that is continued more often than max_attempts allows, and
// against one that looks whole although it isn't: both its runners are killed.
func TestStreamEndsIncompleteWithSecondRunner(t *testing.T) {
	t.Parallel()
	f := startResumableFleet(t, true)
	o := f.startGeneration(f.Daemons[0], 600)
	first := f.runnerOf(o.request, nil)
	first.Kill()
	f.runnerOf(o.request, first).Kill()
	f.checkIncomplete(o)
	f.checkCtlOutput("max_attempts are used", "why", "request", o.request.ID)
}

// Guards against second runs on routes that aren't resumable.
func TestStreamOfOtherRouteEndsWithItsRunner(t *testing.T) {
	t.Parallel()
	f := startResumableFleet(t, false)
	o := f.startGeneration(f.Daemons[0], 300)
	first := f.runnerOf(o.request, nil)
	first.Kill()
	f.checkIncomplete(o)
	for _, r := range f.Runners() {
		if r != first && bytes.Contains(r.Log(), []byte(`"request_id":"`+o.request.ID+`"`)) {
			t.Errorf("the request ran at %s and %s", first.ID, r.ID)
		}
	}
}

// checkIncomplete checks that the caller has a prefix of the stream and sees that more is
// missing.
func (f *fleetTest) checkIncomplete(o *generation) {
	f.t.Helper()
	<-o.done
	all := standin.AllEvents(o.request.ID, o.request.Events)
	if o.answer.Err == nil || len(o.answer.Body) == len(all) || !strings.HasPrefix(all, o.answer.Body) {
		f.t.Errorf("status %d, %v after %d of %d bytes", o.answer.Status, o.answer.Err, len(o.answer.Body), len(all))
	}
}

// Guards against a stream that is lost with the daemon that relays it: the caller comes
// back to another daemon and gets the rest.
func TestReturningCallerGetsTheRest(t *testing.T) {
	t.Parallel()
	f := startResumableFleet(t, true)
	o := f.startGeneration(f.Daemons[0], 300)
	f.Daemons[0].Kill()
	<-o.done
	whole := o.answer.Body[:strings.LastIndex(o.answer.Body, "\n\n")+2]
	rest := &testfleet.Request{ID: o.request.ID, Kind: testfleet.Generation, Events: 300, Has: strings.Count(whole, "\n\n")}
	a := f.caller.Ask(testContext(t), f.Daemons[1].Callers, rest)
	if !a.Whole(rest) || whole+a.Body != standin.AllEvents(rest.ID, 300) {
		t.Errorf("after event %d: status %d, %v, %d bytes", rest.Has, a.Status, a.Err, len(a.Body))
	}
}
