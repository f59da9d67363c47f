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
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// Bounds of what a crashing request may do.
const (
	crashesToLearn = 3
	// learnedWithin is the time from the last of these to when all daemons know.
	learnedWithin  = 3 * time.Second
	runsAfterwards = 3
)

// Guards against a generation that crashes one runner after the other, whichever daemon it comes to.
func TestGenerationThatCrashesRunnersIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	crashesRunners(t, testfleet.Generation)
}

// Guards against the same for a call that the system itself repeats.
func TestCallThatCrashesEndpointsIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	crashesRunners(t, testfleet.Repeatable)
}

func crashesRunners(t *testing.T, kind testfleet.Kind) {
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines, l.Plain = 6, 6 })
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	innocent := f.repeats(ctx, &background, kind)
	f.crashes(kind, 30)
	f.mustHaveLearned(t)
	innocent.mustBeServed(t)
	stop()
	background.Wait()
}

// Guards against forgetting a fatal request when all daemons are lost.
func TestCrashingRequestIsKnownAfterTheLossOfAllDaemons(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines = 6 })
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	f.crashes(testfleet.Generation, 8)
	procs.Until(t, "the store has the request", func() bool {
		out, err := f.Ctl(bounded(t), f.Daemons[0], "get", "request-quarantine", "main")
		return err == nil && strings.Contains(string(out), "fingerprint")
	})
	f.explainsARefusal(t)
	for _, d := range f.Daemons {
		d.Kill()
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range f.Daemons {
		f.serves(d)
		procs.Until(t, d.ID+" knows the request", func() bool {
			return bytes.Contains(d.Log(), []byte(`"verdict":"quarantine"`))
		})
	}
	before := len(f.runsOf(crashing))
	f.crashes(testfleet.Generation, 3)
	if after := len(f.runsOf(crashing)); after != before {
		t.Errorf("it ran %d times more", after-before)
	}
	stop()
	background.Wait()
}

// explainsARefusal: from the id of a refused request an operator finds its
// fingerprint, and from that which endpoints crashed under it.
func (f *fleetTest) explainsARefusal(t *testing.T) {
	t.Helper()
	r := &testfleet.Request{ID: "refused", Kind: testfleet.Generation, Events: 3, Path: "/stream/fatal", Body: standin.CrashMark}
	if a := f.caller.Ask(bounded(t), f.Daemons[0].Callers, r); !a.NotRun || a.RetryAfter <= 0 {
		t.Fatalf("%d, Retry-After %v, %v", a.Status, a.RetryAfter, a.Err)
	}
	out, err := f.Ctl(bounded(t), f.Daemons[0], "--output", "json", "why", "request", r.ID)
	if err != nil {
		t.Fatal(err)
	}
	var x struct {
		Decisions []struct {
			Reason      string `json:"reason"`
			Fingerprint string `json:"fingerprint"`
		} `json:"decisions"`
	}
	if err := json.Unmarshal(out, &x); err != nil || len(x.Decisions) == 0 {
		t.Fatalf("%v:\n%s", err, out)
	}
	last := x.Decisions[len(x.Decisions)-1]
	if !strings.HasPrefix(last.Reason, "crashes_endpoints") || last.Fingerprint == "" {
		t.Fatalf("refused for %q, fingerprint %q", last.Reason, last.Fingerprint)
	}
	f.tells("suspect", "why", "fingerprint", last.Fingerprint)
	f.tells("quarantine", "why", "fingerprint", last.Fingerprint)
}

// Guards against a release that has no effect, or that protects a request for ever.
func TestOperatorReleasesARequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Engines = 6 })
	ctx, stop := context.WithCancel(bounded(t))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.Respawn(ctx, time.Second) })
	f.crashes(testfleet.Generation, 8)
	var held []byte
	procs.Until(t, "the store has the request", func() bool {
		out, err := f.Ctl(bounded(t), f.Daemons[0], "--output", "json", "get", "request-quarantine", "main")
		held = out
		return err == nil && strings.Contains(string(out), "fingerprint")
	})
	before := len(f.runsOf(crashing))
	file := filepath.Join(t.TempDir(), "release.json")
	released := bytes.Replace(held, []byte(`"fingerprint"`), []byte(`"released": true, "fingerprint"`), 1)
	if err := os.WriteFile(file, released, 0o644); err != nil {
		t.Fatal(err)
	}
	f.tells("request-quarantines", "apply", "--file", file)
	for _, d := range f.Daemons {
		procs.Until(t, d.ID+" has released it", func() bool { return bytes.Contains(d.Log(), []byte(`"verdict":"release"`)) })
	}
	f.crashes(testfleet.Generation, 8)
	if again := len(f.runsOf(crashing)) - before; again < crashesToLearn || again > crashesToLearn+runsAfterwards {
		t.Errorf("it ran %d times after it was released", again)
	}
	stop()
	background.Wait()
}

// crashing is what the request that crashes runners begins its ids with.
const crashing = "crashing-"

// crashes sends one request that crashes runners to all daemons in turn.
func (f *fleetTest) crashes(kind testfleet.Kind, times int) {
	f.t.Helper()
	const pause = 200 * time.Millisecond
	for i := range times {
		r := &testfleet.Request{
			ID: fmt.Sprint(crashing, i), Kind: kind, Events: 3,
			Path: string(kind) + "fatal", Body: standin.CrashMark,
		}
		a := f.caller.Ask(bounded(f.t), f.Daemons[i%len(f.Daemons)].Callers, r)
		if a.Err == nil && a.Status == 200 {
			f.t.Fatalf("%s was answered", r.ID)
		}
		time.Sleep(pause)
	}
}

// mustHaveLearned checks how often the request ran.
func (f *fleetTest) mustHaveLearned(t *testing.T) {
	t.Helper()
	runs := f.runsOf(crashing)
	if len(runs) < crashesToLearn {
		t.Fatalf("%d runs, too few to tell anything", len(runs))
	}
	learned := runs[crashesToLearn-1].Add(learnedWithin)
	late := 0
	for _, at := range runs {
		if at.After(learned) {
			late++
		}
	}
	if late > runsAfterwards {
		t.Errorf("%d runs in all, %d of them later than %v after the third", len(runs), late, learnedWithin)
	}
}

// runsOf lists when runners began to run requests whose ids begin so, in order.
func (f *fleetTest) runsOf(prefix string) []time.Time {
	var out []time.Time
	for _, r := range f.Runners() {
		lines := bufio.NewScanner(bytes.NewReader(r.Log()))
		for lines.Scan() {
			var line struct {
				Event     string `json:"event"`
				RequestID string `json:"request_id"`
				Millis    int64  `json:"unix_ms"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "run" && strings.HasPrefix(line.RequestID, prefix) {
				out = append(out, time.UnixMilli(line.Millis))
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// repeated is one small request that callers send over and over.
type repeated struct {
	f    *fleetTest
	kind testfleet.Kind
}

// repeats has callers send it until the context ends.
func (f *fleetTest) repeats(ctx context.Context, background *sync.WaitGroup, kind testfleet.Kind) *repeated {
	s := &repeated{f: f, kind: kind}
	const callers = 4
	for i := range callers {
		background.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				s.ask(ctx, n)
			}
		})
	}
	return s
}

func (s *repeated) ask(ctx context.Context, n int) bool {
	r := s.f.request(s.kind, 1)
	r.Path, r.Body = string(s.kind)+"small", "small"
	return s.f.caller.Ask(ctx, s.f.Daemons[n%len(s.f.Daemons)].Callers, r).Whole(r)
}

// mustBeServed: once the crashes have ended, nothing is held against it.
func (s *repeated) mustBeServed(t *testing.T) {
	t.Helper()
	const asks = 30
	ctx := bounded(t)
	for n := range asks {
		if !s.ask(ctx, n) {
			t.Errorf("ask %d of %d at %s was not served", n, asks, s.f.Daemons[n%len(s.f.Daemons)].ID)
		}
	}
}

// Guards against the same on the product's own platform.
func TestPromptThatCrashesEnginesIsNotSentOnAndOn(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	crashes := 0
	const times = 6
	for i := range times {
		router := s.Routers[i%len(s.Routers)]
		// What becomes of it is the engines' to tell.
		_, _ = c.Stream(bounded(t), []string{router.Address}, caller.Completion{
			Model: procs.DemoModel, Prompt: engine.CrashMark,
		})
		for _, e := range s.Engines {
			select {
			case <-e.Exited():
				crashes++
				if err := s.Restart(bounded(t), e); err != nil {
					t.Fatal(err)
				}
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	if crashes < crashesToLearn || crashes > crashesToLearn+runsAfterwards {
		t.Errorf("%d engines ended", crashes)
	}
	for _, router := range s.Routers {
		answer, err := c.Stream(bounded(t), []string{router.Address}, caller.Completion{
			Model: procs.DemoModel, Prompt: engine.CrashMark,
		})
		if err != nil || answer.Problem == nil || answer.Problem.Reason != "crashes_endpoints" || answer.Problem.Outcome != problem.OutcomeNotRun {
			t.Errorf("%s: %+v, %v", router.ID, answer, err)
		}
		serves(t, s, router)
	}
}
