package node

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// large is a record whose body is passed on in parts; odd versions have one.
func large(version uint64) port.Record {
	return port.Record{Kind: "k", Name: "n", Version: version, Body: bodyOf(version, false)}
}

func holds(n *Node, version uint64) bool {
	r, held := n.WholeRecord("k", "n")
	return held && r.Version == version && string(r.Body) == string(bodyOf(version, false))
}

// Each daemon has several neighbours, and all of them tell it of a new version.
// Were it sent the parts by each, a slow link would carry the table several
// times; it asks one of them.
func TestEachPartComesOnce(t *testing.T) {
	nodes := []*Node{New(), New(), New(), New()}
	s := &system{}
	for i := range nodes {
		for j := range i {
			s.wires = append(s.wires, &wire{a: i, b: j, ends: [2]*Link{nodes[i].Open(true), nodes[j].Open(false)}})
		}
	}
	s.heal()
	nodes[0].PutRecord(large(1))
	received := map[int]int{}
	for range 8 {
		for _, w := range s.wires {
			for end := range 2 {
				m := w.ends[end].Next()
				received[[2]int{w.b, w.a}[end]] += len(m.Parts)
				w.ends[1-end].Receive(&m)
			}
		}
	}
	revision, _ := spread.Divide(large(1))
	for i, n := range nodes {
		if !holds(n, 1) {
			t.Fatalf("daemon %d doesn't have the version", i)
		}
		if want := len(revision.Parts); i > 0 && received[i] != want {
			t.Errorf("daemon %d was sent %d parts, want each of %d once", i, received[i], want)
		}
	}
}

// The neighbour that told of a version freezes before it sends the parts. The
// daemon's other neighbour, which has them too, is asked instead; else callers
// would be told by the old version until the frozen one is found out.
func TestPartsComeFromAnotherNeighbour(t *testing.T) {
	frozen, sound, daemon := New(), New(), New()
	first := &wire{ends: [2]*Link{daemon.Open(true), frozen.Open(false)}}
	s := &system{wires: []*wire{first}}
	s.heal()
	frozen.PutRecord(large(1))
	m := first.ends[1].Next()
	first.ends[0].Receive(&m)
	if holds(daemon, 1) || daemon.MissingParts() == 0 {
		t.Fatal("the parts came with the first word of the version")
	}
	sound.PutRecord(large(1))
	s.wires = []*wire{{ends: [2]*Link{daemon.Open(true), sound.Open(false)}}}
	s.heal()
	if !holds(daemon, 1) {
		t.Fatalf("%d parts are still missing", daemon.MissingParts())
	}
}

// The connection to the neighbour that was asked breaks. The other neighbour is
// asked at once, without waiting for heartbeats.
func TestPartsOfALostLinkAreAskedElsewhere(t *testing.T) {
	lost, sound, daemon := New(), New(), New()
	first := &wire{ends: [2]*Link{daemon.Open(true), lost.Open(false)}}
	second := &wire{ends: [2]*Link{daemon.Open(true), sound.Open(false)}}
	s := &system{wires: []*wire{first, second}}
	s.heal()
	lost.PutRecord(large(1))
	sound.PutRecord(large(1))
	for _, w := range s.wires {
		m := w.ends[1].Next()
		w.ends[0].Receive(&m)
	}
	first.ends[0].Close()
	if ask := second.ends[0].Next(); len(ask.WantedParts) == 0 {
		t.Fatal("nobody is asked once the link is lost")
	} else {
		second.ends[1].Receive(&ask)
	}
	s.wires = []*wire{second}
	for range 3 {
		s.pass()
	}
	if !holds(daemon, 1) {
		t.Fatalf("%d parts are still missing", daemon.MissingParts())
	}
}

// A daemon starts, and a complete neighbour has told it of all records; the parts
// of a large one are on their way. It isn't complete yet: it would tell callers
// that there are no such routes.
func TestNotCompleteWhilePartsAreOnTheirWay(t *testing.T) {
	neighbour, started := New(), New()
	neighbour.PutRecord(large(1))
	neighbour.SetComplete()
	w := &wire{ends: [2]*Link{started.Open(true), neighbour.Open(false)}}
	ask := w.ends[0].Next()
	w.ends[1].Receive(&ask)
	answer := w.ends[1].Next()
	w.ends[0].Receive(&answer)
	if !answer.Complete || started.MissingParts() == 0 {
		t.Fatalf("complete: %v, %d parts are missing", answer.Complete, started.MissingParts())
	}
	if started.Complete() {
		t.Fatal("complete without the parts")
	}
	s := &system{wires: []*wire{w}}
	for range 3 {
		s.pass()
	}
	if !started.Complete() || !holds(started, 1) {
		t.Fatal("not complete with all parts")
	}
}

// A daemon that read the newest version from the platform tells its neighbours
// and dies before it has sent the parts. A daemon that starts then, with the
// platform away, serves by the version before; without it, it would refuse every
// caller until the platform is back.
func TestStartWithoutTheNewestParts(t *testing.T) {
	reader, neighbour, started := New(), New(), New()
	for _, n := range []*Node{reader, neighbour} {
		n.PutRecord(large(1))
		n.SetComplete()
	}
	gone := &wire{ends: [2]*Link{neighbour.Open(true), reader.Open(false)}}
	s := &system{wires: []*wire{gone}}
	s.heal()
	reader.PutRecord(large(3))
	m := gone.ends[1].Next()
	gone.ends[0].Receive(&m)
	gone.ends[0].Close()
	s.wires = []*wire{{ends: [2]*Link{started.Open(true), neighbour.Open(false)}}}
	s.heal()
	if !started.Complete() || !holds(started, 1) {
		t.Fatalf("complete: %v, version 1 held: %v", started.Complete(), holds(started, 1))
	}
	if started.CaughtUp() {
		t.Fatal("the newer version, which is known of, counts as held")
	}
}

// A neighbour tells a daemon of a version and freezes; then the daemon reads the
// version from the platform itself. It has all of it, and may say that it is
// complete; were the body left out as that of a version known already, it would
// refuse callers as a daemon without routes.
func TestPlatformCompletesWhatAPeerToldOf(t *testing.T) {
	frozen, daemon := New(), New()
	w := &wire{ends: [2]*Link{daemon.Open(true), frozen.Open(false)}}
	s := &system{wires: []*wire{w}}
	s.heal()
	frozen.PutRecord(large(1))
	m := w.ends[1].Next()
	w.ends[0].Receive(&m)
	if holds(daemon, 1) {
		t.Fatal("the parts came with the first word of the version")
	}
	daemon.PutRecord(large(1))
	if !holds(daemon, 1) || daemon.HighestHeld() != 1 || daemon.MissingParts() != 0 {
		t.Fatalf("not whole: %d parts are missing", daemon.MissingParts())
	}
}

// Daemons are replaced one after the other by a build that passes tables on in
// parts. Those of the build before know no parts: they are sent the body, and
// what they send is taken.
func TestPeersOfTheBuildBefore(t *testing.T) {
	daemon := New()
	link := daemon.Open(false)
	link.Receive(&Message{Complete: true})
	daemon.PutRecord(large(1))
	sent := link.Next()
	if len(sent.Records.Entries) != 1 || string(sent.Records.Entries[0].Body) != string(bodyOf(1, false)) {
		t.Fatalf("sent %d entries without the body", len(sent.Records.Entries))
	}
	link.Receive(&Message{Records: spread.Step[spread.Revision]{Entries: []spread.Revision{{Record: large(3)}}}})
	if !holds(daemon, 3) || daemon.HighestHeld() != 3 {
		t.Fatal("the body that was sent is not in force")
	}
	// Both builds must hash a version alike, or their links would ask for
	// whole tables for ever.
	inParts, _ := spread.Divide(large(3))
	if (spread.RecordOrder{}).Hash(inParts) != (spread.RecordOrder{}).Hash(spread.Revision{Record: large(3)}) {
		t.Fatal("a version in parts has another hash than with its body")
	}
}

// A version of which only the name has come to a daemon's neighbour isn't sent
// on to a peer of the build before as an empty one; it follows once it is whole.
func TestPeerOfTheBuildBeforeGetsNoEmptyBody(t *testing.T) {
	source, daemon := New(), New()
	s := &system{wires: []*wire{{ends: [2]*Link{daemon.Open(true), source.Open(false)}}}}
	s.heal()
	old := daemon.Open(false)
	old.Receive(&Message{Complete: true})
	source.PutRecord(large(1))
	m := s.wires[0].ends[1].Next()
	s.wires[0].ends[0].Receive(&m)
	if early := old.Next(); len(early.Records.Entries) > 0 {
		t.Fatalf("sent before it was whole: %d bytes", len(early.Records.Entries[0].Body))
	}
	s.heal()
	late := old.Next()
	if len(late.Records.Entries) != 1 || len(late.Records.Entries[0].Body) == 0 {
		t.Fatal("the version never followed")
	}
}

// A peer's parts don't make the body that it announced, as its build hashes
// otherwise. The version isn't put in force, and isn't fetched over and over.
func TestPartsOfAnotherBody(t *testing.T) {
	daemon := New()
	link := daemon.Open(true)
	revision, parts := spread.Divide(large(1))
	revision.Sum++
	link.Receive(&Message{TakesParts: true, Records: spread.Step[spread.Revision]{Entries: []spread.Revision{revision}}})
	if ask := link.Next(); len(ask.WantedParts) != len(revision.Parts) {
		t.Fatalf("%d parts are asked for, want %d", len(ask.WantedParts), len(revision.Parts))
	}
	packed := make([][]byte, len(parts))
	for i := range parts {
		packed[i] = spread.Pack(parts[i])
	}
	link.Receive(&Message{Parts: packed})
	for range 2 * askAnewTicks {
		link.Tick()
		if ask := link.Next(); len(ask.WantedParts) > 0 {
			t.Fatalf("%d parts are asked for again", len(ask.WantedParts))
		}
	}
	if len(daemon.Whole()) != 0 || daemon.HighestHeld() != 0 {
		t.Fatal("another body is in force")
	}
}

// Parts that nobody asked for, or that are damaged, are dropped: a peer can
// neither fill a daemon's memory nor give it another table.
func TestPartsThatWereNotAskedFor(t *testing.T) {
	n := New()
	link := n.Open(true)
	link.Receive(&Message{Parts: [][]byte{spread.Pack([]byte("unasked")), []byte("damaged")}})
	if len(n.bodies.parts) != 0 || len(n.Whole()) != 0 {
		t.Fatalf("%d parts are kept", len(n.bodies.parts))
	}
}
