package membership

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func storeRevision(t interface{ Fatal(...any) }, era, revision uint64) port.StoreRevision {
	r, err := port.NewStoreRevision(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// endpointFromAnySource generates endpoint states from all sources: listed,
// listed by a store restored from a backup, removed, or reported by the endpoint
// itself.
var endpointFromAnySource = rapid.Custom(func(t *rapid.T) Endpoint {
	revision := storeRevision(t, rapid.Uint64Range(0, 2).Draw(t, "era"), rapid.Uint64Range(1, 3).Draw(t, "revision"))
	listing := port.Endpoint{
		ID: "e", Incarnation: oneOf[uint64](1, 2).Draw(t, "incarnation"), Revision: revision,
		State:   oneOf(port.EndpointLive, port.EndpointLeaving).Draw(t, "state"),
		Address: oneOf("a", "b").Draw(t, "address"),
	}
	e := Listed(listing)
	switch rapid.IntRange(0, 4).Draw(t, "source") {
	case 0:
		e = FromRestoredEntry(listing)
	case 1:
		e = WithRenewedEntry(FromRestoredEntry(listing))
	case 2:
		e = Removed(e, revision)
		e.Dropped = e.Dropped && rapid.Bool().Draw(t, "dropped")
	case 3:
		e = WithReport(e, &port.LoadReport{EndpointID: "e", Incarnation: listing.Incarnation, State: port.EndpointLeaving})
	}
	return e
})

func TestEndpointsOfSeveralErasAreASemilattice(t *testing.T) {
	checkLattice(t, EndpointOrder{}, endpointFromAnySource)
}

// A shutdown notice is known. The store is restored from a backup that lacks it
// and lists the endpoint as live at a revision of a later era. The endpoint must
// stay leaving until it registers again or its entry is known to be renewed.
func TestRestoredEntryDoesNotCancelShutdownNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := Removed(Listed(port.Endpoint{ID: "e", Incarnation: 1}), storeRevision(t, 1, rapid.Uint64Range(1, 9).Draw(t, "notice")))
		merged := known
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			restored := FromRestoredEntry(port.Endpoint{
				ID: "e", Incarnation: 1, State: port.EndpointLive, Revision: storeRevision(t, rapid.Uint64Range(2, 4).Draw(t, "era"), rapid.Uint64Range(1, 9).Draw(t, "revision")),
			})
			merged = EndpointOrder{}.Join(merged, restored)
		}
		if merged.State != port.EndpointLeaving {
			t.Fatalf("state %s after entries from backups: %+v", merged.State, merged)
		}
		reregistered := Listed(port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive, Revision: storeRevision(t, 5, 1)})
		if got := (EndpointOrder{}).Join(merged, reregistered).State; got != port.EndpointLive {
			t.Fatalf("state %s although the endpoint registered after the restore", got)
		}
		if got := (EndpointOrder{}).Join(known, WithRenewedEntry(merged)).State; got != port.EndpointLive {
			t.Fatalf("state %s although the registry still lists the endpoint", got)
		}
	})
}

// A single response has an era that doesn't exist. If it took effect, its
// revisions would take precedence over all later data of the store.
func TestEraNeedsTwoResponses(t *testing.T) {
	var e Eras
	for _, step := range []struct {
		era     uint64
		verdict EraVerdict
		changed bool
		current uint64
	}{
		{0, EraInForce, false, 0},
		{900, EraAnnounced, true, 0},
		{0, EraInForce, false, 0},
		{900, EraAnnounced, true, 0},
		{1, EraAnnounced, true, 0},
		{1, EraConfirmed, true, 1},
		{1, EraInForce, false, 1},
		{0, EraRegressed, true, 1},
		{0, EraRegressed, false, 1},
		{1, EraInForce, false, 1},
		{3, EraAnnounced, true, 1},
		{3, EraConfirmed, true, 3},
	} {
		verdict, changed := e.Observe(step.era)
		if verdict != step.verdict || changed != step.changed || e.Current() != step.current {
			t.Fatalf("era %d: verdict %v, news %v, current %d; want %+v", step.era, verdict, changed, e.Current(), step)
		}
	}
	if e.Adopt(2) || !e.Adopt(4) || e.Current() != 4 {
		t.Fatal("an era received from a peer must be adopted if and only if it is later")
	}
	if verdict, _ := e.Observe(4); verdict != EraInForce {
		t.Fatal("an era adopted from a peer must be in force without a second response")
	}
}
