package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
)

// Parts of prompts: crashing crashes the endpoints that run it.
const (
	shared   uint64 = 0xf125
	crashing uint64 = 0xdead
	harmless uint64 = 0x500
)

var promptNumber int

// prompt returns a new request whose prompt has the given parts and one of its own.
func prompt(organisation string, ids ...uint64) *quarantine.Request {
	promptNumber++
	own := 1<<32 + uint64(promptNumber)
	return &quarantine.Request{
		Fingerprint:  quarantine.FingerprintOf(organisation, "POST", "h", fmt.Sprint(own), nil),
		Organisation: organisation,
		Parts:        quarantine.Scope{Organisation: organisation, Pool: "p", Model: "m"}.Parts(append(slices.Clone(ids), own)),
	}
}

// crashPrompts ends an endpoint at which a daemon ran the requests for a moment.
func (d *daemons) crashPrompts(at int, requests ...*quarantine.Request) {
	d.crashes++
	d.now = d.now.Add(500 * time.Millisecond)
	d.registers[at].Crashed(d.now, quarantine.CrashID(d.crashes), lossesOfPrompts(d.now, requests...))
}

func lossesOfPrompts(now time.Time, requests ...*quarantine.Request) []quarantine.Loss {
	var lost []quarantine.Loss
	for _, r := range requests {
		lost = append(lost, quarantine.Loss{Request: r, At: now, Ran: 100 * time.Millisecond})
	}
	return lost
}

func (d *daemons) refusesPrompt(at int, organisation string, ids ...uint64) bool {
	_, is := d.registers[at].Quarantined(d.now, prompt(organisation, ids...))
	return is
}

// Guards against a fatal part of which each daemon alone has seen too few crashes.
func TestPartCrashesOfDifferentDaemonsAddUp(t *testing.T) {
	d := newDaemons(4)
	for at := range 3 {
		d.crashPrompts(at, prompt("o", shared, crashing))
	}
	d.converge()
	for at := range 4 {
		if !d.refusesPrompt(at, "o", shared, crashing) || d.refusesPrompt(at, "o", shared, harmless) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
		if hold, _ := d.registers[at].Quarantined(d.now, prompt("o", shared, crashing)); len(hold.Parts) != 2 || hold.Remaining <= 0 {
			t.Errorf("daemon %d: %+v", at, hold)
		}
	}
	d.registers[3].Completed(d.now, prompt("o", shared, harmless))
	d.converge()
	for at := range 4 {
		if !d.refusesPrompt(at, "o", crashing) || d.refusesPrompt(at, "o", shared) {
			t.Errorf("daemon %d after the shared part completed: %v", at, d.changes[at])
		}
	}
}

// Guards against counting crashes against a part that completed since, because they are reported late.
func TestLateReportsDontCountAgainstPartThatCompletedSince(t *testing.T) {
	const crashes = 6
	for _, completing := range []int{0, 2} {
		d := newDaemons(3)
		began := d.now
		d.registers[completing].Completed(began.Add(crashes*time.Second), prompt("o", shared, harmless))
		d.now = began.Add((crashes + 1) * time.Second)
		for n := range crashes {
			at := began.Add(time.Duration(n) * time.Second)
			d.crashes++
			d.registers[0].Crashed(d.now, quarantine.CrashID(d.crashes), lossesOfPrompts(at, prompt("o", shared)))
		}
		d.converge()
		for at := range d.registers {
			if d.refusesPrompt(at, "o", shared) {
				t.Errorf("completed at daemon %d: daemon %d refuses: %v", completing, at, d.changes[at])
			}
		}
		for range crashes {
			d.crashPrompts(0, prompt("o", shared))
		}
		d.converge()
		if !d.refusesPrompt(completing, "o", shared) {
			t.Errorf("completed at daemon %d: sent after %d crashes since", completing, crashes)
		}
	}
}

// Guards against counting the failure of a rack as several crashes, because a daemon that was stopped reads the reports of it all at once.
func TestDelayedReportsKeepCrashesTogether(t *testing.T) {
	d := newDaemons(2)
	began := d.now
	d.registers[0].Completed(began, prompt("o", shared))
	d.converge()
	type report struct {
		message node.Message
		sentAt  time.Time
	}
	var buffered []report
	for n, found := range []time.Duration{600, 900, 1200, 1500, 1800, 2100} {
		at := began.Add(time.Duration(n/2)*time.Second + time.Duration(n%2)*50*time.Millisecond)
		d.now = at.Add(found * time.Millisecond)
		d.crashes++
		d.registers[0].Crashed(d.now, quarantine.CrashID(d.crashes), lossesOfPrompts(at.Add(time.Millisecond), prompt("o", shared)))
		buffered = append(buffered, report{message: d.links[0][0].Next(), sentAt: d.now})
	}
	d.now = d.now.Add(time.Second)
	for _, r := range buffered {
		for i := range r.message.PartSuspects.Entries {
			s := &r.message.PartSuspects.Entries[i]
			s.Crashes = slices.Clone(s.Crashes)
			for c := range s.Crashes {
				// Peers of earlier builds don't state when a message was sent.
				s.Crashes[c].At = s.Crashes[c].At.Add(d.now.Sub(r.sentAt))
			}
		}
		d.links[0][1].Receive(&r.message)
	}
	d.registers[1].Refresh(d.now)
	for at := range d.registers {
		if d.refusesPrompt(at, "o", shared) {
			t.Errorf("daemon %d refuses: %v", at, d.changes[at])
		}
	}
}

// Guards against quarantining a part that completed lately after three crashes, because the daemon that knows is out of reach.
func TestClearedPartIsKnownToHaveCompleted(t *testing.T) {
	d := newDaemons(2)
	d.crashPrompts(0, prompt("o", shared))
	d.converge()
	d.registers[1].Completed(d.now, prompt("o", shared))
	d.converge()
	for crashes := 1; crashes <= 5; crashes++ {
		d.crashPrompts(0, prompt("o", shared))
		if refused := d.refusesPrompt(0, "o", shared); refused != (crashes == 5) {
			t.Errorf("refused after %d crashes: %v", crashes, refused)
		}
	}
}

// Guards against a crash that counts no more because an earlier one of the same part was discarded.
func TestCrashAfterCompletionOutlivesEarlierOnes(t *testing.T) {
	d := newDaemons(2)
	completed := d.now.Add(time.Second)
	d.registers[1].Completed(completed, prompt("o", shared))
	d.now = completed.Add(time.Minute)
	const before, after = 2, 5
	for n := range before + after {
		at := completed.Add(time.Duration(n-before+1)*time.Second - 500*time.Millisecond)
		d.registers[0].Crashed(d.now, quarantine.CrashID(n+1), lossesOfPrompts(at, prompt("o", shared)))
		d.converge()
	}
	for at := range d.registers {
		if hold, refused := d.registers[at].Quarantined(d.now, prompt("o", shared)); !refused || hold.Crashes != after {
			t.Errorf("daemon %d: refused %v for %d crashes, want %d", at, refused, hold.Crashes, after)
		}
	}
}

// Guards against a trial of one part with a request that another part crashes.
func TestRequestWithTwoQuarantinedPartsWaitsForTheLaterTrial(t *testing.T) {
	d := newDaemons(1)
	d.registers[0].Completed(d.now, prompt("o", shared))
	for range 5 {
		d.crashPrompts(0, prompt("o", shared))
	}
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	hold, refused := d.registers[0].Quarantined(d.now, prompt("o", shared, crashing))
	if !refused || len(hold.Parts) != 1 || hold.Parts[0].ID != crashing {
		t.Errorf("refused %v for the parts %v, want %x", refused, hold.Parts, crashing)
	}
	if sound, refused := d.registers[0].Quarantined(d.now, prompt("o", shared)); !refused || sound.TrialInterval(0) >= hold.TrialInterval(0) {
		t.Errorf("the shared part: refused %v, tried after %v, want less than %v", refused, sound.TrialInterval(0), hold.TrialInterval(0))
	}
}

// Guards against a trial of a part that is due for long, with a request that another part crashed just now.
func TestTrialWaitsForThePartThatCrashedLast(t *testing.T) {
	d := newDaemons(1)
	for range 5 {
		d.crashPrompts(0, prompt("o", shared))
	}
	d.now = d.now.Add(5 * time.Minute)
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	for _, ids := range [][]uint64{{shared, crashing}, {crashing, shared}} {
		hold, refused := d.registers[0].Quarantined(d.now, prompt("o", ids...))
		if !refused || len(hold.Parts) != 1 || hold.Parts[0].ID != crashing {
			t.Errorf("prompt %x: refused %v for the parts %v, want %x", ids, refused, hold.Parts, crashing)
		}
	}
}

// Guards against a verdict on the parts of one organisation, pool or model for the crashes of another.
func TestPartVerdictHoldsWithinItsScope(t *testing.T) {
	d := newDaemons(1)
	for range 5 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	if !d.refusesPrompt(0, "o", crashing) || d.refusesPrompt(0, "another", crashing) {
		t.Fatal("want the part refused for its organisation alone")
	}
	for _, scope := range []quarantine.Scope{{Organisation: "o", Pool: "p", Model: "another"}, {Organisation: "o", Pool: "another", Model: "m"}} {
		r := &quarantine.Request{Parts: scope.Parts([]uint64{crashing, 1})}
		if _, is := d.registers[0].Quarantined(d.now, r); is {
			t.Errorf("refused in %+v", scope)
		}
	}
}

// Guards against blaming the last part of a prompt, which belongs to its request or session.
func TestLastPartIsNeverSuspected(t *testing.T) {
	scope := quarantine.Scope{Organisation: "o"}
	for _, ids := range [][]uint64{nil, {1}, {1, 2}, {1, 1, 2}} {
		want := 0
		if len(ids) > 1 {
			want = 1
		}
		if got := scope.Parts(ids); len(got) != want || want > 0 && got[0].ID != 1 {
			t.Errorf("parts %v of %v", got, ids)
		}
	}
}

// Guards against a part that stays quarantined after its release, and against counting its crashes again.
func TestReleasedPartIsSent(t *testing.T) {
	d := newDaemons(3)
	for at := range 3 {
		d.crashPrompts(at, prompt("o", crashing))
	}
	d.converge()
	d.registers[0].Release(d.now, nil, d.registers[0].PartEntries())
	d.converge()
	for id := 1; id <= 3; id++ {
		d.registers[2].Crashed(d.now, quarantine.CrashID(id), lossesOfPrompts(d.now, prompt("o", crashing)))
	}
	if d.refusesPrompt(2, "o", crashing) {
		t.Fatal("refused for the crashes that it was released from")
	}
	for range 3 {
		d.crashPrompts(1, prompt("o", crashing))
	}
	d.converge()
	if !d.refusesPrompt(2, "o", crashing) {
		t.Fatal("sent after three further crashes")
	}
}

// Guards against a release that covers crashes which the operator has not seen.
func TestReleaseOfPartCoversSeenCrashesOnly(t *testing.T) {
	d := newDaemons(1)
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	seen := d.registers[0].PartEntries()
	d.crashPrompts(0, prompt("o", crashing))
	d.registers[0].Release(d.now, nil, seen)
	if !d.refusesPrompt(0, "o", crashing) {
		t.Fatal("released although a fourth crash came after the order")
	}
}

// Guards against unbounded memory, and against dropping quarantined parts first.
func TestPartSuspectCountIsBounded(t *testing.T) {
	d := newDaemons(1)
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
	}
	const endpoints, slots, parts = 30, 24, 10
	for n := range uint64(endpoints) {
		var ran []*quarantine.Request
		for slot := range uint64(slots) {
			var ids []uint64
			for part := range uint64(parts) {
				ids = append(ids, 1<<20+(n*slots+slot)*parts+part)
			}
			ran = append(ran, prompt("o", ids...))
		}
		d.crashPrompts(0, ran...)
	}
	d.registers[0].Tick(d.now)
	if n := d.nodes[0].PartSuspects().Len(); n > 4096 {
		t.Errorf("%d suspects are remembered, want at most 4096", n)
	}
	if !d.refusesPrompt(0, "o", crashing) {
		t.Error("a quarantined part was forgotten")
	}
}

// Guards against suspected parts that daemons keep restoring for each other forever.
func TestPartSuspectsExpire(t *testing.T) {
	d := newDaemons(3)
	const sent = harmless
	for range 3 {
		d.crashPrompts(0, prompt("o", crashing))
		d.crashPrompts(1, prompt("o", sent))
	}
	d.converge()
	const step = 10 * time.Second
	for end := d.now.Add(quarantine.SuspectRetention + 9*step); d.now.Before(end); d.now = d.now.Add(step) {
		for at := range 3 {
			d.registers[at].Tick(d.now.Add(time.Duration(at) * time.Second))
		}
		if !d.refusesPrompt(2, "o", sent) {
			t.Fatal("a part that is still being sent was forgotten")
		}
		d.converge()
	}
	for at := range 3 {
		if d.refusesPrompt(at, "o", crashing) || !d.refusesPrompt(at, "o", sent) {
			t.Errorf("daemon %d: %v", at, d.changes[at])
		}
	}
}

// Guards against a quarantine that is lost, or falls apart, when it is read back from the store.
func TestRestoredPartsAreQuarantined(t *testing.T) {
	d := newDaemons(1)
	for range 3 {
		d.crashPrompts(0, prompt("o", shared, crashing))
	}
	restarted := newDaemons(1)
	restarted.now = d.now.Add(time.Hour)
	restarted.registers[0].Restore(restarted.now, nil, d.registers[0].PartEntries())
	if !restarted.refusesPrompt(0, "o", shared, crashing) || restarted.refusesPrompt(0, "o", shared, harmless) {
		t.Fatalf("restored: %v", restarted.changes[0])
	}
}

// Guards against daemons that quarantine different parts because they received the same updates in another order.
func TestDaemonsAgreeOnParts(t *testing.T) {
	const count, parts = 3, 5
	rapid.Check(t, func(t *rapid.T) {
		d := newDaemons(count)
		ids := rapid.SliceOfNDistinct(rapid.Uint64Range(1, parts), 1, 3, rapid.ID[uint64])
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at := rapid.IntRange(0, count-1).Draw(t, "at")
			switch rapid.SampledFrom([]string{"crash", "complete", "pass"}).Draw(t, "event") {
			case "crash":
				d.crashPrompts(at, prompt("o", ids.Draw(t, "parts")...), prompt("o", ids.Draw(t, "beside")...))
			case "complete":
				d.registers[at].Completed(d.now, prompt("o", ids.Draw(t, "completed")...))
			case "pass":
				d.exchange(min(at, count-2))
			}
		}
		d.converge()
		for n := range 1 << parts {
			var set []uint64
			for id := range uint64(parts) {
				if n>>id&1 == 1 {
					set = append(set, id+1)
				}
			}
			is := d.refusesPrompt(0, "o", set...)
			for at := range count {
				if d.refusesPrompt(at, "o", set...) != is {
					t.Fatalf("daemons disagree on whether parts %v are refused: %v", set, d.changes)
				}
			}
		}
	})
}
