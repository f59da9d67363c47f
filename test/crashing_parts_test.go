package test

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// The load of requests with a part that crashes runners, and the limits on it.
const (
	// crashingPartEvery is the time between two such requests.
	crashingPartEvery = 300 * time.Millisecond
	// crashingPartFor is how long they come, after soundBefore without any.
	crashingPartFor = 15 * time.Second
	soundBefore     = 4 * time.Second
	// crashesToConvict is the number of crashes after which at most maxExtraRuns more
	// requests with the part run later than convictedWithin.
	crashesToConvict = 5
	convictedWithin  = 3 * time.Second
	// soundAgainWithin is the time from the fifth crash from which sound requests are
	// served at least half as often as before.
	soundAgainWithin = 6 * time.Second
	// respawnAfter and restartAfter are the time until a crashed runner is back under a
	// new id, and under its own.
	respawnAfter = 2 * time.Second
	restartAfter = 30 * time.Millisecond
)

// crashingParts describes a test of a part that crashes runners.
type crashingParts struct {
	f *fleetTest
	// part is the part that crashes runners.
	part string
	// soundEvery is the time between two sound requests.
	soundEvery time.Duration
	// burst is the number of requests with the part that are sent at once; zero for one.
	burst int
	// every is the time between two such requests or bursts.
	every time.Duration
	// inPlace: a crashed runner is back under its id and address.
	inPlace bool
}

// Guards against a part of a prompt that crashes one runner after another, no two requests being alike.
func TestPromptPartThatCrashesRunnersIsQuarantined(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines = 4, 8 })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPart, soundEvery: 60 * time.Millisecond})
}

// Guards against the same with few sound requests as evidence.
func TestPromptPartThatCrashesRunnersWithFewSoundRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines = 4, 8 })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPart, soundEvery: 400 * time.Millisecond})
}

// Guards against the same where all runners of a small pool are down at times.
func TestPromptPartThatCrashesSmallPool(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines = 4, 3 })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPart, soundEvery: 100 * time.Millisecond})
}

// Guards against the same where the runner crashes in the middle of the answer, and its end looks like that of a whole one.
func TestPromptPartThatCrashesRunnersMidwayWithUnframedAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines, l.Unframed = 4, 8, true })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPartMidway, soundEvery: 100 * time.Millisecond})
}

// Guards against the same where a crashed runner is back under its id before anybody has checked it.
func TestPromptPartThatCrashesRunnersThatRestartAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines = 4, 8 })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPart, soundEvery: 100 * time.Millisecond, inPlace: true})
}

// Guards against crashes that are not counted because all runners of a pool end at once, which looks like the loss of the paths to them.
func TestPromptPartThatCrashesAllRunnersAtOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(l *testfleet.Layout) { l.Daemons, l.Engines, l.Plain = 4, 3, 2 })
	testCrashingParts(t, crashingParts{f: f, part: standin.CrashPart, soundEvery: 100 * time.Millisecond, burst: 8, every: 3 * time.Second})
}

// testCrashingParts sends requests with a part that crashes runners beside sound ones
// that share all other parts with them, and checks that the former end and the latter
// go on.
func testCrashingParts(t *testing.T, c crashingParts) {
	c.burst, c.every = max(1, c.burst), cmp.Or(c.every, crashingPartEvery)
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() {
		if c.inPlace {
			c.f.RespawnInPlace(ctx, restartAfter)
			return
		}
		c.f.Respawn(ctx, respawnAfter)
	})
	sound := &pathLoad{}
	began := time.Now()
	background.Go(func() { c.sendSound(ctx, &background, sound) })
	time.Sleep(soundBefore)
	c.sendCrashing(ctx, &background)
	c.check(t, began, sound)
}

// partsOf returns the prompt of a request with the given third part. All requests share
// the first, second and fourth part, and none the last one.
func partsOf(id, third string) string {
	return fmt.Sprintf("f125:400,5ec0:200,%s:100,4f04:100,%08x:200", third, fnv32(id))
}

// sendSound sends sound requests to the daemons in turn until the context ends. They
// have one of three third parts.
func (c *crashingParts) sendSound(ctx context.Context, background *sync.WaitGroup, load *pathLoad) {
	tick := time.NewTicker(c.soundEvery)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		background.Go(func() {
			id := fmt.Sprint("sound-", n)
			load.send(ctx, c.f, c.f.Daemons[n%len(c.f.Daemons)], &testfleet.Request{
				ID: id, Kind: testfleet.Generation, Events: 20, Path: "/stream/" + id, Prefix: partsOf(id, fmt.Sprint("50", n%3)),
			})
		})
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// sendCrashing sends requests with the crashing part to the daemons in turn.
func (c *crashingParts) sendCrashing(ctx context.Context, background *sync.WaitGroup) {
	for n := range int(crashingPartFor/c.every) * c.burst {
		background.Go(func() {
			id := fmt.Sprint(crashingPrefix, n)
			a := c.f.caller.Ask(ctx, c.f.Daemons[n%len(c.f.Daemons)].Callers, &testfleet.Request{
				ID: id, Kind: testfleet.Generation, Events: 20, Path: "/stream/" + id, Prefix: partsOf(id, c.part),
			})
			if a.Err == nil && a.Status == 200 {
				c.f.t.Errorf("crashing request %s got a whole answer", id)
			}
		})
		if (n+1)%c.burst == 0 {
			time.Sleep(c.every)
		}
	}
}

// check checks the runs of requests with the crashing part, and that sound requests are
// served.
func (c *crashingParts) check(t *testing.T, began time.Time, sound *pathLoad) {
	t.Helper()
	runs, crashes := c.f.runsOf(crashingPrefix), c.f.crashes()
	if len(crashes) == 0 {
		t.Fatal("no runner has crashed")
	}
	convicted := crashes[min(len(crashes), crashesToConvict)-1]
	late := 0
	for _, at := range runs {
		if at.After(convicted.Add(convictedWithin)) {
			late++
		}
	}
	before, _ := sound.between(began, began.Add(soundBefore), allDaemons(c.f))
	after, _ := sound.between(convicted.Add(soundAgainWithin), time.Now().Add(-time.Second), allDaemons(c.f))
	t.Logf("%d requests with the part ran and crashed %d runners, %d of them later than %v after the fifth; sound ones served before: %s, later: %s",
		len(runs), len(crashes), late, convictedWithin, &before, &after)
	if late > maxExtraRuns {
		t.Errorf("%d requests with the part ran later than %v after the fifth crash, want at most %d", late, convictedWithin, maxExtraRuns)
	}
	if after.tried < 10 || after.fraction() < before.fraction()/2 {
		t.Errorf("sound requests: %s served, %s before", &after, &before)
	}
}

func allDaemons(f *fleetTest) map[*testfleet.Daemon]bool {
	all := map[*testfleet.Daemon]bool{}
	for _, d := range f.Daemons {
		all[d] = true
	}
	return all
}
