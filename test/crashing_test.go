package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// Limits on the runs of a request that crashes runners.
const (
	crashesToQuarantine = 3
	// quarantinedWithin is the maximum time from the last of these crashes
	// until all daemons refuse the request.
	quarantinedWithin = 3 * time.Second
	maxExtraRuns      = 3
)

// Guards against a generation that crashes one runner after another, whichever
// daemon receives it.
func TestGenerationThatCrashesRunnersIsQuarantined(t *testing.T) {
	t.Parallel()
	testCrashingRequest(t, testfleet.Generation)
}

// Guards against the same for a repeatable call, which the system itself
// retries.
func TestCallThatCrashesEndpointsIsQuarantined(t *testing.T) {
	t.Parallel()
	testCrashingRequest(t, testfleet.Repeatable)
}

// Guards against the same where a crashed endpoint is back under its id before anybody has checked it.
func TestCallThatCrashesEndpointsThatRestartAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Plain = 6 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.RespawnInPlace(ctx, restartAfter) })
	harmless := f.startRepeating(ctx, &background, testfleet.Once)
	f.sendCrashingRequests(testfleet.Once, 40)
	f.checkQuarantined(t)
	harmless.checkServed(t)
	stop()
	background.Wait()
}

func testCrashingRequest(t *testing.T, kind testfleet.Kind) {
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines, l.Plain = 6, 6 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	harmless := f.startRepeating(ctx, &background, kind)
	f.sendCrashingRequests(kind, 30)
	f.checkQuarantined(t)
	harmless.checkServed(t)
	stop()
	background.Wait()
}

// Guards against losing the quarantine of a request when all daemons are
// killed.
func TestQuarantineSurvivesRestartOfAllDaemons(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines = 6 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	f.crashUntilQuarantined(testfleet.Generation)
	f.checkRefusalExplained(t)
	f.restartDaemons()
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" quarantines the request", func() bool {
			return bytes.Contains(d.Log(), []byte(`"verdict":"quarantine"`))
		})
	}
	before := len(f.runsOf(crashingPrefix))
	f.sendCrashingRequests(testfleet.Generation, 3)
	if after := len(f.runsOf(crashingPrefix)); after != before {
		t.Errorf("the request ran %d more times after the restart", after-before)
	}
	stop()
	background.Wait()
}

// Guards against losing the quarantine of a part when all daemons are killed, and against an operator who can neither see it nor release it.
func TestQuarantinedPartSurvivesRestartAndIsReleased(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines = 6 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	n := 0
	send := func() *testfleet.Answer {
		n++
		id := fmt.Sprint(crashingPrefix, n)
		return f.caller.Ask(testContext(t), f.Daemons[n%len(f.Daemons)].Callers, &testfleet.Request{
			ID: id, Kind: testfleet.Generation, Events: 3, Path: "/stream/" + id, Prefix: partsOf(id, standin.CrashPart),
		})
	}
	procs.Until(t, "the store has the quarantined part", func() bool {
		_ = send()
		time.Sleep(200 * time.Millisecond)
		return bytes.Contains(f.quarantineRecord(), []byte(`"part": "`+standin.CrashPart+`"`))
	})
	f.restartDaemons()
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" quarantines the part", func() bool { return bytes.Contains(d.Log(), []byte(`"verdict":"quarantine"`)) })
	}
	before := len(f.runsOf(crashingPrefix))
	if a := send(); !a.NotRun || a.RetryAfter <= 0 {
		t.Fatalf("after the restart: %d, %v", a.Status, a.Err)
	}
	f.checkCtlOutput("with the part", "why", "request", fmt.Sprint(crashingPrefix, n))
	file := filepath.Join(t.TempDir(), "release.json")
	released := bytes.ReplaceAll(f.quarantineRecord(), []byte(`"part":`), []byte(`"released": true, "part":`))
	if err := os.WriteFile(file, released, 0o644); err != nil {
		t.Fatal(err)
	}
	f.checkCtlOutput("request-quarantines", "apply", "--file", file)
	procs.Until(t, "the part is sent again", func() bool {
		_ = send()
		return len(f.runsOf(crashingPrefix)) > before
	})
	stop()
	background.Wait()
}

// checkRefusalExplained checks that an operator can find the fingerprint of a
// refused request by its id, and the crashed endpoints by the fingerprint.
func (f *fleetTest) checkRefusalExplained(t *testing.T) {
	t.Helper()
	r := &testfleet.Request{ID: "refused", Kind: testfleet.Generation, Events: 3, Path: "/stream/fatal", Body: standin.CrashMark}
	if a := f.caller.Ask(testContext(t), f.Daemons[0].Callers, r); !a.NotRun || a.RetryAfter <= 0 {
		t.Fatalf("%d, Retry-After %v, %v", a.Status, a.RetryAfter, a.Err)
	}
	out, err := f.Ctl(testContext(t), f.Daemons[0], "--output", "json", "why", "request", r.ID)
	if err != nil {
		t.Fatal(err)
	}
	var explanation struct {
		Decisions []struct {
			Reason      string `json:"reason"`
			Fingerprint string `json:"fingerprint"`
		} `json:"decisions"`
	}
	if err := json.Unmarshal(out, &explanation); err != nil || len(explanation.Decisions) == 0 {
		t.Fatalf("%v:\n%s", err, out)
	}
	last := explanation.Decisions[len(explanation.Decisions)-1]
	if !strings.HasPrefix(last.Reason, "crashes_endpoints") || last.Fingerprint == "" {
		t.Fatalf("request was refused with reason %q, fingerprint %q", last.Reason, last.Fingerprint)
	}
	f.checkCtlOutput("suspect", "why", "fingerprint", last.Fingerprint)
	f.checkCtlOutput("quarantine", "why", "fingerprint", last.Fingerprint)
}

// Guards against a release that has no effect, and against one that exempts a
// request from quarantine forever.
func TestOperatorReleasesQuarantinedRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines = 6 })
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	quarantineDocument := f.crashUntilQuarantined(testfleet.Generation)
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" quarantines the request", func() bool { return bytes.Contains(d.Log(), []byte(`"verdict":"quarantine"`)) })
	}
	before := len(f.runsOf(crashingPrefix))
	file := filepath.Join(t.TempDir(), "release.json")
	released := bytes.Replace(quarantineDocument, []byte(`"fingerprint"`), []byte(`"released": true, "fingerprint"`), 1)
	if err := os.WriteFile(file, released, 0o644); err != nil {
		t.Fatal(err)
	}
	f.checkCtlOutput("request-quarantines", "apply", "--file", file)
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" has released the request", func() bool { return bytes.Contains(d.Log(), []byte(`"verdict":"release"`)) })
	}
	runsAfterRelease := func() int { return len(f.runsOf(crashingPrefix)) - before }
	procs.Until(t, "the request has run often enough for a new quarantine", func() bool {
		f.sendCrashingRequests(testfleet.Generation, len(f.Daemons))
		return runsAfterRelease() >= crashesToQuarantine
	})
	f.sendCrashingRequests(testfleet.Generation, 8)
	if runs := runsAfterRelease(); runs > crashesToQuarantine+maxExtraRuns {
		t.Errorf("the request ran %d times after its release", runs)
	}
	stop()
	background.Wait()
}

// crashingPrefix begins the ids of requests that crash runners.
const crashingPrefix = "crashing-"

// crashUntilQuarantined sends the crashing request until the store has its
// quarantine with all crashes so far, and returns the quarantine's record. Requests
// that reach a crashed runner before it is back don't run, so their number varies.
func (f *fleetTest) crashUntilQuarantined(kind testfleet.Kind) (document []byte) {
	f.t.Helper()
	procs.Until(f.t, "the store has the quarantined request", func() bool {
		f.sendCrashingRequests(kind, len(f.Daemons))
		document = f.quarantineRecord()
		return countCrashes(document) > 0
	})
	procs.Until(f.t, "the store has all crashes", func() bool {
		document = f.quarantineRecord()
		return countCrashes(document) == len(f.runsOf(crashingPrefix))
	})
	return document
}

// quarantineRecord returns the record of quarantined requests, empty if there is
// none.
func (f *fleetTest) quarantineRecord() []byte {
	f.t.Helper()
	out, err := f.Ctl(testContext(f.t), f.Daemons[0], "--output", "json", "get", "request-quarantine", "main")
	if err != nil {
		return nil
	}
	return out
}

// countCrashes returns the number of crashes in the record of quarantined requests.
func countCrashes(quarantineRecord []byte) int {
	var r struct {
		Spec record.RequestQuarantine `json:"spec"`
	}
	n := 0
	if json.Unmarshal(quarantineRecord, &r) == nil {
		for _, q := range r.Spec.Requests {
			n += len(q.Crashes)
		}
	}
	return n
}

// sendCrashingRequests sends the same crashing request to the daemons in turn.
func (f *fleetTest) sendCrashingRequests(kind testfleet.Kind, times int) {
	f.t.Helper()
	const pause = 200 * time.Millisecond
	for i := range times {
		r := &testfleet.Request{
			ID: fmt.Sprint(crashingPrefix, i), Kind: kind, Events: 3,
			Path: string(kind) + "fatal", Body: standin.CrashMark,
		}
		a := f.caller.Ask(testContext(f.t), f.Daemons[i%len(f.Daemons)].Callers, r)
		if a.Err == nil && a.Status == 200 {
			f.t.Fatalf("crashing request %s was answered with status 200", r.ID)
		}
		time.Sleep(pause)
	}
}

// checkQuarantined checks that the crashing request ran often enough to be
// quarantined, and hardly ever after that.
func (f *fleetTest) checkQuarantined(t *testing.T) {
	t.Helper()
	runs := f.runsOf(crashingPrefix)
	if len(runs) < crashesToQuarantine {
		t.Fatalf("the crashing request ran only %d times, too few for a quarantine", len(runs))
	}
	deadline := runs[crashesToQuarantine-1].Add(quarantinedWithin)
	lateRuns := 0
	for _, at := range runs {
		if at.After(deadline) {
			lateRuns++
		}
	}
	if lateRuns > maxExtraRuns {
		t.Errorf("the crashing request ran %d times, %d of them more than %v after the third", len(runs), lateRuns, quarantinedWithin)
	}
}

// runsOf returns the sorted start times of runs whose request id has the
// prefix.
func (f *fleetTest) runsOf(prefix string) []time.Time {
	return f.timesInRunnerLogs(func(event, requestID string) bool { return event == "run" && strings.HasPrefix(requestID, prefix) })
}

// crashes returns the sorted times at which requests crashed runners.
func (f *fleetTest) crashes() []time.Time {
	return f.timesInRunnerLogs(func(event, _ string) bool { return event == "crash" })
}

// timesInRunnerLogs returns the sorted times of the matching lines of all runners' logs.
func (f *fleetTest) timesInRunnerLogs(matches func(event, requestID string) bool) []time.Time {
	var out []time.Time
	// A restarted runner appends to the log of its former start.
	read := map[string]bool{}
	for _, r := range f.Runners() {
		if read[r.ID] {
			continue
		}
		read[r.ID] = true
		lines := bufio.NewScanner(bytes.NewReader(r.Log()))
		for lines.Scan() {
			var line struct {
				Event     string `json:"event"`
				RequestID string `json:"request_id"`
				Millis    int64  `json:"unix_ms"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && matches(line.Event, line.RequestID) {
				out = append(out, time.UnixMilli(line.Millis))
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// repeatedRequest is a small harmless request that callers send repeatedly.
type repeatedRequest struct {
	f    *fleetTest
	kind testfleet.Kind
}

// startRepeating starts four callers that send the request until the context
// ends.
func (f *fleetTest) startRepeating(ctx context.Context, background *sync.WaitGroup, kind testfleet.Kind) *repeatedRequest {
	s := &repeatedRequest{f: f, kind: kind}
	const callers = 4
	for i := range callers {
		background.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				s.send(ctx, n)
			}
		})
	}
	return s
}

func (s *repeatedRequest) send(ctx context.Context, n int) bool {
	r := s.f.request(s.kind, 1)
	r.Path, r.Body = string(s.kind)+"small", "small"
	return s.f.caller.Ask(ctx, s.f.Daemons[n%len(s.f.Daemons)].Callers, r).Whole(r)
}

// checkServed checks that the request is always served after the crashes, so
// that it has not been quarantined with the crashing one.
func (s *repeatedRequest) checkServed(t *testing.T) {
	t.Helper()
	const attempts = 30
	ctx := testContext(t)
	for n := range attempts {
		if !s.send(ctx, n) {
			t.Errorf("request %d of %d at %s was not served", n, attempts, s.f.Daemons[n%len(s.f.Daemons)].ID)
		}
	}
}

// Guards against a prompt that crashes one engine after another in a system of
// routers and keepers.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	crashes := 0
	const times = 6
	for i := range times {
		router := s.Routers[i%len(s.Routers)]
		// The result is irrelevant: the exits of the engines are counted below.
		_, _ = c.Stream(testContext(t), []string{router.Address}, caller.Completion{
			Model: procs.DemoModel, Prompt: engine.CrashMark,
		})
		for _, e := range s.Engines {
			select {
			case <-e.Exited():
				crashes++
				if err := s.Restart(testContext(t), e); err != nil {
					t.Fatal(err)
				}
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	if crashes < crashesToQuarantine || crashes > crashesToQuarantine+maxExtraRuns {
		t.Errorf("%d engines crashed", crashes)
	}
	for _, router := range s.Routers {
		answer, err := c.Stream(testContext(t), []string{router.Address}, caller.Completion{
			Model: procs.DemoModel, Prompt: engine.CrashMark,
		})
		if err != nil || answer.Problem == nil || answer.Problem.Reason != "crashes_endpoints" || answer.Problem.Outcome != problem.OutcomeNotRun {
			t.Errorf("%s: %+v, %v", router.ID, answer, err)
		}
		waitServing(t, s, router)
	}
}
