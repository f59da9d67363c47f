package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Guards against probes of ended runners that delay the one of a runner about to leave.
func TestOnlyEndpointsThatLiveAreAskedWhileThePlatformIsAway(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	k.options.ProbeWhenAway = true
	k.putEndpoint(membership.Listed(listed("lives", 1, port.EndpointLive).Endpoint), "listed")
	for i := range 20 {
		known := membership.Listed(listed(fmt.Sprint("ended-", i), 1, port.EndpointLive).Endpoint)
		k.putEndpoint(membership.Removed(known, 7), "no_longer_registered")
	}
	share := k.probeShare()
	if len(share) != 1 || share[0].ID != "lives" {
		t.Fatalf("%d endpoints are asked, one lives", len(share))
	}
}

// registry is the platform's registry of endpoints: an ordered history, of
// which the oldest part may be gone.
type registry struct {
	revision port.StoreRevision
	entries  map[string]port.ListedEndpoint
	history  []port.ListedEndpoint
	// gone is the revision up to which the history is dropped.
	gone port.StoreRevision
	away bool
}

func (r *registry) put(e port.ListedEndpoint) {
	r.revision++
	e.Revision = r.revision
	r.history = append(r.history, e)
	if e.Removed {
		delete(r.entries, e.ID)
		return
	}
	r.entries[e.ID] = e
}

func (r *registry) ListEndpoints(context.Context) ([]port.ListedEndpoint, port.StoreRevision, error) {
	if r.away {
		return nil, 0, port.ErrPlatformUnavailable
	}
	var out []port.ListedEndpoint
	for _, e := range r.entries {
		out = append(out, e)
	}
	return out, r.revision, nil
}

func (r *registry) WatchEndpoints(_ context.Context, after port.StoreRevision, _ time.Duration) ([]port.ListedEndpoint, port.StoreRevision, error) {
	switch {
	case r.away:
		return nil, 0, port.ErrPlatformUnavailable
	case after.Revision() < r.gone.Revision(), after.Revision() > r.revision.Revision():
		return nil, 0, port.ErrRevisionGone
	}
	var out []port.ListedEndpoint
	for _, e := range r.history {
		if e.Revision.Revision() > after.Revision() {
			out = append(out, e)
		}
	}
	return out, r.revision, nil
}

func newRegistryKeeper(r *registry) *Keeper {
	k, _ := newTestKeeper(newFakePlatform())
	k.options.Endpoints = r
	k.options.LapseGrace = time.Microsecond
	return k
}

func listed(id string, incarnation uint64, state port.EndpointState) port.ListedEndpoint {
	return port.ListedEndpoint{Endpoint: port.Endpoint{
		ID: id, Kind: port.KindRunner, Pool: "p", Address: "127.0.0.1:1", Incarnation: incarnation, State: state,
	}}
}

// Entries come, drain, are removed and come back, runners start again under
// their id, entries of an earlier start arrive late, the history is dropped and
// the platform goes away: after the next good call the keeper holds as live
// just the endpoints that the registry names as live, and never an older start
// than it has seen.
func TestKeeperHoldsWhatTheRegistryNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &registry{entries: map[string]port.ListedEndpoint{}}
		k := newRegistryKeeper(r)
		s := &endpointSource{keeper: k}
		w := newWatch(k, "endpoints", s)
		born := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				r.put(listed(id, born[id], port.EndpointLive))
			case 1:
				r.put(listed(id, born[id], port.EndpointLeaving))
			case 2:
				r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
			case 3:
				born[id]++
				r.put(listed(id, born[id], port.EndpointLive))
			case 4:
				r.gone = r.revision
			case 5:
				r.away = !r.away
			default:
				w.step(t.Context())
			}
		}
		r.away = false
		// Twice: the first may find that the history is gone.
		for range 3 {
			w.step(t.Context())
		}
		s.wait()
		live := map[string]bool{}
		for _, e := range k.Endpoints() {
			live[e.ID] = e.State == port.EndpointLive
		}
		for i := range 4 {
			id := fmt.Sprint("e", i)
			entry, named := r.entries[id]
			if want := named && entry.State == port.EndpointLive; live[id] != want {
				t.Fatalf("%s is held as live: %v, the registry says %v", id, live[id], want)
			}
		}
	})
}

// The platform was away and entries lapsed meanwhile. Taken for gone at once,
// every runner would be lost to callers in the second in which it returns;
// those that live are back in the list within a moment, the others go then.
func TestLapsedEntriesAreBelievedForAMoment(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	k.options.LapseGrace = 50 * time.Millisecond
	s := &endpointSource{keeper: k}
	w := newWatch(k, "endpoints", s)
	r.put(listed("back", 1, port.EndpointLive))
	r.put(listed("gone", 1, port.EndpointLive))
	w.step(t.Context())
	r.away = true
	w.step(t.Context())
	clear(r.entries)
	r.gone = r.revision
	r.away = false
	w.step(t.Context())
	if n := countLive(k); n != 2 {
		t.Fatalf("%d live right after the platform's return, want both", n)
	}
	r.put(listed("back", 1, port.EndpointLive))
	w.step(t.Context())
	s.wait()
	if n := countLive(k); n != 1 {
		t.Fatalf("%d live after the grace, want the one that is back", n)
	}
}

// While the platform answers, a history that is gone hides nothing: what the
// list leaves out has been removed.
func TestGoneHistoryHidesNoRemoval(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	k.options.LapseGrace = time.Hour
	w := newWatch(k, "endpoints", &endpointSource{keeper: k})
	r.put(listed("e", 1, port.EndpointLive))
	w.step(t.Context())
	r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: "e"}, Removed: true})
	r.gone = r.revision
	w.step(t.Context())
	w.step(t.Context())
	if n := countLive(k); n != 0 {
		t.Fatal("an endpoint that was removed in the gap is still live")
	}
}

func countLive(k *Keeper) int {
	n := 0
	for _, e := range k.Endpoints() {
		if e.State == port.EndpointLive {
			n++
		}
	}
	return n
}

// A runner is reclaimed while the platform is away, so its notice is in no
// registry. It says so itself when asked; one that can't be reached may as well
// be behind a cut, and is not given up for it.
func TestProbesFindLeaversOnlyWhileThePlatformIsAway(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	prober := &fakeProber{reports: map[string]port.LoadReport{}}
	k.options.Prober, k.options.ProbeWhenAway = prober, true
	for _, id := range []string{"leaver", "silent"} {
		k.putEndpoint(membership.Listed(listed(id, 1, port.EndpointLive).Endpoint), "listed")
	}
	prober.set(port.LoadReport{EndpointID: "leaver", Incarnation: 1, State: port.EndpointLeaving})
	prober.silence("silent")
	now := time.Now()
	k.called(now, true)
	if k.away(now) {
		t.Fatal("away although the platform has just answered")
	}
	if !k.away(now.Add(k.options.WatchWait + 2*awaySlack)) {
		t.Fatal("not away although the platform is long silent")
	}
	w := newWatch(k, "endpoints", &endpointSource{keeper: newRegistryKeeper(&registry{away: true})})
	w.step(t.Context())
	if !k.away(now) {
		t.Fatal("not away although the platform has just refused this keeper")
	}
	for range missesToFail + 1 {
		k.probeRound(t.Context(), k.probeShare())
	}
	for _, e := range k.Endpoints() {
		if e.ID == "leaver" && e.State != port.EndpointLeaving {
			t.Errorf("%s after the runner said that it leaves", e.State)
		}
		if e.ID == "silent" && (e.State != port.EndpointLive || e.Unreachable) {
			t.Errorf("a silent runner is %s, unreachable %v", e.State, e.Unreachable)
		}
	}
}
