package quarantine_test

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

type fingerprint = quarantine.Fingerprint

func requestOf(n int) fingerprint {
	var f fingerprint
	binary.BigEndian.PutUint32(f[:], uint32(n))
	return f
}

// whole returns a request without parts.
func whole(f fingerprint) *quarantine.Request { return &quarantine.Request{Fingerprint: f} }

// lossesOf returns the losses of requests without parts.
func lossesOf(ran ...fingerprint) []quarantine.Loss {
	var out []quarantine.Loss
	for _, f := range ran {
		out = append(out, quarantine.Loss{Request: whole(f)})
	}
	return out
}

// daemons is a set of registers whose nodes are linked in a line.
type daemons struct {
	nodes       []*node.Node
	registers   []*quarantine.Register
	links       [][2]*node.Link
	changes     [][]quarantine.Change
	now         time.Time
	transitTime time.Duration
	crashes     int
}

func newDaemons(count int) *daemons {
	d := &daemons{now: time.Unix(1000, 0), changes: make([][]quarantine.Change, count)}
	for i := range count {
		n := node.New()
		d.nodes = append(d.nodes, n)
		d.registers = append(d.registers, quarantine.NewRegister(n, func(c quarantine.Change) {
			d.changes[i] = append(d.changes[i], c)
		}))
		if i > 0 {
			d.links = append(d.links, [2]*node.Link{d.nodes[i-1].Open(true), n.Open(false)})
		}
	}
	return d
}

// exchange carries one message in each direction over a link.
func (d *daemons) exchange(link int) {
	ends := d.links[link]
	for _, at := range []int{0, 1} {
		m := ends[at].Next()
		m.Suspects.Entries = slices.DeleteFunc(m.Suspects.Entries, func(s quarantine.Suspect) bool {
			return !quarantine.AcceptsAge(d.now.Sub(s.UpdatedAt))
		})
		m.PartSuspects.Entries = slices.DeleteFunc(m.PartSuspects.Entries, func(s quarantine.PartSuspect) bool {
			return !quarantine.AcceptsAge(d.now.Sub(s.UpdatedAt))
		})
		for i := range m.Suspects.Entries {
			// The transit time of a message is not part of the age that it carries.
			s := &m.Suspects.Entries[i]
			s.UpdatedAt = s.UpdatedAt.Add(min(d.transitTime, d.now.Sub(s.UpdatedAt)))
		}
		ends[1-at].Receive(&m)
	}
	d.registers[link].Refresh(d.now)
	d.registers[link+1].Refresh(d.now)
}

// converge exchanges messages until all nodes have the same state.
func (d *daemons) converge() {
	const rounds = 16
	for range rounds * len(d.nodes) {
		for i := range d.links {
			d.links[i][0].Tick()
			d.links[i][1].Tick()
			d.exchange(i)
		}
	}
}

// crash ends an endpoint at which a daemon ran the given requests.
func (d *daemons) crash(at int, ran ...fingerprint) {
	d.crashes++
	d.registers[at].Crashed(d.now, quarantine.CrashID(d.crashes), lossesOf(ran...))
}

func (d *daemons) quarantined(at int, f fingerprint) bool {
	_, is := d.registers[at].Quarantined(d.now, whole(f))
	return is
}

func (d *daemons) verdicts(at int, f fingerprint) []quarantine.Verdict {
	var out []quarantine.Verdict
	for _, c := range d.changes[at] {
		if c.Fingerprint == f {
			out = append(out, c.Verdict)
		}
	}
	return out
}

// Guards against a fatal request of which each daemon alone has seen too few crashes.
func TestCrashesOfDifferentDaemonsAddUp(t *testing.T) {
	d := newDaemons(4)
	fatal, other := requestOf(1), requestOf(2)
	for at := range 3 {
		d.crash(at, fatal, requestOf(10+at))
	}
	d.crash(0, other)
	d.converge()
	for at := range 4 {
		if !d.quarantined(at, fatal) || d.quarantined(at, other) || d.quarantined(at, requestOf(10)) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
	}
	if got := d.verdicts(3, fatal); !slices.Equal(got, []quarantine.Verdict{quarantine.Quarantined}) {
		t.Errorf("logged verdicts %v", got)
	}
}

// Guards against quarantining a harmless request that is repeated so often that it
// runs at every endpoint that ends.
func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	d := newDaemons(3)
	repeated := requestOf(1)
	d.registers[2].Completed(d.now, whole(repeated))
	for range 6 {
		d.crash(0, repeated)
	}
	d.converge()
	for at := range 3 {
		if d.quarantined(at, repeated) {
			t.Errorf("daemon %d quarantines the request", at)
		}
	}
	before := d.nodes[2].Suspects().Digest()
	d.crash(2, repeated)
	if d.nodes[2].Suspects().Digest() != before {
		t.Error("a daemon that saw the request complete publishes it as a suspect")
	}
}

// Guards against a quarantine that remains after the request has completed.
func TestCompletionReleasesQuarantinedRequest(t *testing.T) {
	d := newDaemons(3)
	f := requestOf(1)
	for range 3 {
		d.crash(0, f)
	}
	if !d.quarantined(0, f) || d.quarantined(2, f) {
		t.Fatal("want the request quarantined at daemon 0 and not yet at daemon 2")
	}
	d.registers[2].Completed(d.now, whole(f))
	d.converge()
	for at := range 3 {
		if d.quarantined(at, f) {
			t.Errorf("daemon %d quarantines the request", at)
		}
	}
	if got := d.verdicts(0, f); got[len(got)-1] != quarantine.Released {
		t.Errorf("logged verdicts %v", got)
	}
}

// Guards against a crash report that waits for the next comparison of digests.
func TestCrashIsForwardedImmediately(t *testing.T) {
	d := newDaemons(4)
	d.converge()
	for range 3 {
		d.crash(0, requestOf(1))
	}
	for link := range d.links {
		d.exchange(link)
	}
	if !d.quarantined(3, requestOf(1)) {
		t.Fatal("the last daemon has not received the crashes")
	}
}

// Guards against suspects that daemons keep restoring for each other forever.
func TestSuspectsExpire(t *testing.T) {
	d := newDaemons(3)
	d.transitTime = 20 * time.Second
	old, sent := requestOf(1), requestOf(2)
	for range 3 {
		d.crash(0, old)
		d.crash(1, sent)
	}
	d.now = d.now.Add(time.Minute)
	d.converge()
	const step = 10 * time.Second
	for end := d.now.Add(quarantine.SuspectRetention + 9*step); d.now.Before(end); d.now = d.now.Add(step) {
		for at := range 3 {
			d.registers[at].Tick(d.now.Add(time.Duration(at) * time.Second))
		}
		if !d.quarantined(2, sent) {
			t.Fatal("a request that is still being sent was forgotten")
		}
		d.converge()
	}
	for at := range 3 {
		if d.quarantined(at, old) || !d.quarantined(at, sent) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
		if n := d.nodes[at].Suspects().Len(); n != 1 {
			t.Errorf("daemon %d remembers %d suspects, want 1", at, n)
		}
	}
}

// Guards against unbounded memory, and against dropping quarantined requests first.
func TestSuspectCountIsBounded(t *testing.T) {
	d := newDaemons(1)
	fatal := requestOf(1)
	for range 3 {
		d.crash(0, fatal)
	}
	const endpoints, ran = 100, 100
	for n := range endpoints {
		var lost []fingerprint
		for i := range ran {
			lost = append(lost, requestOf(100+n*ran+i))
		}
		d.crash(0, lost...)
	}
	d.registers[0].Tick(d.now)
	if n := d.nodes[0].Suspects().Len(); n > 4096 {
		t.Errorf("%d suspects are remembered, want at most 4096", n)
	}
	if !d.quarantined(0, fatal) {
		t.Error("a quarantined request was forgotten")
	}
}

// Guards against daemons that quarantine different requests because they received
// the same updates in another order.
func TestDaemonsAgreeOnQuarantine(t *testing.T) {
	const count, requests = 3, 4
	rapid.Check(t, func(t *rapid.T) {
		d := newDaemons(count)
		var crashed [requests]int
		var completed, lastCompleted [requests]bool
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at := rapid.IntRange(0, count-1).Draw(t, "at")
			switch rapid.SampledFrom([]string{"crash", "complete", "pass"}).Draw(t, "event") {
			case "crash":
				var ran []fingerprint
				for n := range requests {
					if rapid.Bool().Draw(t, "ran") {
						ran = append(ran, requestOf(n))
						crashed[n]++
						lastCompleted[n] = false
					}
				}
				d.crash(at, ran...)
			case "complete":
				// The last request never completes.
				n := rapid.IntRange(0, requests-2).Draw(t, "request")
				d.registers[at].Completed(d.now, whole(requestOf(n)))
				completed[n], lastCompleted[n] = true, true
			case "pass":
				d.exchange(min(at, count-2))
			}
		}
		d.converge()
		for n := range requests {
			is := d.quarantined(0, requestOf(n))
			for at := range count {
				if d.quarantined(at, requestOf(n)) != is {
					t.Fatalf("daemons disagree on whether request %d is quarantined", n)
				}
			}
			if is && lastCompleted[n] {
				t.Fatalf("request %d is quarantined although it completed after its last crash", n)
			}
			if !is && !completed[n] && crashed[n] >= 5 {
				t.Fatalf("request %d crashed %d endpoints and is not quarantined", n, crashed[n])
			}
		}
	})
}

// Guards against counting a crash again after its request was released, when another daemon finds the ended endpoint.
func TestReleasedCrashIsNotCountedAgain(t *testing.T) {
	d := newDaemons(3)
	fatal := requestOf(1)
	for at := range 3 {
		d.crash(at, fatal)
	}
	d.converge()
	d.registers[0].Release(d.now, d.registers[0].Entries(), nil)
	d.converge()
	for at := range 3 {
		for id := 1; id <= 3; id++ {
			d.registers[at].Crashed(d.now, quarantine.CrashID(id), lossesOf(fatal))
		}
	}
	d.converge()
	if d.quarantined(0, fatal) {
		t.Fatal("the request is quarantined again for the crashes that it was released from")
	}
	for at := range 2 {
		d.crash(at, fatal)
	}
	d.converge()
	if d.quarantined(0, fatal) {
		t.Fatal("the request is quarantined after two further crashes")
	}
	d.crash(2, fatal)
	d.converge()
	if !d.quarantined(0, fatal) {
		t.Fatal("the request is not quarantined after three further crashes")
	}
}
