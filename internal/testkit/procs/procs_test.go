package procs

import (
	"context"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
)

func TestMain(m *testing.M) { Main(m) }

// startStandins starts a system without keepers and routers.
func startStandins(t *testing.T) *System {
	t.Helper()
	l := DemoLayout(binDir, t.TempDir())
	l.Keepers, l.Routers = 0, 0
	ctx, cancel := context.WithTimeout(context.Background(), Deadline)
	defer cancel()
	s, err := Launch(ctx, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func TestStandinsServeHostList(t *testing.T) {
	s := startStandins(t)
	var list platform.HostList
	Until(t, "the platform serves a host list of 4 endpoints", func() bool {
		reply, err := Call(context.Background(), http.MethodGet, s.Platform.URL()+"/v1/hosts", nil, nil)
		return err == nil && reply.Decode(&list) == nil && len(list.Endpoints) == 4
	})
	if e := list.Endpoints[0]; e.Kind != port.KindRunner || e.Incarnation != 1 || !e.FencesOrders || e.Address != s.Engines[0].Address {
		t.Fatalf("unexpected first endpoint: %+v", e)
	}
}

func TestRestartAfterKillIncrementsIncarnation(t *testing.T) {
	s := startStandins(t)
	e := s.Engines[0]
	e.Kill()
	if e.Running() || e.ExitCode() != -1 {
		t.Fatal("the killed process still runs or did not end by a signal")
	}
	if err := s.Restart(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	reply, err := Call(context.Background(), http.MethodGet, e.URL()+"/v1/state", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var state port.RunnerState
	if err := reply.Decode(&state); err != nil || state.Incarnation != 2 {
		t.Fatalf("want incarnation 2 after the restart, got %+v, error %v", state, err)
	}
}

func TestFreezeAndThaw(t *testing.T) {
	s := startStandins(t)
	if err := s.Platform.Freeze(); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() {
		_, err := Call(context.Background(), http.MethodGet, s.Platform.URL()+"/v1/hosts", nil, nil)
		answered <- err
	}()
	// The kernel accepts the connection into the listen backlog, but the suspended
	// process does not respond.
	select {
	case err := <-answered:
		t.Fatalf("the call to a suspended process returned: %v", err)
	default:
	}
	if err := s.Platform.Thaw(); err != nil {
		t.Fatal(err)
	}
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

func TestStopEndsEveryProcess(t *testing.T) {
	s := startStandins(t)
	if err := s.Engines[1].Freeze(); err != nil {
		t.Fatal(err)
	}
	s.Stop()
	for _, d := range s.All() {
		if d.Running() {
			t.Errorf("%s still runs", d.ID)
		}
	}
}
