package node

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// largeRecord returns a record whose body is sent in parts. version must be odd, see
// bodyOf.
func largeRecord(version uint64) port.Record {
	return port.Record{Kind: "k", Name: "n", Version: version, Body: bodyOf(version, false)}
}

func hasVersion(n *Node, version uint64) bool {
	r, held := n.CompleteRecord("k", "n")
	return held && r.Version == version && string(r.Body) == string(bodyOf(version, false))
}

// All neighbours of a daemon send it a new version. It must request the parts from
// one of them only; otherwise a slow link would transfer the table several times.
func TestEachPartIsSentOnce(t *testing.T) {
	nodes := []*Node{New(), New(), New(), New()}
	s := &simulation{}
	for i := range nodes {
		for j := range i {
			s.wires = append(s.wires, &wire{a: i, b: j, ends: [2]*Link{nodes[i].Open(true), nodes[j].Open(false)}})
		}
	}
	s.heal()
	nodes[0].PutRecord(largeRecord(1))
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
	revision, _ := spread.Divide(largeRecord(1))
	for i, n := range nodes {
		if !hasVersion(n, 1) {
			t.Fatalf("daemon %d doesn't have version 1 with its body", i)
		}
		if want := len(revision.Parts); i > 0 && received[i] != want {
			t.Errorf("daemon %d received %d parts, want each of %d once", i, received[i], want)
		}
	}
}

// The neighbour that sent a version freezes before it sends the parts. They must be
// requested from another neighbour that has them; otherwise callers would be
// routed by the old version until the frozen daemon is detected.
func TestPartsAreRequestedFromAnotherNeighbour(t *testing.T) {
	frozen, healthy, daemon := New(), New(), New()
	first := &wire{ends: [2]*Link{daemon.Open(true), frozen.Open(false)}}
	s := &simulation{wires: []*wire{first}}
	s.heal()
	frozen.PutRecord(largeRecord(1))
	m := first.ends[1].Next()
	first.ends[0].Receive(&m)
	if hasVersion(daemon, 1) || daemon.MissingParts() == 0 {
		t.Fatal("the parts arrived together with the revision")
	}
	healthy.PutRecord(largeRecord(1))
	s.wires = []*wire{{ends: [2]*Link{daemon.Open(true), healthy.Open(false)}}}
	s.heal()
	if !hasVersion(daemon, 1) {
		t.Fatalf("%d parts are still missing", daemon.MissingParts())
	}
}

// The link over which parts were requested closes. They must be requested from the
// other neighbour at once, without waiting for ticks.
func TestPartsOfClosedLinkAreRequestedFromAnotherLink(t *testing.T) {
	lost, healthy, daemon := New(), New(), New()
	first := &wire{ends: [2]*Link{daemon.Open(true), lost.Open(false)}}
	second := &wire{ends: [2]*Link{daemon.Open(true), healthy.Open(false)}}
	s := &simulation{wires: []*wire{first, second}}
	s.heal()
	lost.PutRecord(largeRecord(1))
	healthy.PutRecord(largeRecord(1))
	for _, w := range s.wires {
		m := w.ends[1].Next()
		w.ends[0].Receive(&m)
	}
	first.ends[0].Close()
	if ask := second.ends[0].Next(); len(ask.WantedParts) == 0 {
		t.Fatal("no parts are requested over the other link after the first was closed")
	} else {
		second.ends[1].Receive(&ask)
	}
	s.wires = []*wire{second}
	for range 3 {
		s.pass()
	}
	if !hasVersion(daemon, 1) {
		t.Fatalf("%d parts are still missing", daemon.MissingParts())
	}
}

// A daemon starts and has received all revisions from a complete neighbour, but not
// yet the parts of a large record. It must not be complete yet, or it would tell
// callers that the routes in that record don't exist.
func TestNotCompleteWhilePartsAreMissing(t *testing.T) {
	neighbour, started := New(), New()
	neighbour.PutRecord(largeRecord(1))
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
		t.Fatal("the node is complete although parts are missing")
	}
	s := &simulation{wires: []*wire{w}}
	for range 3 {
		s.pass()
	}
	if !started.Complete() || !hasVersion(started, 1) {
		t.Fatal("the node isn't complete although all parts were sent")
	}
}

// A daemon reads the newest version from the platform, sends the revision to its
// neighbours and fails before it sends the parts. A daemon that starts then, while
// the platform is down, must use the version before. Otherwise it would refuse
// every caller until the platform is available again.
func TestStartWithPreviousVersionWhenPartsAreLost(t *testing.T) {
	reader, neighbour, started := New(), New(), New()
	for _, n := range []*Node{reader, neighbour} {
		n.PutRecord(largeRecord(1))
		n.SetComplete()
	}
	readerLink := &wire{ends: [2]*Link{neighbour.Open(true), reader.Open(false)}}
	s := &simulation{wires: []*wire{readerLink}}
	s.heal()
	reader.PutRecord(largeRecord(3))
	m := readerLink.ends[1].Next()
	readerLink.ends[0].Receive(&m)
	readerLink.ends[0].Close()
	s.wires = []*wire{{ends: [2]*Link{started.Open(true), neighbour.Open(false)}}}
	s.heal()
	if !started.Complete() || !hasVersion(started, 1) {
		t.Fatalf("complete: %v, has version 1: %v", started.Complete(), hasVersion(started, 1))
	}
	if started.CaughtUp() {
		t.Fatal("caught up although version 3 is known and its parts are missing")
	}
}

// A neighbour sends a revision to a daemon and freezes; then the daemon reads the
// version from the platform itself. The body must be stored although the revision
// is known already. Without it the daemon would refuse callers as if it had no
// routes.
func TestPlatformRecordCompletesRevisionFromPeer(t *testing.T) {
	frozen, daemon := New(), New()
	w := &wire{ends: [2]*Link{daemon.Open(true), frozen.Open(false)}}
	s := &simulation{wires: []*wire{w}}
	s.heal()
	frozen.PutRecord(largeRecord(1))
	m := w.ends[1].Next()
	w.ends[0].Receive(&m)
	if hasVersion(daemon, 1) {
		t.Fatal("the parts arrived together with the revision")
	}
	daemon.PutRecord(largeRecord(1))
	if !hasVersion(daemon, 1) || daemon.HighestHeld() != 1 || daemon.MissingParts() != 0 {
		t.Fatalf("version 1 isn't complete: %d parts are missing", daemon.MissingParts())
	}
}

// During a rolling upgrade, peers of an earlier build don't support parts. They must
// be sent bodies, and the bodies that they send must be accepted.
func TestPeerWithoutPartsSupport(t *testing.T) {
	daemon := New()
	link := daemon.Open(false)
	link.Receive(&Message{Complete: true})
	daemon.PutRecord(largeRecord(1))
	sent := link.Next()
	if len(sent.Records.Entries) != 1 || string(sent.Records.Entries[0].Body) != string(bodyOf(1, false)) {
		t.Fatalf("sent %d entries without the body", len(sent.Records.Entries))
	}
	link.Receive(&Message{Records: spread.Step[spread.Revision]{Entries: []spread.Revision{{Record: largeRecord(3)}}}})
	if !hasVersion(daemon, 3) || daemon.HighestHeld() != 3 {
		t.Fatal("the record received with its body isn't in force")
	}
	// Both builds must compute the same hash of a version, or their links would
	// request repairs for ever.
	inParts, _ := spread.Divide(largeRecord(3))
	if (spread.RecordOrder{}).Hash(inParts) != (spread.RecordOrder{}).Hash(spread.Revision{Record: largeRecord(3)}) {
		t.Fatal("a version in parts has a different hash than with its body")
	}
}

// A daemon has received a revision but not its parts. It must not send it to a peer
// of an earlier build, which would take it for a record with an empty body, until
// the body is complete.
func TestPeerWithoutPartsSupportGetsNoEmptyBody(t *testing.T) {
	source, daemon := New(), New()
	s := &simulation{wires: []*wire{{ends: [2]*Link{daemon.Open(true), source.Open(false)}}}}
	s.heal()
	old := daemon.Open(false)
	old.Receive(&Message{Complete: true})
	source.PutRecord(largeRecord(1))
	m := s.wires[0].ends[1].Next()
	s.wires[0].ends[0].Receive(&m)
	if early := old.Next(); len(early.Records.Entries) > 0 {
		t.Fatalf("sent before the body was complete: %d bytes", len(early.Records.Entries[0].Body))
	}
	s.heal()
	late := old.Next()
	if len(late.Records.Entries) != 1 || len(late.Records.Entries[0].Body) == 0 {
		t.Fatal("the version wasn't sent after its body was complete")
	}
}

// The body assembled from a peer's parts doesn't match the revision's hash, as the
// peer's build computes hashes differently. The version must not be put in force,
// and its parts must not be requested again and again.
func TestPartsNotMatchingRevisionAreRejected(t *testing.T) {
	daemon := New()
	link := daemon.Open(true)
	revision, parts := spread.Divide(largeRecord(1))
	revision.Sum++
	link.Receive(&Message{SupportsParts: true, Records: spread.Step[spread.Revision]{Entries: []spread.Revision{revision}}})
	if ask := link.Next(); len(ask.WantedParts) != len(revision.Parts) {
		t.Fatalf("%d parts are requested, want %d", len(ask.WantedParts), len(revision.Parts))
	}
	packed := make([][]byte, len(parts))
	for i := range parts {
		packed[i] = spread.Pack(parts[i])
	}
	link.Receive(&Message{Parts: packed})
	for range 2 * repeatRequestTicks {
		link.Tick()
		if ask := link.Next(); len(ask.WantedParts) > 0 {
			t.Fatalf("%d parts are requested again", len(ask.WantedParts))
		}
	}
	if len(daemon.CompleteRecords()) != 0 || daemon.HighestHeld() != 0 {
		t.Fatal("a body that doesn't match the revision's hash is in force")
	}
}

// Parts that weren't requested, or that are damaged, must be discarded: a peer must
// neither exhaust a daemon's memory nor change its tables this way.
func TestUnrequestedPartsAreDiscarded(t *testing.T) {
	n := New()
	link := n.Open(true)
	link.Receive(&Message{Parts: [][]byte{spread.Pack([]byte("unasked")), []byte("damaged")}})
	if len(n.bodies.parts) != 0 || len(n.CompleteRecords()) != 0 {
		t.Fatalf("%d parts that weren't requested are kept", len(n.bodies.parts))
	}
}
