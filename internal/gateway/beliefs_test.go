package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// longestBelief is the longest time for which a breaker, the slowest of the beliefs, may
// keep a sound endpoint out of use, and some requests more. See docs/design/beliefs.md.
const longestBelief = 30*time.Second + 5*time.Second

// condition is what happens to those who connect to an endpoint.
type condition int

const (
	conditionSound condition = iota
	// conditionCut: this daemon has no path to it, other daemons have.
	conditionCut
	// conditionCutFromAll: no daemon has a path to it.
	conditionCutFromAll
	conditionSilent
	conditionGone
	// conditionRefusing: the network refuses connections in its place.
	conditionRefusing
)

// incident is a disruption of some endpoints.
type incident struct {
	kind      string
	endpoints []string
	lasts     time.Duration
	// readEvery is the time between two replies that the registry's reader gets meanwhile.
	readEvery time.Duration
	pause     time.Duration
}

// The kinds of incidents.
const (
	incidentLapse   = "entry lapses and returns"
	incidentCut     = "cut from this daemon"
	incidentCutAll  = "cut from all daemons until the entry lapses"
	incidentSilence = "silence"
	incidentCrash   = "crash and a later start"
	incidentReplace = "crash and a return under another id"
	incidentReset   = "connections break"
	// incidentEnd: at first nobody reaches the endpoint, then others find that nothing
	// listens there.
	incidentEnd = "end that is presumed and then confirmed"
)

var incidentKinds = []string{
	incidentLapse, incidentCut, incidentCutAll, incidentSilence, incidentCrash, incidentReplace, incidentReset, incidentEnd,
}

func drawIncidents(t *rapid.T) []incident {
	seconds := func(least, most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * 100 * time.Millisecond
	}
	pools := [][]string{{"s0"}, {"s0", "s1"}, {"s0", "s1", "s2"}, {"e1"}, {"e0", "e1", "e2"}, {"s0", "s1", "s2", "e0", "e1", "e2"}}
	out := make([]incident, rapid.IntRange(1, 4).Draw(t, "incidents"))
	for i := range out {
		kind := rapid.SampledFrom(incidentKinds).Draw(t, "kind")
		candidates := pools
		if kind == incidentEnd {
			candidates = [][]string{{"s0", "s1", "s2"}, {"e0", "e1", "e2"}}
		}
		out[i] = incident{
			kind: kind, endpoints: rapid.SampledFrom(candidates).Draw(t, "endpoints"),
			lasts: seconds(0, 60, "lasts"), readEvery: seconds(1, 15, "read every"), pause: seconds(0, 30, "pause"),
		}
	}
	return out
}

// soundWorld simulates endpoints, their registry and other daemons around a gateway.
type soundWorld struct {
	*harness
	*fakeEndpoints
	// view and table are what the gateway follows, and the replicated state behind it.
	view  *fakeView
	table *spread.Table[membership.Endpoint]

	mu         sync.Mutex
	conditions map[string]condition
	// starts counts the starts of each endpoint, resets its connections that were broken.
	starts, resets map[string]uint64
	entries        map[string]port.Endpoint
	revision       port.StoreRevision
	// changes are the registry's changes that were not read yet.
	changes []port.ListedEndpoint
	// replaced are the ids that are no longer used.
	replaced map[string]bool
	requests int
}

func newSoundWorld() *soundWorld {
	b := newIdleHarness()
	w := &soundWorld{
		harness: b, fakeEndpoints: b.backends, view: b.view, table: membership.NewEndpointTable(),
		conditions: make(map[string]condition), starts: make(map[string]uint64), resets: make(map[string]uint64),
		entries: make(map[string]port.Endpoint), replaced: make(map[string]bool),
	}
	limits := breaker.Options{Failures: 3, OpenFor: 500 * time.Millisecond, MaxOpenFor: 4 * time.Second, MaxEndpoints: 100}
	b.breakers, b.refusals = breaker.NewSet(limits), breaker.NewSet(limits)
	b.Endpoints, b.Relayer = w, w
	b.view.members = []port.Member{
		{ID: "g", State: port.MemberLive, CallerAddress: "g", PeerAddress: "g"},
		{ID: "peer", State: port.MemberLive, CallerAddress: "peer", PeerAddress: "peer"},
	}
	for _, e := range b.view.endpoints {
		w.register(e)
	}
	w.read()
	return w
}

// register writes the entry of an endpoint's present start.
func (w *soundWorld) register(e port.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	e.Incarnation, e.Revision, e.State = 1+w.starts[e.ID], w.revision, port.EndpointLive
	w.entries[e.ID] = e
	w.changes = append(w.changes, port.ListedEndpoint{Endpoint: e})
}

func (w *soundWorld) unregister(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.changes = append(w.changes, port.ListedEndpoint{Endpoint: port.Endpoint{ID: id, Revision: w.revision}, Removed: true})
}

// read applies the changes since the last reply to the replicated state and the view.
func (w *soundWorld) read() {
	w.mu.Lock()
	changes := w.changes
	w.changes = nil
	w.mu.Unlock()
	for _, c := range changes {
		known, found := w.table.Get(c.ID)
		switch {
		case !c.Removed:
			w.table.Merge(membership.Listed(c.Endpoint))
		case found && known.EntryRevision <= c.Revision:
			w.table.Merge(membership.Removed(known, c.Revision))
		}
	}
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.endpoints = nil
	for e := range w.table.All() {
		w.view.endpoints = append(w.view.endpoints, e.Endpoint)
	}
	close(w.view.changed)
	w.view.changed = make(chan struct{})
}

func (w *soundWorld) set(ids []string, c condition) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.conditions[id] = c
		if c == conditionGone {
			w.starts[id]++
		}
		w.resets[id]++
	}
}

// state returns the condition of an endpoint, and what changes when its open connections
// break.
func (w *soundWorld) state(id string) (c condition, connection [2]uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conditions[id], [2]uint64{w.starts[id], w.resets[id]}
}

// answerTime is how long an endpoint takes to answer a request.
const answerTime = 120 * time.Millisecond

func (w *soundWorld) Send(ctx context.Context, x *port.Exchange) (*port.Answer, error) {
	e := x.Endpoint
	w.fakeEndpoints.mu.Lock()
	w.sent = append(w.sent, *x)
	w.fakeEndpoints.mu.Unlock()
	c, connection := w.state(e.ID)
	switch c {
	case conditionSilent:
		w.ObservePath(e, port.PathConnected, nil)
		<-ctx.Done()
		return nil, merry.Wrap(port.ErrEndpointLost, merry.WithCause(ctx.Err()))
	case conditionSound:
	default:
		w.ObservePath(e, port.PathConnectFailed, errReset)
		return nil, port.ErrNotSent
	}
	w.ObservePath(e, port.PathConnected, nil)
	time.Sleep(answerTime)
	if now, present := w.state(e.ID); now != conditionSound || present != connection {
		return nil, port.ErrEndpointLost
	}
	w.ObservePath(e, port.PathAnswered, nil)
	return &port.Answer{Status: http.StatusOK, Header: http.Header{}, Length: 4, Delimited: true, Body: io.NopCloser(strings.NewReader("fine"))}, nil
}

func (w *soundWorld) CheckPresence(ctx context.Context, e port.Endpoint, _ string) port.Presence {
	c, _ := w.state(e.ID)
	switch c {
	case conditionSilent:
		w.ObservePath(e, port.PathBroken, errReset)
		return port.PresenceSilent
	case conditionGone, conditionRefusing:
		w.ObservePath(e, port.PathConnectFailed, errReset)
		return port.PresenceGone
	case conditionSound:
	default:
		<-ctx.Done()
		w.ObservePath(e, port.PathSilent, ctx.Err())
		return port.PresenceUnknown
	}
	w.ObservePath(e, port.PathReached, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Kind == port.KindRunner && e.Incarnation < 1+w.starts[e.ID] {
		return port.PresenceReplaced
	}
	return port.PresenceServing
}

func (w *soundWorld) CheckPath(ctx context.Context, e port.Endpoint, path string) port.Presence {
	return w.CheckPresence(ctx, e, path)
}

// Relay serves all requests: the peer has paths.
func (w *soundWorld) Relay(_ context.Context, _ *port.Member, _ *RelayedRequest, out Responder) (*RelayResult, error) {
	return &RelayResult{}, errors.Join(out.Begin(http.StatusOK, http.Header{}, 0))
}

// CheckEndpoint answers for the peer.
func (w *soundWorld) CheckEndpoint(_ context.Context, _ *port.Member, e port.Endpoint) (reached, known bool) {
	c, _ := w.state(e.ID)
	return c == conditionSound || c == conditionCut, c != conditionCutFromAll
}

// setPeerPaths sets whether the peer has paths to the pools of some endpoints.
func (w *soundWorld) setPeerPaths(ids []string, lost bool) {
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.members = slices.Clone(w.view.members)
	peer := &w.view.members[1]
	peer.LostPools = nil
	for _, id := range ids {
		if pool := w.entries[id].Pool; lost && !slices.Contains(peer.LostPools, pool) {
			peer.LostPools = append(peer.LostPools, pool)
		}
	}
}

// play lets an incident happen and end.
func (w *soundWorld) play(i incident) {
	ids := slices.DeleteFunc(slices.Clone(i.endpoints), func(id string) bool { return w.replaced[id] })
	lapse, start := false, false
	switch i.kind {
	case incidentLapse:
		lapse = true
	case incidentCut:
		w.set(ids, conditionCut)
	case incidentCutAll:
		w.set(ids, conditionCutFromAll)
		w.setPeerPaths(ids, true)
		lapse = true
	case incidentSilence:
		w.set(ids, conditionSilent)
	case incidentReset:
		w.set(ids, conditionSound)
	case incidentCrash, incidentReplace:
		w.set(ids, conditionGone)
		lapse, start = i.lasts > 0, true
	case incidentEnd:
		w.set(ids, conditionRefusing)
		w.setPeerPaths(ids, true)
		time.Sleep(i.lasts)
		w.setPeerPaths(ids, false)
		lapse = true
	}
	time.Sleep(i.lasts / 2)
	if lapse {
		for _, id := range ids {
			w.unregister(id)
		}
	}
	time.Sleep(i.lasts / 2)
	w.set(slices.DeleteFunc(slices.Clone(ids), func(string) bool { return start }), conditionSound)
	w.setPeerPaths(ids, false)
	for _, id := range ids {
		w.restore(id, lapse || start, i.kind == incidentReplace)
	}
	time.Sleep(i.pause)
}

// restore makes an endpoint sound, under another id if it is replaced.
func (w *soundWorld) restore(id string, register, replace bool) {
	entry := w.entries[id]
	if replace {
		w.replaced[id] = true
		entry.ID, entry.Address = id+"'", id+"':1"
	} else {
		w.mu.Lock()
		w.conditions[id] = conditionSound
		w.mu.Unlock()
	}
	if register {
		w.register(entry)
	}
}

// request sends a request whose caller waits for two seconds.
func (w *soundWorld) request(ctx context.Context, path string) {
	pass, refusal := w.Admit("h", path, "aa")
	if refusal != nil {
		return
	}
	w.mu.Lock()
	w.requests++
	id := fmt.Sprint("q", w.requests)
	w.mu.Unlock()
	r := &Request{
		ID: id, Method: "POST", Target: path, Host: "h", Header: http.Header{}, Admission: pass,
		Arrived: time.Now(), CallerTimeout: 2 * time.Second, Path: path, KeySHA256: "aa", Body: []byte(id),
	}
	if pass.Route.Streams {
		r.Generation = &GenerationParams{Model: "m", PromptTokens: 100, MaxTokens: 10}
	}
	w.Serve(ctx, r, &fakeCaller{})
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// requestEvery is the time between two requests on a route.
const requestEvery = 200 * time.Millisecond

// run plays incidents under traffic, lets the world be sound for longestBelief, and
// returns what still keeps an endpoint out of use.
func (w *soundWorld) run(incidents []incident) (standing []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { w.Run(ctx) })
	for _, path := range []string{"/safe/", "/once/", "/two/", "/stream/"} {
		background.Go(func() { every(ctx, requestEvery, func() { go w.request(ctx, path) }) })
	}
	for _, i := range incidents {
		reading, stop := context.WithCancel(ctx)
		background.Go(func() { every(reading, i.readEvery, w.read) })
		w.play(i)
		stop()
		synctest.Wait()
	}
	w.read()
	time.Sleep(longestBelief)
	w.fakeEndpoints.mu.Lock()
	w.sent = nil
	w.fakeEndpoints.mu.Unlock()
	time.Sleep(20 * requestEvery)
	standing = w.standing()
	cancel()
	background.Wait()
	// The last requests and their checks end.
	time.Sleep(longestBelief)
	return standing
}

// standing returns why endpoints of the world, which is sound, are out of use.
func (w *soundWorld) standing() (out []string) {
	used := w.arrivals()
	for id, entry := range w.entries {
		if w.replaced[id] {
			continue
		}
		e, _ := w.endpointTable.get(id)
		for what, stands := range map[string]bool{
			"not live": e.State != port.EndpointLive, "lost": w.paths.IsLost(id), "down": w.crashWatch.IsDown(e.Endpoint),
			"down at an earlier start": w.isDownAtEarlierStart(e.Endpoint),
			"paused":                   w.IsPaused(e.Endpoint), "breaker": w.breakers.Open(w.Clock(), id), "refusing": w.refusals.Open(w.Clock(), id),
			"of an earlier start": e.Incarnation != entry.Incarnation, "not used": !slices.Contains(used, id),
		} {
			if stands {
				out = append(out, id+": "+what)
			}
		}
	}
	if lost := w.paths.LostPools(); len(lost) > 0 {
		out = append(out, fmt.Sprint("lost pools ", lost))
	}
	if n := w.crashWatch.PendingChecks(); n > 0 {
		out = append(out, fmt.Sprint(n, " pending checks"))
	}
	slices.Sort(out)
	return out
}

func (w *soundWorld) isDownAtEarlierStart(e port.Endpoint) bool {
	for e.Incarnation--; e.Incarnation > 0; e.Incarnation-- {
		if w.crashWatch.IsDown(e) {
			return true
		}
	}
	return false
}

// Guards against beliefs that keep sound endpoints out of use after drawn disruptions.
func TestNoBeliefOutlastsItsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		incidents := drawIncidents(rt)
		var standing []string
		synctest.Test(t, func(*testing.T) { standing = newSoundWorld().run(incidents) })
		if len(standing) > 0 {
			rt.Fatalf("%s\nafter %+v", strings.Join(standing, "\n"), incidents)
		}
	})
}
