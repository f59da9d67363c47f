package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const (
	reportTokens = 300
	queryTokens  = 12
	queries      = 6
)

type showCommand struct {
	BinDir string `long:"bin" default:"bin" description:"directory of the binaries"`
	Keep   bool   `long:"keep-logs" description:"keep the logs and name their directory"`
}

// show is the demo under way.
type show struct {
	system *procs.System
	client *caller.Client
	table  *tablewriter.Table
	amiss  int

	mu sync.Mutex
}

// Execute runs the demo; its error makes the command fail.
func (c *showCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "dragonflyrail-demo-")
	if err != nil {
		return err
	}
	if c.Keep {
		fmt.Println("logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	ctx, cancel := interruptible(showTimeout)
	defer cancel()
	started := time.Now()
	system, err := procs.Launch(ctx, procs.DemoLayout(c.BinDir, dir))
	if err != nil {
		return err
	}
	defer system.Stop()
	fmt.Printf("%d processes serve after %.1f s\n", len(system.All()), time.Since(started).Seconds())
	s := &show{system: system, table: tablewriter.NewWriter(os.Stdout)}
	s.table.Header("what", "seen", "as expected")
	if err := s.run(ctx); err != nil {
		return err
	}
	if err := s.fleet(ctx, c.BinDir, filepath.Join(dir, "fleet")); err != nil {
		return err
	}
	if err := s.table.Render(); err != nil {
		return err
	}
	fmt.Printf("%.1f s in all\n", time.Since(started).Seconds())
	if s.amiss > 0 {
		return fmt.Errorf("%d of the steps went amiss", s.amiss)
	}
	return nil
}

func (s *show) run(ctx context.Context) error {
	if err := s.system.WriteRecords(ctx, procs.DemoRecords()); err != nil {
		return err
	}
	s.note("records written with dragonflyctl", fmt.Sprint(len(procs.DemoRecords())), true)
	s.client = s.system.Caller(procs.DemoOrganisation)
	if err := s.system.WaitServing(ctx, s.client); err != nil {
		return err
	}
	entry, err := s.client.Entry(ctx, s.system.Layout.Model)
	if err != nil {
		return err
	}
	s.note("/v1/entry", fmt.Sprint(entry.Addresses), len(entry.Addresses) == len(s.system.Routers))
	asked := s.generations(ctx, entry.Addresses)
	s.ledgerEntry(ctx, entry.Addresses)
	s.explain(ctx, asked)
	s.decisionLines()
	return nil
}

// note adds a line to the table.
func (s *show) note(what, seen string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mark := "yes"
	if !ok {
		mark = "NO"
		s.amiss++
	}
	if err := s.table.Append(what, seen, mark); err != nil {
		s.amiss++
	}
}

// generations streams a long report and short queries at once through both
// routers, and returns the report's request id.
func (s *show) generations(ctx context.Context, addresses []string) string {
	var report string
	var wait sync.WaitGroup
	wait.Go(func() {
		report = s.generation(ctx, "long report", addresses, reportTokens)
	})
	for i := range queries {
		rotated := []string{addresses[i%len(addresses)], addresses[(i+1)%len(addresses)]}
		wait.Go(func() { s.generation(ctx, fmt.Sprintf("short query %d", i+1), rotated, queryTokens) })
	}
	wait.Wait()
	return report
}

func (s *show) generation(ctx context.Context, what string, addresses []string, tokens int) string {
	answer, err := s.client.Stream(ctx, addresses, caller.Completion{
		Model:  s.system.Layout.Model,
		Prompt: "Kegs out and back, " + what + " " + engine.LengthDirective(tokens),
	})
	switch {
	case err != nil:
		s.note(what, err.Error(), false)
	case answer.Problem != nil:
		s.note(what, answer.Problem.Reason, false)
	default:
		_, wrong := engine.CheckText(answer.Text)
		seen := fmt.Sprintf("%d tokens, first after %d ms, at %s", answer.Tokens, answer.FirstToken.Milliseconds(), addresses[0])
		s.note(what, seen, wrong == nil && answer.Tokens == tokens)
	}
	if answer == nil {
		return ""
	}
	return answer.RequestID
}

// ledgerEntry makes one non-idempotent call twice with one key, at two
// routers, and asks the service how often it ran.
func (s *show) ledgerEntry(ctx context.Context, addresses []string) {
	call := &caller.ServiceCall{
		Service: s.system.Layout.ServicePool, Path: "/ledger", Method: http.MethodPost,
		Body: []byte(`{"bar":"Olypub","kegs":2}`), Key: "ledger-" + uuid.NewString(), NonIdempotent: true,
	}
	for i, address := range []string{addresses[0], addresses[len(addresses)-1]} {
		what := fmt.Sprintf("ledger entry, try %d", i+1)
		reply, err := s.client.Service(ctx, address, call)
		if err != nil {
			s.note(what, err.Error(), false)
			continue
		}
		seen := fmt.Sprintf("status %d", reply.Status)
		if reply.Problem != nil {
			seen += ", " + string(reply.Problem.Outcome) + ": " + reply.Problem.Reason
		}
		// The second try is answered with the first one's reply, or with what
		// became of it; it must not say that nothing ran.
		ran := reply.Problem == nil || reply.Problem.Outcome != "not_run"
		s.note(what, seen, ran && (i > 0 || reply.Status == http.StatusOK))
	}
	runs, err := s.system.ServiceRuns(ctx)
	s.note("runs of the ledger entry", fmt.Sprint(runs[call.Key]), err == nil && runs[call.Key] == 1)
}

// explain asks why, with dragonflyctl.
func (s *show) explain(ctx context.Context, requestID string) {
	decisions, err := s.system.Why(ctx, "request", requestID)
	if err != nil {
		s.note("why, for the report", err.Error(), false)
		return
	}
	for _, d := range decisions {
		seen := d.Verdict + " " + d.Endpoint + ": " + d.Reason
		if len(d.Candidates) > 0 {
			seen += fmt.Sprintf(" (%d candidates, configuration %d)", len(d.Candidates), d.ConfigurationVersion)
		}
		s.note("why, for the report", seen, d.Reason != "")
	}
	if len(decisions) == 0 {
		s.note("why, for the report", "no decision known", false)
	}
}

// decisionLines checks that the routers logged their decisions as JSON lines.
func (s *show) decisionLines() {
	placed, whole := 0, true
	for _, router := range s.system.Routers {
		for _, d := range router.Decisions() {
			if d.Verdict == "place" {
				placed++
				whole = whole && d.Reason != "" && len(d.Candidates) > 0
			}
		}
	}
	s.note("placement decisions in the routers' logs", fmt.Sprint(placed), whole && placed >= queries+1)
}
