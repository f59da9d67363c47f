package test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/platform/standin"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// Times of a cut of the paths between daemons and endpoints.
const (
	// cutKnownWithin is the time from the beginning of a cut from which callers are
	// served at the daemons that are cut off.
	cutKnownWithin = 3 * time.Second
	cutFor         = 8 * time.Second
	// healedWithin is the time from the end of a cut to full service.
	healedWithin = 2 * time.Second
)

// pathTry is one request, which is sent once.
type pathTry struct {
	daemon *testfleet.Daemon
	sent   time.Time
	answer *testfleet.Answer
	whole  bool
}

// pathLoad is the load of callers that choose a daemon at random for each request and
// send it once.
type pathLoad struct {
	mu    sync.Mutex
	tries []pathTry
}

// Of pathCallers callers each waits pathPause between two requests.
const (
	pathCallers = 12
	pathPause   = 50 * time.Millisecond
	// pathPatience is the time that callers allow for a request.
	pathPatience = time.Second
)

func (f *fleetTest) startPathLoad(ctx context.Context, background *sync.WaitGroup) *pathLoad {
	load := &pathLoad{}
	kinds := []testfleet.Kind{testfleet.Repeatable, testfleet.Once, testfleet.Generation}
	for n := range pathCallers {
		background.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for ctx.Err() == nil {
				r := f.request(kinds[random.IntN(len(kinds))], 5)
				r.Prefix, r.Patience = fmt.Sprintf("%08x:1000", fnv32(r.ID)), pathPatience
				load.send(ctx, f, f.Daemons[random.IntN(len(f.Daemons))], r)
				time.Sleep(pathPause)
			}
		})
	}
	return load
}

func (l *pathLoad) send(ctx context.Context, f *fleetTest, d *testfleet.Daemon, r *testfleet.Request) {
	sent := time.Now()
	a := f.caller.Ask(ctx, d.Callers, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, pathTry{daemon: d, sent: sent, answer: a, whole: a.Whole(r)})
}

// between returns how many of the tries sent in a time were served, of those at the
// daemons in the set and at the others.
func (l *pathLoad) between(from, to time.Time, cut map[*testfleet.Daemon]bool) (at, others share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.tries {
		if p.sent.Before(from) || !p.sent.Before(to) {
			continue
		}
		if cut[p.daemon] {
			at.add(p)
		} else {
			others.add(p)
		}
	}
	return at, others
}

// share counts served tries.
type share struct {
	served, tried int
	// failures counts the other tries by their status.
	failures map[string]int
}

func (s *share) add(p pathTry) {
	s.tried++
	if p.whole {
		s.served++
		return
	}
	if s.failures == nil {
		s.failures = map[string]int{}
	}
	text := fmt.Sprint(p.answer.Status)
	if p.answer.Err != nil {
		text = p.answer.Err.Error()
	}
	s.failures[text]++
}

func (s *share) fraction() float64 { return float64(s.served) / float64(max(1, s.tried)) }

func (s *share) String() string {
	return fmt.Sprintf("%d of %d, failures %v", s.served, s.tried, s.failures)
}

// checkCutServed checks that callers at the daemons that were cut off were served
// two thirds as often as at the others, or that few tries failed.
func checkCutServed(t *testing.T, at, others share) {
	t.Helper()
	t.Logf("served at the daemons cut off: %v", &at)
	t.Logf("served at the others: %v", &others)
	failed, tried := at.tried-at.served+others.tried-others.served, at.tried+others.tried
	if at.tried < 40 || others.tried < 40 {
		t.Errorf("%d and %d tries, want 40 at least", at.tried, others.tried)
	}
	if at.fraction() < others.fraction()*2/3 && failed > 10+tried/50 {
		t.Errorf("callers at daemons that are cut off are served far less often")
	}
	if others.fraction() < 0.9 {
		t.Errorf("callers at the daemons with paths are served less than nine times in ten")
	}
}

// Guards against refusing callers at daemons whose paths to endpoints are lost.
func TestDaemonsWithoutPathsServe(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	load := f.startPathLoad(ctx, &background)
	time.Sleep(2 * time.Second)
	for i, cut := range []struct {
		how     testfleet.Cut
		service string
	}{
		{testfleet.CutSilent, ""},
		{testfleet.CutReset, ""},
		{testfleet.CutNew, ""},
		{testfleet.CutReset, standin.EngineService},
		{testfleet.CutReset, standin.PlainService},
	} {
		f.testCut(load, cut.how, cut.service, f.Daemons[i%2], f.Daemons[2+i%2])
	}
	stop()
	background.Wait()
	f.checkNoCrashCounted()
}

// checkNoCrashCounted checks that no daemon took a lost path for a crash of an endpoint.
func (f *fleetTest) checkNoCrashCounted() {
	for _, d := range f.Daemons {
		if n := bytes.Count(d.Log(), []byte(`"verdict":"crash"`)); n > 0 {
			f.t.Errorf("%s counted %d crashes of endpoints, none has ended", d.ID, n)
		}
	}
}

func startPathFleet(t *testing.T) *fleetTest {
	return startFleet(t, func(l *testfleet.Layout) {
		l.Daemons, l.Engines, l.Plain, l.CallDuration = 4, 3, 3, 10*time.Millisecond
	})
}

// testCut cuts the paths of two daemons for a while and checks the requests that are
// sent from cutKnownWithin on, and after healing.
func (f *fleetTest) testCut(load *pathLoad, how testfleet.Cut, service string, daemons ...*testfleet.Daemon) {
	cut := map[*testfleet.Daemon]bool{}
	began := time.Now()
	for _, d := range daemons {
		f.CutPaths(d, how, service)
		cut[d] = true
	}
	time.Sleep(cutFor)
	if service == "" {
		f.checkCtlOutput("path_lost", "why", "endpoint", f.runnersOf(standin.PlainService)[0].ID)
	}
	healed := time.Now()
	for _, d := range daemons {
		f.HealPaths(d)
	}
	time.Sleep(healedWithin + 2*time.Second)
	f.t.Logf("paths cut off: %v, service %q", how, service)
	at, others := load.between(began.Add(cutKnownWithin), healed.Add(-pathPatience), cut)
	checkCutServed(f.t, at, others)
	after, afterOthers := load.between(healed.Add(healedWithin), time.Now().Add(-pathPatience), cut)
	f.t.Logf("after healing: %v, others %v", &after, &afterOthers)
	if after.fraction() < 0.95 || afterOthers.fraction() < 0.95 {
		f.t.Errorf("callers are not served again %v after the paths are back", healedWithin)
	}
}

// Guards against callers that wait until their deadline when no daemon has a path.
func TestNoDaemonHasPath(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	load := f.startPathLoad(ctx, &background)
	time.Sleep(2 * time.Second)
	for _, d := range f.Daemons {
		f.CutPaths(d, testfleet.CutSilent, "")
	}
	began := time.Now()
	time.Sleep(6 * time.Second)
	healed := time.Now()
	for _, d := range f.Daemons {
		f.HealPaths(d)
	}
	time.Sleep(healedWithin + 3*time.Second)
	ended := time.Now()
	stop()
	background.Wait()
	refusals, late := load.refusals(began.Add(cutKnownWithin), healed.Add(-pathPatience))
	t.Logf("%d refused at once with a Retry-After, %d others", refusals, late)
	if refusals < 50 || late > refusals/20 {
		t.Errorf("%d callers were refused at once, %d were not", refusals, late)
	}
	_, after := load.between(healed.Add(healedWithin), ended.Add(-pathPatience), nil)
	if after.fraction() < 0.95 {
		t.Errorf("after healing: %v", &after)
	}
}

// refusals counts the tries sent in a time that were refused at once, as not run and
// with a Retry-After, and all others.
func (l *pathLoad) refusals(from, to time.Time) (atOnce, others int) {
	const atOnceWithin = pathPatience / 4
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.tries {
		if p.sent.Before(from) || !p.sent.Before(to) {
			continue
		}
		a := p.answer
		if a.Status == http.StatusServiceUnavailable && a.RetryAfter > 0 && a.Took < atOnceWithin {
			atOnce++
			continue
		}
		others++
	}
	return atOnce, others
}

// Guards against excluding a sound runner for long after a second of silence.
func TestSilentRunnerIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t)
	ctx, stop := context.WithCancel(testContext(t))
	defer stop()
	var background sync.WaitGroup
	load := f.startPathLoad(ctx, &background)
	time.Sleep(time.Second)
	for _, silent := range [][]*testfleet.Runner{f.runnersOf(standin.PlainService)[:1], f.runnersOf(standin.EngineService)[:1], f.runnersOf(standin.PlainService)} {
		for _, r := range silent {
			if err := r.Freeze(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		thawed := time.Now()
		for _, r := range silent {
			if err := r.Thaw(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(healedWithin + pathPatience + time.Second)
		for _, r := range silent {
			if len(runTimes(r, thawed.Add(time.Second), time.Now())) == 0 {
				t.Errorf("%s gets nothing from a second after its silence on", r.ID)
			}
		}
		_, after := load.between(thawed.Add(healedWithin), time.Now().Add(-pathPatience), nil)
		if after.fraction() < 0.95 {
			t.Errorf("after a silence of %d runners: %v", len(silent), &after)
		}
	}
	stop()
	background.Wait()
	f.checkNoCrashCounted()
}
