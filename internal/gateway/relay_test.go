package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// relayNet connects the gateways of harnesses. It implements Relayer.
type relayNet struct {
	peers map[string]*harness
	// breakWith holds the errors that connections to peers break with, after the peer
	// has served the request unless the error is ErrRelayNotAccepted.
	breakWith map[string]error
	asked     []string
}

func (n *relayNet) Relay(ctx context.Context, peer *port.Member, r *RelayedRequest, out Responder) (*RelayResult, error) {
	n.asked = append(n.asked, peer.ID)
	err := n.breakWith[peer.ID]
	if errors.Is(err, ErrRelayNotAccepted) {
		return nil, err
	}
	passed := *r
	passed.SenderVersion, passed.Admission = r.Admission.Version, Admission{}
	at := n.peers[peer.ID]
	if refusal := at.AcceptRelayed(&passed); refusal != nil {
		return &RelayResult{Refusal: refusal}, nil
	}
	defer passed.ReleaseMemory()
	if err != nil {
		_, _ = at.ServeRelayed(ctx, &passed, &fakeCaller{})
		return nil, err
	}
	endpoint, refusal := at.ServeRelayed(ctx, &passed, out)
	return &RelayResult{Refusal: refusal, Endpoint: endpoint}, nil
}

func (n *relayNet) CheckEndpoint(_ context.Context, peer *port.Member, e port.Endpoint) (reached, known bool) {
	return n.peers[peer.ID].CheckEndpoint(e.ID, e.Incarnation)
}

// newRelayHarness returns a harness whose plain pool is lost, with the given number of
// peers that have paths.
func newRelayHarness(t *testing.T, peers int) (*harness, *relayNet) {
	t.Helper()
	net := &relayNet{peers: map[string]*harness{}, breakWith: map[string]error{}}
	b := newHarness(t)
	b.Relayer = net
	b.view.members = []port.Member{{ID: "g", State: port.MemberLive}}
	for i := range peers {
		id := fmt.Sprint("peer", i)
		net.peers[id] = newHarness(t)
		net.peers[id].Relayer = net
		net.peers[id].setHandlers("s", reply(200, "fine"))
		b.view.members = append(b.view.members, port.Member{ID: id, State: port.MemberLive, CallerAddress: id, PeerAddress: id})
	}
	b.setHandlers("s", failure(port.ErrNotSent))
	b.losePool("plain")
	return b, net
}

// Guards against attempts at endpoints that are known to be out of reach.
func TestRequestIsPassedOnIfPoolIsLost(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	got := &fakeCaller{}
	if refusal := b.send(t, "/once/", got); refusal != nil || got.text() != "fine" || len(b.backends.arrivals()) != 0 {
		t.Fatalf("%+v, answer %q, tried here: %v", refusal, got.text(), b.backends.arrivals())
	}
	if n := len(net.peers["peer0"].backends.arrivals()); n != 1 {
		t.Fatalf("%d attempts at the peer", n)
	}
}

// Guards against a second budget of attempts at the daemon that a request is passed on to.
func TestAttemptsOfBothDaemonsCountTogether(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	peer := net.peers["peer0"]
	peer.setHandlers("s", failure(port.ErrEndpointLost))
	r := &RelayedRequest{
		Request:  Request{ID: "joint", Method: "POST", Target: "/safe/", Path: "/safe/", Host: "h", KeySHA256: "aa", Arrived: time.Now(), CallerTimeout: time.Minute},
		Attempts: 1, MayHaveRun: 1, Tried: []string{"s0"}, From: b.options().ID,
	}
	if refusal := peer.AcceptRelayed(r); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := peer.ServeRelayed(t.Context(), r, &fakeCaller{})
	if refusal == nil || len(peer.backends.arrivals()) != 1 || slices.Contains(peer.backends.arrivals(), "s0") {
		t.Fatalf("%+v after attempts at %v, want one at another endpoint than s0", refusal, peer.backends.arrivals())
	}
}

// Guards against requests that circulate, or wait, if no daemon has a path.
func TestRequestIsRefusedAtOnceIfNobodyHasPath(t *testing.T) {
	b, net := newRelayHarness(t, 4)
	for _, peer := range net.peers {
		peer.losePool("plain")
	}
	began := time.Now()
	refusal := b.send(t, "/once/", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseNoPath || refusal.Outcome != outcome.NotRun || refusal.RetryAfter < noPathRetry || time.Since(began) > time.Second {
		t.Fatalf("%+v after %v", refusal, time.Since(began))
	}
	if len(net.asked) != maxRelayPeers {
		t.Errorf("asked %v, want each of %d once", net.asked, maxRelayPeers)
	}
	for i := range b.view.members {
		b.view.members[i].LostPools = []string{"plain"}
	}
	net.asked = nil
	if refusal := b.send(t, "/safe/", &fakeCaller{}); refusal == nil || refusal.Cause != CauseNoPath || len(net.asked) != 0 {
		t.Fatalf("%+v, asked %v although all say that they have no path", refusal, net.asked)
	}
}

// Guards against running a request twice, or giving it up needlessly, when a peer is lost.
func TestLostPeer(t *testing.T) {
	for _, c := range []struct {
		path    string
		err     error
		asked   int
		outcome outcome.Outcome
	}{
		{"/once/", ErrRelayNotAccepted, 2, ""},
		{"/safe/", ErrRelayNotAccepted, 2, ""},
		{"/once/", ErrRelayLost, 1, outcome.Unknown},
		{"/safe/", ErrRelayLost, 2, ""},
	} {
		b, net := newRelayHarness(t, 2)
		for id := range net.peers {
			net.breakWith[id] = c.err
		}
		asked := 0
		b.Relayer = relayFunc(func(ctx context.Context, peer *port.Member, r *RelayedRequest, out Responder) (*RelayResult, error) {
			if asked++; asked == 2 {
				net.breakWith[peer.ID] = nil
			}
			return net.Relay(ctx, peer, r, out)
		})
		refusal := b.send(t, c.path, &fakeCaller{})
		if asked != c.asked || (refusal == nil) != (c.outcome == "") || refusal != nil && refusal.Outcome != c.outcome {
			t.Errorf("%s, %v: %d peers asked, %+v", c.path, c.err, asked, refusal)
		}
	}
}

// relayFunc is a Relayer that can't check endpoints.
type relayFunc func(context.Context, *port.Member, *RelayedRequest, Responder) (*RelayResult, error)

func (f relayFunc) Relay(ctx context.Context, peer *port.Member, r *RelayedRequest, out Responder) (*RelayResult, error) {
	return f(ctx, peer, r, out)
}

func (relayFunc) CheckEndpoint(context.Context, *port.Member, port.Endpoint) (reached, known bool) {
	return false, false
}

// Guards against serving by older routes than those by which the request was admitted.
func TestPeerWithOlderRoutesDeclines(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	b.view.records = []port.Record{recordOf(testTable(2))}
	b.apply()
	refusal := b.send(t, "/once/", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseNoPath || len(net.peers["peer0"].backends.arrivals()) != 0 {
		t.Fatalf("%+v, attempts at the peer: %v", refusal, net.peers["peer0"].backends.arrivals())
	}
}

// Guards against a request that crashes endpoints and escapes its quarantine at a peer.
func TestQuarantinedRequestIsNotPassedOn(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	pass, _ := b.Admit("h", "/once/", "aa")
	req := &Request{ID: "q", Method: "POST", Target: "/once/", Host: "h", Admission: pass, Arrived: time.Now(), CallerTimeout: time.Minute}
	f := b.newExchange(req, &fakeCaller{}).identity().Fingerprint
	for crash := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), crash+1, lossOf(f))
	}
	if refusal := b.Serve(t.Context(), req, &fakeCaller{}); refusal == nil || refusal.Cause != CauseQuarantined || len(net.asked) != 0 {
		t.Fatalf("%+v, asked %v", refusal, net.asked)
	}
}

// Guards against "not run" by a peer for a request that an attempt made here may have run.
func TestOutcomeOfEarlierAttemptIsKept(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	net.peers["peer0"].setHandlers("s", failure(port.ErrNotSent))
	pass, _ := b.Admit("h", "/safe/", "aa")
	req := &Request{ID: "twice", Method: "POST", Target: "/safe/", Path: "/safe/", Host: "h", KeySHA256: "aa", Admission: pass, Arrived: time.Now(), CallerTimeout: time.Minute}
	x := b.newExchange(req, &fakeCaller{})
	x.attempts, x.mayHaveRun = 1, 1
	x.ledger.Add(stream.OutcomeUnknown, false)
	refusal, ended := x.relay(t.Context())
	if !ended || refusal == nil || refusal.Outcome == outcome.NotRun {
		t.Fatalf("%v, %+v", ended, refusal)
	}
}

// A peer's newer routes let a call run twice that must not by the sender's, and its runner's own 503 reaches the caller.
func TestPeerWithNewerRoutesDoesNotRepeatTheSendersCall(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	peer := net.peers["peer0"]
	newer := testTable(2)
	for i := range newer.Routes {
		newer.Routes[i].Repeat, newer.Routes[i].MaxAttempts = route.RepeatSafe, 2
	}
	peer.view.records = []port.Record{recordOf(newer)}
	peer.apply()
	peer.setHandlers("s", func(x *port.Exchange) (*port.Answer, error) {
		a, err := reply(http.StatusServiceUnavailable, "own")(x)
		a.ImpliesNotRun = true
		return a, err
	})
	got := &fakeCaller{}
	refusal := b.send(t, "/once/", got)
	if refusal == nil || refusal.Outcome != outcome.Unknown || got.status != 0 {
		t.Errorf("%+v, status %d for a call that ran", refusal, got.status)
	}
	if runs := peer.backends.arrivals(); len(runs) != 1 {
		t.Errorf("runs at %v, want one", runs)
	}
}

// A peer's newer routes let a stream be resumed that must not be by the sender's, and it runs twice.
func TestPeerWithNewerRoutesDoesNotResumeTheSendersStream(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	peer := net.peers["peer0"]
	newer := testTable(2)
	for i := range newer.Routes {
		newer.Routes[i].Streams, newer.Routes[i].Resumable, newer.Routes[i].MaxAttempts = true, true, 2
	}
	peer.view.records = []port.Record{recordOf(newer)}
	peer.apply()
	peer.setHandlers("s", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
	got := &fakeCaller{}
	refusal := b.send(t, "/once/", got)
	if runs := peer.backends.arrivals(); len(runs) != 1 {
		t.Errorf("runs at %v, want one; %+v after %q", runs, refusal, got.text())
	}
}

// A peer, for example of an earlier build, passes on a status that implies "not run" with an answer of its runner.
func TestRelayedAnswerWithStatusOfRefusalMayHaveRun(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		b, _ := newRelayHarness(t, 2)
		asked := 0
		b.Relayer = relayFunc(func(_ context.Context, _ *port.Member, _ *RelayedRequest, out Responder) (*RelayResult, error) {
			asked++
			if err := out.Begin(status, http.Header{}, 0); err != nil {
				return nil, merry.Wrap(ErrRelayCallerGone, merry.WithCause(err))
			}
			return &RelayResult{Endpoint: "s0"}, nil
		})
		got := &fakeCaller{}
		refusal := b.send(t, "/once/", got)
		if refusal == nil || refusal.Outcome != outcome.Unknown || refusal.ResponseStarted || got.status != 0 || asked != 1 {
			t.Errorf("status %d: %+v, the caller got %d, %d peers asked", status, refusal, got.status, asked)
		}
	}
}

// daemons returns the peers.
func (n *relayNet) daemons() []*harness { return slices.Collect(maps.Values(n.peers)) }
