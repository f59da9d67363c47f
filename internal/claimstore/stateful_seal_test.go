package claimstore

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const sealingSteps = 300

// expirySetup lets keys expire within a few steps and moves each tombstone to
// a sealed part, so that slots are filled, freed and reused under faults.
var expirySetup = setup{
	keys: 10, actions: sealingActions, timeStep: 2 * time.Minute, keysExpire: true,
	limits: claim.Limits{
		Retention: 4 * time.Minute, TombstoneRetention: 8 * time.Minute, NotRunRetention: 24 * time.Hour, SealBytes: 1,
	},
}

// sealingActions has more claims and time steps than actions, so that keys
// expire often.
var sealingActions = slices.Concat(actions, actions, []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "dispatch", "dispatch", "dispatch",
	"wake", "wake", "time", "time", "time", "time", "time", "time",
})

// Checks sealing against an oracle: keys expire and their tombstones move from
// the head to sealed parts, under the faults of TestClaimsAgainstOracle. In
// any order of events, a second attempt may get a key only if the first was
// settled as not_run, or was dated longer ago than the retentions of claims
// and tombstones together. An attempt that was reported as not_run must not
// run, and new keys must be granted once all faults have ended.
func TestSealedClaimsAgainstOracle(t *testing.T) {
	total := &sealTotals{}
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt, &expirySetup)
		for range sealingSteps {
			m.step()
			total.count(m)
		}
		m.heal()
		m.checkUsable()
		total.steps += m.steps
	})
	t.Logf("%d steps, %d parts sealed, %d of them in a slot used before", total.steps, total.sealed, total.reused)
	if total.steps < 10_000 || total.sealed < 500 || total.reused < 100 {
		t.Fatal("fewer than 10000 steps, 500 sealed parts or 100 reused slots")
	}
}

// sealTotals counts the sealed parts of all runs.
type sealTotals struct {
	steps, sealed, reused int
	// machine is the one that is running; seen and used hold its parts and
	// slots.
	machine *machine
	seen    map[claim.Part]bool
	used    map[int]bool
}

func (n *sealTotals) count(m *machine) {
	if n.machine != m {
		n.machine, n.seen, n.used = m, map[claim.Part]bool{}, map[int]bool{}
	}
	object, err := m.platform.Store.Get(context.Background(), port.ObjectClaims, "shard-0000")
	if err != nil {
		return
	}
	stored, err := claim.DecodeValue(object.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, p := range stored.Parts() {
		m.checkPart(p)
		if n.seen[p] {
			continue
		}
		n.seen[p] = true
		n.sealed++
		if n.used[p.Slot] {
			n.reused++
		}
		n.used[p.Slot] = true
	}
}

// checkPart checks that the object of a slot has the version that the head
// lists.
func (m *machine) checkPart(p claim.Part) {
	name := (&shard{name: "shard-0000"}).partName(p.Slot)
	object, err := m.platform.Store.Get(context.Background(), port.ObjectClaims, name)
	if err != nil || object.Version != p.Version {
		m.t.Fatalf("part %+v is at version %d, %v", p, object.Version, err)
	}
}

// checkGrants fails if two attempts that may both have run were granted the
// same key before the earlier claim and its tombstone expired. The store dates
// a claim between its request and its response, so the check takes the longest
// time that can lie between the two claims: if that is too short, they break
// the rule whichever came first.
func (m *machine) checkGrants() {
	earlierByKey := map[byte][]*attempt{}
	for _, b := range m.attempts {
		if !b.mayHaveRun() {
			continue
		}
		for _, a := range earlierByKey[b.key] {
			if latest(a.answeredAt, b.answeredAt).Sub(earliest(a.requestedAt, b.requestedAt)) <= m.limits.Retention+m.limits.TombstoneRetention {
				m.t.Fatalf("key %d was granted to %s and %s:\n%s", a.key, a.id, b.id, m.history(a.key))
			}
		}
		earlierByKey[b.key] = append(earlierByKey[b.key], b)
	}
}

// mayHaveRun reports whether the attempt was granted its key and may have run.
func (a *attempt) mayHaveRun() bool { return a.granted && !a.reportedNotRun }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkUsable checks that every key is granted again after all claims and
// tombstones have expired.
func (m *machine) checkUsable() {
	m.now = m.now.Add(2 * (m.limits.Retention + m.limits.TombstoneRetention))
	for _, key := range []byte{200, 201, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9} {
		r := m.stores[0].Claim(context.Background(), []port.ClaimEntry{entry(key, "last")})[0]
		if r.Verdict != port.ClaimGranted {
			m.t.Fatalf("key %d: %+v\n%s", key, r, m.history(key))
		}
	}
}
