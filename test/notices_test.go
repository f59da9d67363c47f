package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// Bounds of the platform on requests to runners that announce in their answers
// that they leave, or that ask a host for a pause.
const (
	leaveNoticeTimeout = 2 * time.Second
	pauseLatency       = 500 * time.Millisecond
	maxDuringPause     = 2
	// pauseLength is the pause that the runners ask for.
	pauseLength = 3 * time.Second
)

// Guards against requests to runners that announced their leaving and are still listed as ready.
func TestNoRequestsToRunnersThatAnnouncedLeaving(t *testing.T) {
	t.Parallel()
	f, load := startNoticeFleet(t)
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	load.start(ctx, &background, f)
	time.Sleep(time.Second)
	leaving := []*testfleet.Runner{f.runnersOf(standin.PlainService)[0], f.runnersOf(standin.EngineService)[0]}
	f.setRunnerFaults(leaving, standin.RunnerFaults{Leaving: true})
	time.Sleep(leaveNoticeTimeout + 3*time.Second)
	stop()
	background.Wait()
	load.checkServed(t)
	for _, r := range leaving {
		load.checkLeaving(t, r)
	}
}

// Guards against requests within the pause that a runner asked for, also if another daemon places them.
func TestNoRequestsToPausedRunners(t *testing.T) {
	t.Parallel()
	f, load := startNoticeFleet(t)
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	load.start(ctx, &background, f)
	time.Sleep(time.Second)
	paused := []*testfleet.Runner{f.runnersOf(standin.PlainService)[0], f.runnersOf(standin.EngineService)[0]}
	f.setRunnerFaults(paused, standin.RunnerFaults{PauseSeconds: pauseLength.Seconds()})
	time.Sleep(pauseLength + 2*time.Second)
	f.setRunnerFaults(paused, standin.RunnerFaults{})
	accepting := time.Now()
	for _, r := range paused {
		procs.Until(t, r.ID+" gets requests again", func() bool { return len(runTimes(r, accepting, time.Now())) > 0 })
	}
	stop()
	background.Wait()
	load.checkServed(t)
	for _, r := range paused {
		load.checkPauses(t, r)
	}
}

func startNoticeFleet(t *testing.T) (*fleetTest, *recordedLoad) {
	t.Helper()
	f := startFleet(t, func(l *testfleet.Layout) {
		l.Engines, l.Plain, l.CallDuration = 3, 3, 10*time.Millisecond
		// All requests that are open when a pause begins may be sent elsewhere.
		l.RetrySlack = 200
	})
	return f, &recordedLoad{requests: map[string]sentRequest{}}
}

func (f *fleetTest) setRunnerFaults(runners []*testfleet.Runner, faults standin.RunnerFaults) {
	f.t.Helper()
	for _, r := range runners {
		if err := f.SetRunnerFaults(testContext(f.t), r, faults); err != nil {
			f.t.Fatal(err)
		}
	}
}

// runnerLine is a line of a runner's log about a request.
type runnerLine struct {
	Event     string `json:"event"`
	RequestID string `json:"request_id"`
	Leaving   bool   `json:"leaving"`
	Millis    int64  `json:"unix_ms"`
}

func (l *runnerLine) time() time.Time { return time.UnixMilli(l.Millis) }

// runnerLog returns the lines about requests that the runner ran or refused.
func runnerLog(r *testfleet.Runner) []runnerLine {
	var out []runnerLine
	lines := bufio.NewScanner(bytes.NewReader(r.Log()))
	for lines.Scan() {
		var line runnerLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && (line.Event == "run" || line.Event == "refused") {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, func(a, b runnerLine) int { return int(a.Millis - b.Millis) })
	return out
}

// sentRequest is a request of a recordedLoad.
type sentRequest struct {
	daemon      string
	sent, ended time.Time
	answer      *testfleet.Answer
	whole       bool
}

// recordedLoad holds the requests of a load by their ids. It may be read once
// the load has ended.
type recordedLoad struct {
	mu       sync.Mutex
	requests map[string]sentRequest
}

// start sends about a hundred requests per second, calls and generations in
// turn, to daemons that their ids select until the context ends.
func (l *recordedLoad) start(ctx context.Context, background *sync.WaitGroup, f *fleetTest) {
	kinds := []testfleet.Kind{testfleet.Repeatable, testfleet.Generation}
	tick := time.NewTicker(10 * time.Millisecond)
	background.Go(func() {
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			background.Go(func() { l.send(f, kinds[n%len(kinds)]) })
		}
	})
}

func (l *recordedLoad) send(f *fleetTest, kind testfleet.Kind) {
	r := f.request(kind, 3)
	d := f.Daemons[fnv32(r.ID)%uint32(len(f.Daemons))]
	// Each prompt has a unique prefix, so that no runner is preferred for its
	// cache.
	r.Prefix = strconv.FormatUint(uint64(fnv32(r.ID)), 16) + ":1000"
	sent := sentRequest{daemon: d.ID, sent: time.Now()}
	sent.answer = f.caller.Ask(context.Background(), d.Callers, r)
	sent.ended, sent.whole = time.Now(), sent.answer.Whole(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = sent
}

// checkServed checks that each caller was served, since two of three runners
// accept requests.
func (l *recordedLoad) checkServed(t *testing.T) {
	t.Helper()
	unserved := 0
	for id, r := range l.requests {
		if !r.whole {
			unserved++
			t.Logf("%s: status %d, %v", id, r.answer.Status, r.answer.Err)
		}
	}
	if unserved > 0 {
		t.Errorf("%d of %d requests were not served while two of three runners were idle", unserved, len(l.requests))
	}
}

// checkLeaving checks that no daemon sent requests to the runner too long after
// it had forwarded an answer that announced the leaving.
func (l *recordedLoad) checkLeaving(t *testing.T, leaving *testfleet.Runner) {
	t.Helper()
	lines, forwardedAt, late := runnerLog(leaving), map[string]time.Time{}, 0
	for _, line := range lines {
		r, ok := l.requests[line.RequestID]
		if first, forwarded := forwardedAt[r.daemon]; ok && line.Leaving && (!forwarded || r.ended.Before(first)) {
			forwardedAt[r.daemon] = r.ended
		}
	}
	for _, line := range lines {
		r, ok := l.requests[line.RequestID]
		if first, forwarded := forwardedAt[r.daemon]; ok && forwarded && r.sent.Sub(first) > leaveNoticeTimeout {
			late++
		}
	}
	if late > 0 || len(forwardedAt) == 0 {
		t.Errorf("%d requests were sent to %s more than %v after %d daemons had forwarded its announcement",
			late, leaving.ID, leaveNoticeTimeout, len(forwardedAt))
	}
}

// checkPauses checks that no daemon sent more than maxDuringPause requests to the
// runner within a pause that it was asked for.
func (l *recordedLoad) checkPauses(t *testing.T, paused *testfleet.Runner) {
	t.Helper()
	lines, most, refusals := runnerLog(paused), 0, 0
	for i, line := range lines {
		if line.Event != "refused" {
			continue
		}
		refusals++
		during := 0
		for _, next := range lines[i+1:] {
			after := next.time().Sub(line.time())
			sameDaemon := l.requests[next.RequestID].daemon == l.requests[line.RequestID].daemon
			if sameDaemon && after > pauseLatency && after < pauseLength {
				during++
			}
		}
		most = max(most, during)
	}
	if most > maxDuringPause || refusals == 0 {
		t.Errorf("%s refused %d requests and got up to %d of one daemon within a pause", paused.ID, refusals, most)
	}
}
