package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const routingPath = "/admin/v1/" + port.ObjectRoutingConfiguration + "/" + procs.DemoModel

func routingDocument(queue int) procs.Document {
	return procs.Document{
		SchemaVersion: 1, Kind: port.ObjectRoutingConfiguration, Name: procs.DemoModel,
		Spec: procs.RoutingSpec{
			Model: procs.DemoModel, Weights: procs.RoutingWeights{Overflow: 4, Gap: 1},
			HoldMillis: 5000, QueueLimit: queue,
		},
	}
}

// readRouting returns the entity tag and the body of the routing configuration.
func readRouting(t *testing.T, keeper *procs.Daemon) (tag, body string) {
	t.Helper()
	reply, err := procs.Admin(testContext(t), keeper, http.MethodGet, routingPath, "", nil)
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("read: %v %+v", err, reply)
	}
	return reply.Header.Get("ETag"), string(reply.Body)
}

// version parses an entity tag as a version of the platform.
func version(t *testing.T, tag string) uint64 {
	t.Helper()
	var v uint64
	if err := json.Unmarshal([]byte(strings.Trim(tag, `"`)), &v); err != nil {
		t.Fatalf("entity tag %q: %v", tag, err)
	}
	return v
}

// revise writes the routing configuration and returns its new version.
func revise(t *testing.T, keeper *procs.Daemon, queue int) uint64 {
	t.Helper()
	tag, _ := readRouting(t, keeper)
	reply, err := procs.Admin(testContext(t), keeper, http.MethodPut, routingPath, tag, routingDocument(queue))
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("revise: %v %+v", err, reply)
	}
	return version(t, reply.Header.Get("ETag"))
}

// placementVersion returns the configuration version that the router used to
// place a new request.
func placementVersion(t *testing.T, s *procs.System, router *procs.Daemon) uint64 {
	t.Helper()
	answer := generate(t, s, router, "which configuration")
	decisions, err := s.Explain(testContext(t), "requests", answer.RequestID)
	if err != nil || len(decisions) == 0 {
		t.Fatalf("no decision for %s: %v", answer.RequestID, err)
	}
	placed := uint64(0)
	for _, d := range decisions {
		if d.Verdict == port.VerdictPlace.String() {
			placed = d.ConfigurationVersion
		}
	}
	return placed
}

func waitConfigurationVersion(t *testing.T, s *procs.System, want uint64) {
	t.Helper()
	for _, router := range s.Routers {
		procs.Until(t, router.ID+" uses the new configuration version", func() bool {
			return placementVersion(t, s, router) >= want
		})
	}
}

// Two operators revise the same record at once, each through a different keeper
// and from the same version. Exactly one must succeed; the other must get a
// conflict with the winning content. No write may be lost or mixed, and the
// routers must use the winning version.
func TestConcurrentRevisionsConflict(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	tag, _ := readRouting(t, s.Keepers[0])
	for round := range 8 {
		replies := make([]*procs.Reply, len(s.Keepers))
		errs := make([]error, len(s.Keepers))
		done := make(chan struct{})
		ctx := testContext(t)
		for i, keeper := range s.Keepers {
			go func() {
				replies[i], errs[i] = procs.Admin(ctx, keeper, http.MethodPut, routingPath, tag, routingDocument(1000*round+i+1))
				done <- struct{}{}
			}()
		}
		winner := -1
		for range s.Keepers {
			<-done
		}
		for i := range s.Keepers {
			if errs[i] != nil {
				t.Fatal(errs[i])
			}
			switch replies[i].Status {
			case http.StatusOK:
				if winner >= 0 {
					t.Fatalf("round %d: both writes succeeded", round)
				}
				winner = i
			case http.StatusPreconditionFailed, http.StatusConflict:
			default:
				t.Fatalf("round %d: status %d %s", round, replies[i].Status, replies[i].Body)
			}
		}
		if winner < 0 {
			t.Fatalf("round %d: no write succeeded", round)
		}
		queue := fmt.Sprint(1000*round + winner + 1)
		if body := string(replies[1-winner].Body); !strings.Contains(body, queue) {
			t.Fatalf("round %d: the conflict does not show the winning queue limit %s: %s", round, queue, body)
		}
		// The next round starts from the newest version, since the copy of a
		// keeper may be seconds old.
		tag = replies[winner].Header.Get("ETag")
	}
	waitConfigurationVersion(t, s, version(t, tag))
}

// Loses the reply of the platform to a record write. The operator must not get
// an error, since the write succeeded.
func TestRecordWriteSucceedsWhenReplyIsLost(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	for i := range 3 {
		tag, _ := readRouting(t, s.Keepers[0])
		setFaults(t, s.Platform, platform.Faults{LoseReplies: 1})
		reply, err := procs.Admin(testContext(t), s.Keepers[0], http.MethodPut, routingPath, tag, routingDocument(700+i))
		setFaults(t, s.Platform, platform.Faults{})
		if err != nil || reply.Status != http.StatusOK {
			t.Fatalf("reply to the write: %v %+v", err, reply)
		}
		procs.Until(t, "the other keeper shows the write", func() bool {
			_, body := readRouting(t, s.Keepers[1])
			return strings.Contains(body, fmt.Sprint(700+i))
		})
	}
}

// Replaces every router, one after the other, while the platform is down.
// Requests must be served throughout, and no router may use an older
// configuration than the one in force before.
func TestRouterReplacementWithThePlatformDown(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	floor := uint64(0)
	for i := range 3 {
		floor = revise(t, s.Keepers[0], 600+i)
	}
	waitConfigurationVersion(t, s, floor)
	s.Platform.Kill()
	for i, old := range s.Routers {
		replacement, err := s.AddRouter(testContext(t), fmt.Sprintf("router-new-%d", i+1), old.FailureDomain)
		if err != nil {
			t.Fatal(err)
		}
		waitServing(t, s, replacement)
		st := openStream(t, s.Caller(procs.DemoOrganisation), []string{old.Address}, "report", 60)
		st.waitTokens(1)
		if err := old.Terminate(); err != nil {
			t.Fatal(err)
		}
		st.mustComplete(t, 60)
		<-old.Exited()
		waitDelisted(t, s, replacement, old)
		s.Routers[i] = replacement
		s.Routers = s.Routers[:2]
		for _, router := range s.Routers {
			if got := placementVersion(t, s, router); got < floor {
				t.Fatalf("%s uses configuration version %d, but %d was in force", router.ID, got, floor)
			}
		}
	}
}

// Restarts a router while the platform and the keepers are down. It must get
// the records from its peers before it serves.
func TestRouterReplacementWithoutPlatformAndKeepers(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	floor := revise(t, s.Keepers[0], 600)
	waitConfigurationVersion(t, s, floor)
	s.Platform.Kill()
	for _, keeper := range s.Keepers {
		keeper.Kill()
	}
	old := s.Routers[0]
	if err := old.Terminate(); err != nil {
		t.Fatal(err)
	}
	<-old.Exited()
	if err := s.Restart(testContext(t), old); err != nil {
		t.Fatal(err)
	}
	waitServing(t, s, old)
	if got := placementVersion(t, s, old); got < floor {
		t.Fatalf("the restarted router uses configuration version %d, but %d was in force", got, floor)
	}
}
