package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// simulation plays calls of many daemons to the endpoints of a plain pool. Each endpoint
// works on slots calls at once, in the order of their arrival.
type simulation struct {
	random *rand.Rand
	// slowness is that of each endpoint outside its slow periods, stated what its answers
	// state as a multiple of that.
	slowness, stated []float64
	// slowPeriods holds the times in seconds at which each endpoint turns slow or normal.
	slowPeriods [][]float64
	// free holds when each slot of each endpoint is free, open the calls in progress.
	free [][]float64
	open [][]callSpan
	// failing endpoints fail each call within a millisecond.
	failing []bool
	// failShare is the share of the calls that end as failures after their usual time.
	failShare float64
	counts    []int
	choice    choice
}

// choice is how the endpoint of a call is chosen.
type choice int

// The choices. The last two are oracles that know the usual speed and the queues of all
// endpoints; the last one knows when an endpoint is in a slow period as well.
const (
	byCalls choice = iota
	byExpectedTime
	bySpeedAndQueue
	byKnowledgeOfSlowPeriods
)

func (c choice) String() string {
	return [...]string{"least calls", "expected time", "oracle of speeds and queues", "oracle of speeds, queues and slow periods"}[c]
}

type callSpan struct{ arrived, started, ended float64 }

const (
	simulatedSlots   = 6
	simulatedDaemons = 80
	// simulatedFactor is how much slower an endpoint is in a slow period.
	simulatedFactor = 2.5
)

func newSimulation(seed uint64, seconds float64, slowness []float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), slowness: slowness, failing: make([]bool, len(slowness)), counts: make([]int, len(slowness))}
	for range slowness {
		s.stated = append(s.stated, 1)
		s.free = append(s.free, make([]float64, simulatedSlots))
		s.open = append(s.open, nil)
		// Slow for 0.2 to 0.6 s, and 15% of the time.
		var periods []float64
		for t := 0.0; t < seconds; {
			t += s.random.ExpFloat64() * 0.4 * 0.85 / 0.15
			periods = append(periods, t)
			t += 0.2 + 0.4*s.random.Float64()
			periods = append(periods, t)
		}
		s.slowPeriods = append(s.slowPeriods, periods)
	}
	return s
}

// slownessAt returns the slowness of an endpoint at a time.
func (s *simulation) slownessAt(endpoint int, at float64) float64 {
	i, found := slices.BinarySearch(s.slowPeriods[endpoint], at)
	if found {
		i++
	}
	if i%2 == 1 {
		return s.slowness[endpoint] * simulatedFactor
	}
	return s.slowness[endpoint]
}

// expect returns when a call that arrives now would begin and end, and at which slot.
func (s *simulation) expect(endpoint int, now, work float64) (slot int, span callSpan) {
	for i, at := range s.free[endpoint] {
		if at < s.free[endpoint][slot] {
			slot = i
		}
	}
	began := max(now, s.free[endpoint][slot])
	if s.failing[endpoint] {
		return slot, callSpan{now, began, began + 0.001}
	}
	return slot, callSpan{now, began, began + work*s.slownessAt(endpoint, began)}
}

func (s *simulation) call(endpoint int, now, work float64) callSpan {
	slot, span := s.expect(endpoint, now, work)
	s.free[endpoint][slot] = span.ended
	s.open[endpoint] = append(slices.DeleteFunc(s.open[endpoint], func(c callSpan) bool { return c.ended < now }), span)
	s.counts[endpoint]++
	return span
}

// hint returns the load that an endpoint states with an answer.
func (s *simulation) hint(endpoint int, at float64) *port.LoadHint {
	h := &port.LoadHint{Slots: simulatedSlots, Slowness: s.stated[endpoint] * s.slownessAt(endpoint, at)}
	for _, c := range s.open[endpoint] {
		switch {
		case at < c.arrived || c.ended < at:
		case at < c.started:
			h.Waiting++
		default:
			h.Running++
		}
	}
	return h
}

// answerDue is an answer on its way to a daemon.
type answerDue struct {
	at       float64
	daemon   int
	endpoint int
	took     float64
	failed   bool
}

// run plays calls at a rate per second and returns their times in milliseconds, sorted.
// The choice is that of an oracle if balancers is nil.
func (s *simulation) run(balancers []*Balancer, perSecond, from, to float64) []float64 {
	pool := endpoints(len(s.slowness))
	var times []float64
	var due []answerDue
	for now := from; now < to; now += s.random.ExpFloat64() / perSecond {
		due = s.deliver(balancers, pool, due, now)
		work := 0.015 * float64(1+s.random.IntN(2))
		daemon := s.random.IntN(simulatedDaemons)
		endpoint := 0
		if balancers == nil {
			endpoint = s.fastest(now, work)
		} else {
			e, _, _ := balancers[daemon].Choose(clockAt(now), pool)
			endpoint = slices.IndexFunc(pool, func(p port.Endpoint) bool { return p.ID == e.ID })
		}
		c := s.call(endpoint, now, work)
		failed := s.failing[endpoint] || s.failShare > 0 && s.random.Float64() < s.failShare
		times = append(times, 1000*(c.ended-c.arrived))
		after, _ := slices.BinarySearchFunc(due, c.ended, func(d answerDue, at float64) int { return cmp.Compare(d.at, at) })
		due = slices.Insert(due, after, answerDue{c.ended, daemon, endpoint, c.ended - c.arrived, failed})
	}
	s.deliver(balancers, pool, due, to+60)
	slices.Sort(times)
	return times
}

// fastest returns the choice of an oracle.
func (s *simulation) fastest(now, work float64) int {
	best, soonest := 0, 0.0
	for i := range s.slowness {
		_, c := s.expect(i, now, work)
		if s.choice == bySpeedAndQueue {
			c.ended = c.started + work*s.slowness[i]
		}
		if i == 0 || c.ended < soonest {
			best, soonest = i, c.ended
		}
	}
	return best
}

// deliver passes the answers that have arrived by now to their daemons, in order.
func (s *simulation) deliver(balancers []*Balancer, pool []port.Endpoint, due []answerDue, now float64) []answerDue {
	if balancers == nil {
		return nil
	}
	n := 0
	for ; n < len(due) && due[n].at <= now; n++ {
		d := due[n]
		b, e, at, took := balancers[d.daemon], &pool[d.endpoint], clockAt(d.at), time.Duration(d.took*float64(time.Second))
		hint := s.hint(d.endpoint, d.at)
		b.Observe(at, e, hint, d.failed)
		if d.failed {
			b.EndFailure(at, e, took)
		} else {
			b.EndSuccess(at, e, Sample{Took: took, Load: hint})
		}
	}
	return slices.Delete(due, 0, n)
}

func clockAt(seconds float64) time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func newBalancers(seed uint64, uneven bool) []*Balancer {
	var out []*Balancer
	for daemon := range simulatedDaemons {
		r := rand.New(rand.NewPCG(seed, uint64(daemon)))
		out = append(out, New(Options{Draw: r.IntN, ReportMaxAge: 2 * time.Second, UnevenEndpoints: uneven}))
	}
	return out
}

func p99(sorted []float64) float64 { return sorted[len(sorted)*99/100] }

// unevenPool has two endpoints of usual speed and one that needs 2.4 times as long.
var unevenPool = []float64{0.7, 0.7, 1.7}

// simulatedSeconds and warmUp are the length of a simulation and the part at its beginning
// that is not evaluated.
const (
	simulatedSeconds = 300
	warmUp           = 30
)

// simulate returns the times of calls in milliseconds, sorted, and the number of calls of
// each endpoint, after the warm-up. prepare changes the simulation at the end of the
// warm-up; nil for nothing.
func simulate(seed uint64, choose choice, perSecond, seconds float64, prepare func(*simulation)) (times []float64, counts []int) {
	s := newSimulation(seed, seconds, unevenPool)
	s.choice = choose
	var balancers []*Balancer
	if choose <= byExpectedTime {
		balancers = newBalancers(seed, choose == byExpectedTime)
	}
	s.run(balancers, perSecond, 0, warmUp)
	if prepare != nil {
		prepare(s)
	}
	s.counts = make([]int, len(unevenPool))
	return s.run(balancers, perSecond, warmUp, seconds), s.counts
}

// Guards against calls that are late because a slow endpoint gets as many as a fast one:
// with the load of a plain service and reports that are seconds old, the p99 is at most
// 1.5 times that of an oracle.
func TestUnevenPoolComesCloseToOracle(t *testing.T) {
	all := make(map[choice][]float64)
	for _, perSecond := range []float64{105, 120} {
		// Two seeds for each load.
		first := uint64(perSecond) % 2 * 2
		for seed := first; seed < first+2; seed++ {
			result := make(map[choice]float64)
			for _, choose := range []choice{byCalls, byExpectedTime, bySpeedAndQueue, byKnowledgeOfSlowPeriods} {
				times, counts := simulate(seed, choose, perSecond, simulatedSeconds, nil)
				result[choose] = p99(times)
				all[choose] = append(all[choose], times...)
				t.Logf("%v/s, seed %d, %v: p99 %.1f ms, calls %v", perSecond, seed, choose, p99(times), counts)
			}
			if got, oracle := result[byExpectedTime], result[bySpeedAndQueue]; got > 1.5*oracle {
				t.Errorf("%v/s, seed %d: p99 %.1f ms, of the oracle %.1f ms", perSecond, seed, got, oracle)
			}
		}
	}
	for choose, times := range all {
		slices.Sort(times)
		t.Logf("all calls, %v: p99 %.1f ms", choose, p99(times))
	}
	if got, oracle := p99(all[byExpectedTime]), p99(all[byKnowledgeOfSlowPeriods]); got > 1.5*oracle {
		t.Errorf("all calls: p99 %.1f ms, of the oracle that knows the slow periods %.1f ms", got, oracle)
	}
}

// Guards against an endpoint that fails at once, looks fast or idle, and draws the calls
// of the pool.
func TestFailingEndpointGetsNoLargerShare(t *testing.T) {
	const seconds = 90
	for _, perSecond := range []float64{110, 450} {
		for endpoint := range unevenPool {
			_, before := simulate(1, byExpectedTime, perSecond, seconds, nil)
			_, failing := simulate(1, byExpectedTime, perSecond, seconds, func(s *simulation) { s.failing[endpoint] = true })
			was, is := shareOf(before, endpoint), shareOf(failing, endpoint)
			t.Logf("%v/s, endpoint %d: share %.3f, while it fails %.3f", perSecond, endpoint, was, is)
			if is > was+0.01 {
				t.Errorf("%v/s: the failing endpoint %d has %.3f of the calls, %.3f before", perSecond, endpoint, is, was)
			}
		}
	}
}

// Guards against a slow endpoint that states to be fast and draws the calls of the pool,
// and against a fast one that states to be slow and gets none.
func TestWrongStatedSlownessIsCorrected(t *testing.T) {
	honest, _ := simulate(1, byExpectedTime, 110, simulatedSeconds, nil)
	for name, stated := range map[string][]float64{
		"the slow endpoint states to be fast": {1, 1, 0.1},
		"a fast endpoint states to be slow":   {10, 1, 1},
	} {
		s := newSimulation(1, simulatedSeconds, unevenPool)
		s.choice, s.stated = byExpectedTime, stated
		balancers := newBalancers(1, true)
		s.run(balancers, 110, 0, 2*warmUp)
		s.counts = make([]int, len(unevenPool))
		times := s.run(balancers, 110, 2*warmUp, simulatedSeconds)
		t.Logf("%s: p99 %.1f ms, honest %.1f ms, calls %v", name, p99(times), p99(honest), s.counts)
		if shareOf(s.counts, 2) > 0.1 || p99(times) > 1.5*p99(honest) {
			t.Errorf("%s: p99 %.1f ms, honest %.1f ms, calls %v", name, p99(times), p99(honest), s.counts)
		}
		if shareOf(s.counts, 0) < 0.2 {
			t.Errorf("%s: a fast endpoint gets %.3f of the calls", name, shareOf(s.counts, 0))
		}
	}
}

// Guards against failures of single calls, which all endpoints of a service have, that turn
// calls away from its fast endpoints.
func TestFailuresOfTheServiceKeepTheChoice(t *testing.T) {
	with := func(failShare float64) ([]float64, []int) {
		return simulate(1, byExpectedTime, 110, simulatedSeconds, func(s *simulation) { s.failShare = failShare })
	}
	without, _ := with(0)
	times, counts := with(1.0 / 7)
	t.Logf("p99 %.1f ms, without failures %.1f ms, calls %v", p99(times), p99(without), counts)
	if p99(times) > 1.1*p99(without) || shareOf(counts, 2) > 0.1 {
		t.Errorf("p99 %.1f ms, without failures %.1f ms, calls %v", p99(times), p99(without), counts)
	}
}

func shareOf(counts []int, endpoint int) float64 {
	total := 0
	for _, n := range counts {
		total += n
	}
	return float64(counts[endpoint]) / float64(total)
}
