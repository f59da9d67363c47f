package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const testKind, testName = port.ObjectRoutingConfiguration, "r"

func bodyWith(weight int) json.RawMessage {
	return fmt.Appendf(nil, `{"schema_version":2,"kind":"routing-configurations","name":"r","spec":{"weights":{"stall":%d}}}`, weight)
}

func create(weight int) *Change {
	return &Change{Kind: testKind, Name: testName, Body: bodyWith(weight), Create: true, Actor: "kim"}
}

func revise(weight int, expect uint64) *Change {
	return &Change{Kind: testKind, Name: testName, Body: bodyWith(weight), Expect: expect, Actor: "kim"}
}

func mustChange(t *testing.T, k *Keeper, c *Change) Result {
	t.Helper()
	r, err := k.Change(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The reply to an operator's write is lost after the write took effect. The
// keeper reads the value, recognises its own write by its id and reports it as
// accepted. It must neither report a failure nor write a second version.
func TestLostReplyOfAWriteThatTookEffect(t *testing.T) {
	p := newFakePlatform()
	k, decisions := newTestKeeper(p)
	p.putResults = []callResult{resultReplyLost}
	r := mustChange(t, k, create(1))
	if r.Record.Version != 1 || p.Writes() != 1 {
		t.Fatalf("version %d after %d writes, want 1 after 1", r.Record.Version, p.Writes())
	}
	if len(decisions.All()) != 1 || decisions.All()[0].Verdict != "accepted" || decisions.All()[0].ID != r.WriteID {
		t.Fatalf("decisions %+v", decisions.All())
	}
	if held, ok := k.Record(testKind, testName); !ok || held.Version != 1 {
		t.Fatal("the record is not in force at the keeper that accepted the write")
	}
}

// The reply is lost and the write never arrived. The keeper writes again under
// the same condition, so that at most one of the two writes takes effect.
func TestLostReplyOfAWriteThatNeverArrived(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	p.putResults = []callResult{resultNotDelivered, resultNotDelivered}
	if r := mustChange(t, k, create(1)); r.Record.Version != 1 || p.Writes() != 1 {
		t.Fatalf("version %d after %d writes, want 1 after 1", r.Record.Version, p.Writes())
	}
}

// The reply is lost, and another operator revises the record before the keeper
// can read it. The result must say that the write took effect and was
// superseded.
func TestLostReplyThenSuperseded(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	mustChange(t, k, create(1))
	p.putResults = []callResult{resultReplyLost}
	// The read before the write succeeds, and the first read for the outcome
	// fails; in between the other operator revises the record.
	p.getResults = []callResult{resultOK, resultDown}
	done := make(chan struct{})
	var r Result
	var err error
	go func() {
		defer close(done)
		r, err = k.Change(context.Background(), revise(2, 1))
	}()
	eventually.True(t, "the write is stored", func() bool { return p.Writes() == 2 })
	p.writeConcurrently(&Change{Kind: testKind, Name: testName, Body: bodyWith(3)}, "other")
	<-done
	if err != nil {
		t.Fatalf("a write that took effect is reported as %v", err)
	}
	// The read for the outcome may also have come before the other operator's
	// write.
	if !r.Superseded && r.Record.Version != 2 || r.Superseded && r.Record.Version != 3 {
		t.Fatalf("got %+v", r)
	}
}

// The reply is lost, the write never arrived, and another operator's write took
// effect meanwhile. The result is a conflict and shows the other operator's
// record.
func TestLostReplyThenConflict(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	mustChange(t, k, create(1))
	p.putResults = []callResult{resultNotDelivered}
	first := true
	p.beforePut = func() {
		if first {
			first = false
			p.writeConcurrently(&Change{Kind: testKind, Name: testName, Body: bodyWith(9)}, "other")
		}
	}
	r, err := k.Change(context.Background(), revise(2, 1))
	if !errors.Is(err, ErrStale) || r.Record.Version != 2 {
		t.Fatalf("got %v with %+v", err, r)
	}
}

// The reply is lost and the platform goes down, so that the outcome can't be
// determined. The answer must say so, and neither accept nor refuse the write.
func TestLostReplyThenPlatformDown(t *testing.T) {
	p := newFakePlatform()
	k, decisions := newTestKeeper(p)
	p.putResults = []callResult{resultReplyLost}
	p.getResults = append([]callResult{resultOK}, repeat(resultDown, 100_000)...)
	_, err := k.Change(context.Background(), create(1))
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("got %v", err)
	}
	if decisions.All()[0].Verdict != "unknown" {
		t.Fatalf("decision %+v", decisions.All()[0])
	}
}

// The reply to a write that took effect is an error that states nothing: it counts as not written.
func TestUnknownErrorOfAWriteThatTookEffect(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	p.putResults = []callResult{resultReplyUnusable}
	if r := mustChange(t, k, create(1)); r.Record.Version != 1 || p.Writes() != 1 {
		t.Fatalf("version %d after %d writes, want 1 after 1", r.Record.Version, p.Writes())
	}
}

// The reply is lost, and a newer build then stores a value that this one can't read: the write took effect and counts as refused.
func TestLostReplyThenUnreadableValue(t *testing.T) {
	for _, value := range []string{`{"format":99}`, `{}`, `"x"`} {
		p := newFakePlatform()
		k, _ := newTestKeeper(p)
		p.putResults = []callResult{resultReplyLost}
		p.getResults = []callResult{resultOK, resultDown}
		done := make(chan error)
		go func() { _, err := k.Change(context.Background(), create(1)); done <- err }()
		eventually.True(t, "the write is stored", func() bool { return p.Writes() == 1 })
		if _, err := p.Store.Put(context.Background(), testKind, testName, 1, json.RawMessage(value)); err != nil {
			t.Fatal(err)
		}
		// The read for the outcome may also have come before the newer value.
		if err := <-done; err != nil && !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s: a write that took effect is reported as %v", value, err)
		}
	}
}

func repeat(f callResult, n int) []callResult {
	out := make([]callResult, n)
	for i := range out {
		out[i] = f
	}
	return out
}

// Two operators write on the basis of the same version. One succeeds; the other
// gets a conflict that shows the stored record, and nothing of its write is
// stored.
func TestConcurrentOperatorWrites(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	mustChange(t, k, create(1))
	winner := mustChange(t, k, revise(2, 1))
	r, err := k.Change(context.Background(), revise(3, 1))
	if !errors.Is(err, ErrStale) || r.Record.Version != winner.Record.Version {
		t.Fatalf("got %v with %+v", err, r)
	}
	if p.Writes() != 2 {
		t.Fatalf("%d writes", p.Writes())
	}
}

// A record is deleted and created again. Its versions must continue to grow, so
// that no daemon takes the new record for an old one, and the audit trail must
// continue.
func TestDeleteLeavesATombstone(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	mustChange(t, k, create(1))
	deleted := mustChange(t, k, &Change{Kind: testKind, Name: testName, Expect: 1, Delete: true})
	if !deleted.Record.Deleted || len(k.Records()) != 0 {
		t.Fatalf("got %+v", deleted)
	}
	if _, err := k.Change(context.Background(), revise(2, deleted.Record.Version)); !errors.Is(err, ErrNotFound) {
		t.Fatalf("revised a deleted record: %v", err)
	}
	recreated := mustChange(t, k, create(2))
	if recreated.Record.Version <= deleted.Record.Version {
		t.Fatalf("version went from %d to %d", deleted.Record.Version, recreated.Record.Version)
	}
	trail, err := k.Audit(context.Background(), testKind, testName)
	if err != nil || len(trail.Changes) != 3 || trail.Changes[1].Action != record.ActionDelete || trail.Changes[0].Actor != "kim" {
		t.Fatalf("trail %+v, %v", trail, err)
	}
}

// A newer build has written a record with a schema that this build doesn't
// know. It must not be rewritten, as that would drop the fields that this build
// doesn't know.
func TestNewerRecordIsNotRewritten(t *testing.T) {
	p := newFakePlatform()
	k, _ := newTestKeeper(p)
	p.writeConcurrently(&Change{Kind: testKind, Name: testName, Body: json.RawMessage(`{"schema_version":3,"kind":"routing-configurations","name":"r","spec":{}}`)}, "newer build")
	if _, err := k.Change(context.Background(), revise(1, 1)); !errors.Is(err, record.ErrNewerSchema) {
		t.Fatalf("got %v", err)
	}
	if p.Writes() != 1 {
		t.Fatalf("%d writes", p.Writes())
	}
}

// Several operators write while replies are lost, writes never arrive and the
// platform refuses calls. The results are compared with the platform's history:
// a write reported as accepted is in it once, a refused one never.
func TestWriteResultsMatchHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform()
		k, _ := newTestKeeper(p)
		var seen uint64
		for i := range rapid.IntRange(1, 12).Draw(t, "writes") {
			// A few faults in a row at most, so that the outcome is determined
			// within the timeout.
			p.putResults = rapid.SliceOfN(oneOf(resultOK, resultDown, resultReplyLost, resultNotDelivered), 0, 3).Draw(t, "write results")
			p.getResults = append([]callResult{resultOK}, rapid.SliceOfN(oneOf(resultOK, resultDown), 0, 2).Draw(t, "read results")...)
			concurrent := rapid.IntRange(0, 3).Draw(t, "concurrent write") == 0
			p.beforePut = func() {
				if concurrent {
					concurrent = false
					p.writeConcurrently(&Change{Kind: testKind, Name: testName, Body: bodyWith(1)}, fmt.Sprint("other", i))
				}
			}
			c := revise(1, seen)
			c.Create = seen == 0
			r, err := k.Change(context.Background(), c)
			times := p.timesInHistory(r.WriteID)
			switch {
			case err == nil && times != 1:
				t.Fatalf("the write was accepted but is in the history %d times, want 1", times)
			case err != nil && !errors.Is(err, ErrOutcomeUnknown) && times != 0:
				t.Fatalf("the write got %v but is in the history %d times, want 0", err, times)
			}
			if current, err := p.Store.Get(context.Background(), testKind, testName); err == nil {
				seen = current.Version
			}
		}
	})
}

func oneOf[T any](values ...T) *rapid.Generator[T] { return rapid.SampledFrom(values) }

// timesInHistory counts the versions that a write made.
func (p *fakePlatform) timesInHistory(writeID string) int {
	n := 0
	for _, o := range p.History(testKind, testName) {
		if e, err := record.DecodeEnvelope(o.Value); err == nil && e.WriteID == writeID {
			n++
		}
	}
	return n
}
