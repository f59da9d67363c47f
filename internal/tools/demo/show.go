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
	Keep   bool   `long:"keep-logs" description:"keep the logs and print their directory"`
}

// show holds the system of a running demo and the table of its results.
type show struct {
	system     *procs.System
	client     *caller.Client
	table      *tablewriter.Table
	unexpected int

	mu sync.Mutex
}

// Execute runs the demo. It returns an error if a step had an unexpected result.
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
	ctx, cancel := interruptContext(showTimeout)
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
	if err := s.runFleet(ctx, c.BinDir, filepath.Join(dir, "fleet")); err != nil {
		return err
	}
	if err := s.table.Render(); err != nil {
		return err
	}
	fmt.Printf("%.1f s in all\n", time.Since(started).Seconds())
	if s.unexpected > 0 {
		return fmt.Errorf("%d of the steps had an unexpected result", s.unexpected)
	}
	return nil
}

func (s *show) run(ctx context.Context) error {
	if err := s.system.WriteRecords(ctx, procs.DemoRecords()); err != nil {
		return err
	}
	s.addRow("records written with dragonflyctl", fmt.Sprint(len(procs.DemoRecords())), true)
	s.client = s.system.Caller(procs.DemoOrganisation)
	if err := s.system.WaitServing(ctx, s.client); err != nil {
		return err
	}
	entry, err := s.client.Entry(ctx, s.system.Layout.Model)
	if err != nil {
		return err
	}
	s.addRow("/v1/entry", fmt.Sprint(entry.Addresses), len(entry.Addresses) == len(s.system.Routers))
	reportID := s.streamAll(ctx, entry.Addresses)
	s.repeatLedgerCall(ctx, entry.Addresses)
	s.explain(ctx, reportID)
	s.checkDecisionLogs()
	return nil
}

// addRow adds a row to the table and counts it as unexpected unless ok is set.
func (s *show) addRow(what, seen string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mark := "yes"
	if !ok {
		mark = "NO"
		s.unexpected++
	}
	if err := s.table.Append(what, seen, mark); err != nil {
		s.unexpected++
	}
}

// streamAll streams a long report and short queries concurrently through all
// routers, and returns the report's request ID.
func (s *show) streamAll(ctx context.Context, addresses []string) string {
	var report string
	var wait sync.WaitGroup
	wait.Go(func() {
		report = s.stream(ctx, "long report", addresses, reportTokens)
	})
	for i := range queries {
		rotated := []string{addresses[i%len(addresses)], addresses[(i+1)%len(addresses)]}
		wait.Go(func() { s.stream(ctx, fmt.Sprintf("short query %d", i+1), rotated, queryTokens) })
	}
	wait.Wait()
	return report
}

func (s *show) stream(ctx context.Context, what string, addresses []string, tokens int) string {
	answer, err := s.client.Stream(ctx, addresses, caller.Completion{
		Model:  s.system.Layout.Model,
		Prompt: "Kegs out and back, " + what + " " + engine.LengthDirective(tokens),
	})
	switch {
	case err != nil:
		s.addRow(what, err.Error(), false)
	case answer.Problem != nil:
		s.addRow(what, answer.Problem.Reason, false)
	default:
		_, textErr := engine.CheckText(answer.Text)
		seen := fmt.Sprintf("%d tokens, first after %d ms, at %s", answer.Tokens, answer.FirstToken.Milliseconds(), addresses[0])
		s.addRow(what, seen, textErr == nil && answer.Tokens == tokens)
	}
	if answer == nil {
		return ""
	}
	return answer.RequestID
}

// repeatLedgerCall makes a non-idempotent call twice with the same key, at two
// routers, and checks that the service ran it once.
func (s *show) repeatLedgerCall(ctx context.Context, addresses []string) {
	call := &caller.ServiceCall{
		Service: s.system.Layout.ServicePool, Path: "/ledger", Method: http.MethodPost,
		Body: []byte(`{"bar":"Olypub","kegs":2}`), IdempotencyKey: "ledger-" + uuid.NewString(), NonIdempotent: true,
	}
	for i, address := range []string{addresses[0], addresses[len(addresses)-1]} {
		what := fmt.Sprintf("ledger entry, try %d", i+1)
		reply, err := s.client.Service(ctx, address, call)
		if err != nil {
			s.addRow(what, err.Error(), false)
			continue
		}
		seen := fmt.Sprintf("status %d", reply.Status)
		if reply.Problem != nil {
			seen += ", " + string(reply.Problem.Outcome) + ": " + reply.Problem.Reason
		}
		// The second call gets the reply or the outcome of the first one. The
		// outcome must not be not_run.
		ran := reply.Problem == nil || reply.Problem.Outcome != "not_run"
		s.addRow(what, seen, ran && (i > 0 || reply.Status == http.StatusOK))
	}
	runs, err := s.system.ServiceRuns(ctx)
	s.addRow("runs of the ledger entry", fmt.Sprint(runs[call.IdempotencyKey]), err == nil && runs[call.IdempotencyKey] == 1)
}

// explain runs "dragonflyctl why" for the request and adds a row for each of its
// decisions.
func (s *show) explain(ctx context.Context, requestID string) {
	decisions, err := s.system.Why(ctx, "request", requestID)
	if err != nil {
		s.addRow("why, for the report", err.Error(), false)
		return
	}
	for _, d := range decisions {
		seen := d.Verdict + " " + d.Endpoint + ": " + d.Reason
		if len(d.Candidates) > 0 {
			seen += fmt.Sprintf(" (%d candidates, configuration %d)", len(d.Candidates), d.ConfigurationVersion)
		}
		s.addRow("why, for the report", seen, d.Reason != "")
	}
	if len(decisions) == 0 {
		s.addRow("why, for the report", "no decision known", false)
	}
}

// checkDecisionLogs checks that the routers logged their placement decisions as
// JSON lines, each with a reason and candidates.
func (s *show) checkDecisionLogs() {
	placed, complete := 0, true
	for _, router := range s.system.Routers {
		for _, d := range router.Decisions() {
			if d.Verdict == "place" {
				placed++
				complete = complete && d.Reason != "" && len(d.Candidates) > 0
			}
		}
	}
	s.addRow("placement decisions in the routers' logs", fmt.Sprint(placed), complete && placed >= queries+1)
}
