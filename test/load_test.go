package test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/load"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// workload is a dragonfly-load workload for the demo system.
const workload = `{
  "name": "trial", "seed": 3, "duration": "5s", "arrivals_per_second": 12,
  "organisations": [{"name": "brewery-finance", "key": "brewery-finance-demo-key", "weight": 1}],
  "classes": [
    {"name": "report", "weight": 1, "model": "reconcile-13b", "prompt_tokens": 100, "output_tokens": 150},
    {"name": "query", "weight": 3, "model": "reconcile-13b", "prompt_tokens": 20, "output_tokens": 10},
    {"name": "lookup", "weight": 2, "service": "depot", "path": "/kegs"},
    {"name": "entry", "weight": 1, "service": "depot", "path": "/ledger", "non_idempotent": true}
  ]}`

// Kills a router while dragonfly-load replays a workload. Streams of the killed
// router must resume at the other router and complete, so that no request
// counts as cut or broken; requests to the killed router may count as
// unreachable. The service must run each ledger call at most once.
func TestLoadReplayAcrossRouterKill(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	dir := t.TempDir()
	file, out := filepath.Join(dir, "workload.json"), filepath.Join(dir, "report.json")
	if err := os.WriteFile(file, []byte(workload), 0o600); err != nil {
		t.Fatal(err)
	}
	replay := exec.Command(procs.Binary("dragonfly-load"), "--workload", file, "--json", out, "--check-text",
		"--router", s.Routers[0].Address, "--router", s.Routers[1].Address)
	done := make(chan error, 1)
	go func() {
		table, err := replay.CombinedOutput()
		t.Logf("%s", table)
		done <- err
	}()
	since := time.Now()
	procs.Until(t, "the replay is under way", func() bool { return time.Since(since) > 2*time.Second })
	s.Routers[0].Kill()
	if err := <-done; err != nil {
		t.Errorf("dragonfly-load: %v", err)
	}
	raw, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	var report load.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		t.Fatal(err)
	}
	all := report.Class("all")
	if all.Outcomes[load.OutcomeDone] < all.Requests/2 || !report.AllIntact() {
		t.Errorf("outcomes %v", all.Outcomes)
	}
	counts, err := s.ServiceRuns(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	for key, n := range counts {
		if key != "" && n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}
