package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
	"github.com/dragonflyrail/dragonflyrail/platform/testfleet"
)

// Limits of a change of the coordinator.
const (
	// maxChangeMillis is the time within which requests are served again, and within which
	// the successor has what was handed over.
	maxChangeMillis = 1000
	// coordinatorLoad is the number of generations that are always open.
	coordinatorLoad = 24
	// servedAfterChange is the number of generations that must be served after a change.
	servedAfterChange = 3 * coordinatorLoad
)

// coordinatorLine holds the fields of log lines about coordinators.
type coordinatorLine struct {
	Event         string `json:"event"`
	SubjectID     string `json:"subject_id"`
	Verdict       string `json:"verdict"`
	Coordinator   string `json:"coordinator"`
	Pool          string `json:"pool"`
	Peer          string `json:"peer"`
	AgeMillis     int64  `json:"age_ms"`
	Speeds        int    `json:"speeds"`
	Organisations int    `json:"organisations"`
	Accepted      bool   `json:"accepted"`
	// Candidates are the runners that were compared, with their speeds.
	Candidates []port.CandidateScore `json:"candidates"`
}

// findLine returns the last line of a daemon's log that matches.
func findLine(d *testfleet.Daemon, matches func(*coordinatorLine) bool) (found coordinatorLine, ok bool) {
	lines := bufio.NewScanner(bytes.NewReader(d.Log()))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line coordinatorLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && matches(&line) {
			found, ok = line, true
		}
	}
	return found, ok
}

// placedAt sends a generation to a daemon and returns the decision that placed it, or the
// zero value if it was not served.
func (f *fleetTest) placedAt(d *testfleet.Daemon) coordinatorLine {
	r := f.request(testfleet.Generation, 2)
	if !f.caller.Ask(testContext(f.t), d.Callers, r).Whole(r) {
		return coordinatorLine{}
	}
	line, _ := findLine(d, func(l *coordinatorLine) bool {
		return l.Event == "decision" && l.SubjectID == r.ID && l.Verdict == "place"
	})
	return line
}

// coordinatorAt returns the daemon that places generations for a daemon, or nil.
func (f *fleetTest) coordinatorAt(d *testfleet.Daemon) *testfleet.Daemon {
	line := f.placedAt(d)
	for _, c := range f.Daemons {
		if c.ID == line.Coordinator {
			return c
		}
	}
	return nil
}

// agreedCoordinator waits until some daemons agree on the coordinator of the generations'
// pool, and returns it with the others.
func (f *fleetTest) agreedCoordinator(among []*testfleet.Daemon) (coordinator *testfleet.Daemon, others []*testfleet.Daemon) {
	f.t.Helper()
	procs.Until(f.t, "the daemons agree on a coordinator", func() bool {
		coordinator = f.coordinatorAt(among[0])
		for _, d := range among[1:] {
			if coordinator == nil || f.coordinatorAt(d) != coordinator {
				return false
			}
		}
		return coordinator != nil
	})
	for _, d := range among {
		if d != coordinator {
			others = append(others, d)
		}
	}
	return coordinator, others
}

// openLoad keeps generations open at some daemons.
type openLoad struct {
	stop    chan struct{}
	workers sync.WaitGroup

	mu     sync.Mutex
	served int
	// failures describes the generations that were not served, with the times of the
	// first one's start and of the last one's end.
	failures    []string
	first, last time.Time
}

func (f *fleetTest) keepOpen(daemons []*testfleet.Daemon) *openLoad {
	l := &openLoad{stop: make(chan struct{})}
	for i := range coordinatorLoad {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		l.workers.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				r := f.request(testfleet.Generation, 10+random.IntN(20))
				began := time.Now()
				a := f.caller.Ask(testContext(f.t), daemons[random.IntN(len(daemons))].Callers, r)
				l.record(r, a, began)
			}
		})
	}
	f.t.Cleanup(l.end)
	return l
}

func (l *openLoad) record(r *testfleet.Request, a *testfleet.Answer, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Whole(r) {
		l.served++
		return
	}
	if len(l.failures) == 0 {
		l.first = began
	}
	l.last = time.Now()
	text, _ := json.Marshal(struct {
		ID     string
		Status int
		Body   string
	}{r.ID, a.Status, a.Body[:min(200, len(a.Body))]})
	l.failures = append(l.failures, string(text))
}

func (l *openLoad) servedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// end waits until all generations have ended. It may be called again.
func (l *openLoad) end() {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.workers.Wait()
}

// checkServed waits until enough generations were served after a change, ends the load,
// and fails the test if generations were refused for longer than a change may take.
func (l *openLoad) checkServed(t *testing.T, before int) {
	t.Helper()
	procs.Until(t, "generations are served after the change", func() bool { return l.servedCount() >= before+servedAfterChange })
	l.end()
	t.Logf("%d served, %d not", l.served, len(l.failures))
	if took := l.last.Sub(l.first); took.Milliseconds() > maxChangeMillis {
		t.Errorf("generations were not served for %v: %v", took, l.failures)
	}
}

// checkHandedOver waits until a daemon has applied what another one handed over, and
// checks that this took no longer than a change may take and left no speeds out.
func (f *fleetTest) checkHandedOver(from, to *testfleet.Daemon) {
	f.t.Helper()
	var sent, applied coordinatorLine
	procs.Until(f.t, from.ID+" hands over to "+to.ID, func() bool {
		var ok bool
		sent, ok = findLine(from, func(l *coordinatorLine) bool {
			return l.Event == "handover_sent" && l.Peer == to.ID && l.Organisations > 0
		})
		if !ok {
			return false
		}
		applied, ok = findLine(to, func(l *coordinatorLine) bool {
			return l.Event == "handover_applied" && l.Peer == from.ID && l.Pool == sent.Pool
		})
		return ok
	})
	f.t.Logf("sent %+v, applied %+v", sent, applied)
	if applied.AgeMillis > maxChangeMillis {
		f.t.Errorf("%s had what was handed over after %d ms", to.ID, applied.AgeMillis)
	}
	// The successor may have samples of its own of some endpoints already, but not of all.
	if sent.Speeds > 0 && applied.Speeds == 0 {
		f.t.Errorf("none of %d speeds arrived", sent.Speeds)
	}
}

// Kills the coordinator of the generations' pool under load, and starts it again. The
// other daemons must not refuse generations for longer than a second, and the restarted
// daemon, which is the coordinator again, must get what its deputy has learned.
func TestKilledCoordinatorIsReplaced(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	coordinator, others := f.agreedCoordinator(f.Daemons)
	load := f.keepOpen(others)
	procs.Until(t, "generations are served", func() bool { return load.servedCount() >= coordinatorLoad })
	before := load.servedCount()
	coordinator.Kill()
	procs.Until(t, "generations are served without the coordinator", func() bool { return load.servedCount() >= before+coordinatorLoad })
	deputy, _ := f.agreedCoordinator(others)
	if deputy == coordinator {
		t.Fatal("the killed daemon places generations")
	}
	if err := f.StartDaemon(coordinator); err != nil {
		t.Fatal(err)
	}
	f.checkHandedOver(deputy, coordinator)
	load.checkServed(t, load.servedCount())
}

// Drains the coordinator of the generations' pool under load. The other daemons must not
// refuse generations for longer than a second, the successor must get what the draining
// daemon has learned, and that daemon must exit by itself.
func TestDrainedCoordinatorHandsOver(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	coordinator, others := f.agreedCoordinator(f.Daemons)
	load := f.keepOpen(others)
	procs.Until(t, "generations are served", func() bool { return load.servedCount() >= coordinatorLoad })
	before := load.servedCount()
	if err := coordinator.Terminate(); err != nil {
		t.Fatal(err)
	}
	successor := coordinator
	// The others may agree on the daemon until they learn that it stops.
	procs.Until(t, "the others have a new coordinator", func() bool {
		successor, _ = f.agreedCoordinator(others)
		return successor != coordinator
	})
	f.checkHandedOver(coordinator, successor)
	load.checkServed(t, before)
	<-coordinator.Exited()
	if code := coordinator.ExitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}

const (
	// unevenEngines is the number of runners from which on one of a fleet is the slow one.
	unevenEngines = 6
	// knownSlowness is the slowness from which on a coordinator knows the slow runner,
	// which needs 2.4 times as long. The others need at most 1.3 times as long.
	knownSlowness = 1.8
	// speedTolerance bounds how far a handed over slowness differs from that in a former
	// decision, relative to it: the former one may have got samples since.
	speedTolerance = 0.25
)

// slowest returns the largest slowness in a decision; 0 if speeds were not compared.
func (l *coordinatorLine) slowest() float64 {
	slowest := 0.0
	for i := range l.Candidates {
		slowest = max(slowest, l.Candidates[i].Slowness)
	}
	return slowest
}

// startUnevenFleet starts a fleet with runners of unequal speed, lets its coordinator
// learn their speeds, and ends all generations, so that no other daemon can learn them
// from streams. It returns the coordinator, its last decision and the other daemons.
func startUnevenFleet(t *testing.T) (f *fleetTest, coordinator *testfleet.Daemon, known coordinatorLine, others []*testfleet.Daemon) {
	t.Helper()
	f = startFleet(t, func(l *testfleet.Layout) {
		l.Engines, l.UnevenRunners = unevenEngines, true
		// Longer steps than usual, so that a busy machine doesn't hide the differences.
		l.EventEvery = 20 * time.Millisecond
	})
	coordinator, others = f.agreedCoordinator(f.Daemons)
	load := f.keepOpen(f.Daemons)
	procs.Until(t, "the coordinator knows the speeds", func() bool {
		known = f.placedAt(others[0])
		return known.Coordinator == coordinator.ID && len(known.Candidates) == unevenEngines && known.slowest() >= knownSlowness &&
			load.servedCount() >= servedAfterChange
	})
	load.end()
	known = f.placedAt(others[0])
	if known.Coordinator != coordinator.ID || known.slowest() < knownSlowness {
		t.Fatalf("the decision before the change doesn't show the slow runner: %+v", known)
	}
	return f, coordinator, known, others
}

// Guards against a successor that places generations without the speeds that the former
// coordinator has learned. The coordinator of a fleet with runners of unequal speed is
// stopped in order while nothing runs. The successor must have the speeds within a second,
// and its first decision must show them.
func TestDrainedCoordinatorHandsOverSpeeds(t *testing.T) {
	t.Parallel()
	f, coordinator, known, others := startUnevenFleet(t)
	if err := coordinator.Terminate(); err != nil {
		t.Fatal(err)
	}
	var successor *testfleet.Daemon
	procs.Until(t, "a daemon applies what is handed over", func() bool {
		for _, d := range others {
			if _, ok := findLine(d, func(l *coordinatorLine) bool { return l.Event == "handover_applied" }); ok {
				successor = d
			}
		}
		return successor != nil
	})
	f.checkHandedOver(coordinator, successor)
	first := f.placedAt(successor)
	if first.Coordinator != successor.ID {
		t.Fatalf("%s applied what was handed over, but the first decision is that of %q", successor.ID, first.Coordinator)
	}
	t.Logf("before %+v, after %+v", known.Candidates, first.Candidates)
	before := map[string]float64{}
	for _, c := range known.Candidates {
		before[c.Endpoint] = c.Slowness
	}
	if len(first.Candidates) != unevenEngines {
		t.Errorf("the first decision shows %d runners, want %d", len(first.Candidates), unevenEngines)
	}
	for _, c := range first.Candidates {
		if math.Abs(c.Slowness-before[c.Endpoint]) > speedTolerance*before[c.Endpoint] {
			t.Errorf("the slowness of %s is %.2f at the successor, want %.2f", c.Endpoint, c.Slowness, before[c.Endpoint])
		}
	}
	<-coordinator.Exited()
	if code := coordinator.ExitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
}

// Guards against a successor that needs speeds from a coordinator that was killed. It must
// place generations with the pool's medians, and learn the speeds from the reports of the
// relaying daemons.
func TestKilledCoordinatorsSuccessorLearnsSpeeds(t *testing.T) {
	t.Parallel()
	f, coordinator, _, others := startUnevenFleet(t)
	coordinator.Kill()
	var first coordinatorLine
	procs.Until(t, "a generation is placed after the change", func() bool {
		first = f.placedAt(others[0])
		return first.Coordinator != "" && first.Coordinator != coordinator.ID
	})
	if slowest := first.slowest(); slowest >= knownSlowness {
		t.Errorf("the first decision of %s has a slowness of %.2f, want the medians: %+v", first.Coordinator, slowest, first.Candidates)
	}
	f.keepOpen(others)
	procs.Until(t, "the successor learns the speeds", func() bool {
		line := f.placedAt(others[0])
		return line.Coordinator == first.Coordinator && line.slowest() >= knownSlowness
	})
}
