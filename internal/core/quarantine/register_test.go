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

// daemons are registers whose nodes are linked in a line.
type daemons struct {
	nodes     []*node.Node
	registers []*quarantine.Register
	links     [][2]*node.Link
	changes   [][]quarantine.Change
	now       time.Time
	transit   time.Duration
	crashes   int
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

// pass carries one message each way over a link.
func (d *daemons) pass(link int) {
	ends := d.links[link]
	for _, at := range []int{0, 1} {
		m := ends[at].Next()
		m.Suspects.Entries = slices.DeleteFunc(m.Suspects.Entries, func(s quarantine.Suspect) bool {
			return !quarantine.Acceptable(d.now.Sub(s.Heard))
		})
		for i := range m.Suspects.Entries {
			// The way of a message is no part of the age that it tells.
			s := &m.Suspects.Entries[i]
			s.Heard = s.Heard.Add(min(d.transit, d.now.Sub(s.Heard)))
		}
		ends[1-at].Receive(&m)
	}
	d.registers[link].Refresh(d.now)
	d.registers[link+1].Refresh(d.now)
}

// settle passes messages until all have heard everything.
func (d *daemons) settle() {
	const rounds = 16
	for range rounds * len(d.nodes) {
		for i := range d.links {
			d.links[i][0].Tick()
			d.links[i][1].Tick()
			d.pass(i)
		}
	}
}

// crash ends an endpoint at which a daemon had requests.
func (d *daemons) crash(at int, ran ...fingerprint) {
	d.crashes++
	d.registers[at].Crashed(d.now, quarantine.CrashID(d.crashes), ran)
}

func (d *daemons) condemned(at int, f fingerprint) bool {
	_, is := d.registers[at].Condemned(d.now, f)
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

// Three daemons lose one endpoint each under the same request: none knows enough
// by itself, and all refuse it once they have heard of each other.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	d := newDaemons(4)
	fatal, other := requestOf(1), requestOf(2)
	for at := range 3 {
		d.crash(at, fatal, requestOf(10+at))
	}
	d.crash(0, other)
	d.settle()
	for at := range 4 {
		if !d.condemned(at, fatal) || d.condemned(at, other) || d.condemned(at, requestOf(10)) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
	}
	if got := d.verdicts(3, fatal); !slices.Equal(got, []quarantine.Verdict{quarantine.Condemned}) {
		t.Errorf("logged %v", got)
	}
}

// A small request that is sent over and over runs at each endpoint that ends. It
// was seen to run to its end before, by another daemon than those that saw the
// crashes, and stays served even where no endpoint is left to show it again.
func TestRequestSeenToRunToItsEndStaysServed(t *testing.T) {
	d := newDaemons(3)
	repeated := requestOf(1)
	d.registers[2].Completed(d.now, repeated)
	for range 6 {
		d.crash(0, repeated)
	}
	d.settle()
	for at := range 3 {
		if d.condemned(at, repeated) {
			t.Errorf("daemon %d refuses it", at)
		}
	}
	before := d.nodes[2].Suspects().Digest()
	d.crash(2, repeated)
	if d.nodes[2].Suspects().Digest() != before {
		t.Error("the daemon that saw it run to its end tells of it at each crash")
	}
}

// A request is found harmless after it was held to be fatal: its next run to the
// end, at a daemon that had not heard, releases it everywhere.
func TestRunToItsEndReleases(t *testing.T) {
	d := newDaemons(3)
	f := requestOf(1)
	for range 3 {
		d.crash(0, f)
	}
	if !d.condemned(0, f) || d.condemned(2, f) {
		t.Fatal("not as set up")
	}
	d.registers[2].Completed(d.now, f)
	d.settle()
	for at := range 3 {
		if d.condemned(at, f) {
			t.Errorf("daemon %d refuses it", at)
		}
	}
	if got := d.verdicts(0, f); got[len(got)-1] != quarantine.Released {
		t.Errorf("logged %v", got)
	}
}

// News of a crash goes from daemon to daemon at once, and doesn't wait for them to
// compare what they hold.
func TestNewsOfACrashIsPassedOnAtOnce(t *testing.T) {
	d := newDaemons(4)
	d.settle()
	for range 3 {
		d.crash(0, requestOf(1))
	}
	for link := range d.links {
		d.pass(link)
	}
	if !d.condemned(3, requestOf(1)) {
		t.Fatal("the last daemon has not heard")
	}
}

// What is remembered is bounded in time: a request that nobody sends any more is
// forgotten by all, and no daemon reminds another of it; one that is still sent
// stays refused.
func TestSuspectsAreForgottenInTime(t *testing.T) {
	d := newDaemons(3)
	d.transit = 20 * time.Second
	old, sent := requestOf(1), requestOf(2)
	for range 3 {
		d.crash(0, old)
		d.crash(1, sent)
	}
	d.now = d.now.Add(time.Minute)
	d.settle()
	const step = 10 * time.Second
	for end := d.now.Add(quarantine.Memory + 9*step); d.now.Before(end); d.now = d.now.Add(step) {
		for at := range 3 {
			d.registers[at].Tick(d.now.Add(time.Duration(at) * time.Second))
		}
		if !d.condemned(2, sent) {
			t.Fatal("what is still sent was forgotten")
		}
		d.settle()
	}
	for at := range 3 {
		if d.condemned(at, old) || !d.condemned(at, sent) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
		if n := d.nodes[at].Suspects().Len(); n != 1 {
			t.Errorf("daemon %d remembers %d suspects", at, n)
		}
	}
}

// What is remembered is bounded in number, whoever sends what, and requests that
// are refused are the last to be forgotten.
func TestSuspectsAreBoundedInNumber(t *testing.T) {
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
		t.Errorf("%d suspects", n)
	}
	if !d.condemned(0, fatal) {
		t.Error("a request that is refused was forgotten")
	}
}

// Daemons see crashes and runs to the end in any order, and hear of each other
// late. Once all have heard everything they refuse the same requests: those that
// never ran to their end and crashed five endpoints, none that ran to its end
// after its last crash.
func TestDaemonsAgreeOnWhatTheyRefuse(t *testing.T) {
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
				// The last one never runs to its end.
				n := rapid.IntRange(0, requests-2).Draw(t, "request")
				d.registers[at].Completed(d.now, requestOf(n))
				completed[n], lastCompleted[n] = true, true
			case "pass":
				d.pass(min(at, count-2))
			}
		}
		d.settle()
		for n := range requests {
			is := d.condemned(0, requestOf(n))
			for at := range count {
				if d.condemned(at, requestOf(n)) != is {
					t.Fatalf("daemons disagree on request %d", n)
				}
			}
			if is && lastCompleted[n] {
				t.Fatalf("request %d is refused though it ran to its end since", n)
			}
			if !is && !completed[n] && crashed[n] >= 5 {
				t.Fatalf("request %d crashed %d endpoints and is not refused", n, crashed[n])
			}
		}
	})
}
