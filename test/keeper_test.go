package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const deploymentPath = "/admin/v1/" + port.ObjectModelDeployment + "/" + procs.DemoModel

// deploy changes the version of the model through a keeper.
func deploy(t *testing.T, keeper *procs.Daemon, version string) {
	t.Helper()
	reply, err := procs.Admin(testContext(t), keeper, http.MethodGet, deploymentPath, "", nil)
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("read the deployment: %v %+v", err, reply)
	}
	body := procs.Document{
		SchemaVersion: 1, Kind: port.ObjectModelDeployment, Name: procs.DemoModel,
		Spec: procs.DeploymentSpec{Model: procs.DemoModel, Version: version, Replicas: 3},
	}
	reply, err = procs.Admin(testContext(t), keeper, http.MethodPut, deploymentPath, reply.Header.Get("ETag"), body)
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("revise the deployment: %v %+v", err, reply)
	}
}

// versions returns the version of the model that is loaded on each runner,
// empty for none.
func versions(t *testing.T, s *procs.System) []string {
	t.Helper()
	var found []string
	for _, e := range s.Engines {
		reply, err := procs.Call(testContext(t), http.MethodGet, e.URL()+"/v1/state", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		var state port.RunnerState
		if err := json.Unmarshal(reply.Body, &state); err != nil {
			t.Fatal(err)
		}
		version := ""
		for _, m := range state.Models {
			if m.Model == procs.DemoModel {
				version = m.Version
			}
		}
		found = append(found, version)
	}
	return found
}

func allAtVersion(t *testing.T, s *procs.System, version string) bool {
	t.Helper()
	for _, v := range versions(t, s) {
		if v != version {
			return false
		}
	}
	return true
}

// checkOrdersAscend fails the test if a runner obeyed an order with a lower
// fencing number, or a load order with a lower version, than the load order
// before it.
func checkOrdersAscend(t *testing.T, s *procs.System) {
	t.Helper()
	for _, e := range s.Engines {
		reply, err := procs.Call(testContext(t), http.MethodGet, e.URL()+"/standin/orders", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		var taken engine.AppliedOrders
		if err := reply.Decode(&taken); err != nil {
			t.Fatal(err)
		}
		var last port.Order
		for _, o := range taken.Orders {
			if o.Fence < last.Fence || o.Kind == port.OrderLoadModel && o.Version < last.Version {
				t.Fatalf("%s obeyed %+v after %+v", e.ID, o, last)
			}
			if o.Kind == port.OrderLoadModel {
				last = o
			}
		}
	}
}

// Pauses a keeper until its lease has expired, after or during a rollout, while
// an operator rolls out the next version through the other keeper. After the
// pause the keeper still assumes that it holds the lease. All runners, with and
// without a check of fencing numbers, must stay at the new version, and none
// may obey an older order after a newer one.
func TestKeeperFrozenPastItsLease(t *testing.T) {
	for frozen := range 2 {
		for _, rolloutDone := range []bool{true, false} {
			t.Run(fmt.Sprintf("keeper-%d rollout done %v", frozen+1, rolloutDone), func(t *testing.T) {
				t.Parallel()
				s := procs.StartDemo(t, nil)
				deploy(t, s.Keepers[frozen], "2")
				if rolloutDone {
					procs.Until(t, "the first rollout is done", func() bool { return allAtVersion(t, s, "2") })
				}
				if err := s.Keepers[frozen].Freeze(); err != nil {
					t.Fatal(err)
				}
				deployAfter(t, s.Keepers[1-frozen], "2", "3")
				procs.Until(t, "the other keeper rolls out", func() bool { return allAtVersion(t, s, "3") })
				if err := s.Keepers[frozen].Thaw(); err != nil {
					t.Fatal(err)
				}
				deployAfter(t, s.Keepers[frozen], "3", "4")
				procs.Until(t, "a rollout after the pause", func() bool {
					checkOrdersAscend(t, s)
					return allAtVersion(t, s, "4")
				})
				checkOrdersAscend(t, s)
				for _, router := range s.Routers {
					waitServing(t, s, router)
				}
			})
		}
	}
}

// deployAfter waits until the keeper shows the version before, and then deploys
// the new one.
func deployAfter(t *testing.T, keeper *procs.Daemon, before, version string) {
	t.Helper()
	want := fmt.Sprintf(`"version":%q`, before)
	procs.Until(t, keeper.ID+" shows version "+before, func() bool {
		reply, err := procs.Admin(testContext(t), keeper, http.MethodGet, deploymentPath, "", nil)
		return err == nil && strings.Contains(string(reply.Body), want)
	})
	deploy(t, keeper, version)
}
