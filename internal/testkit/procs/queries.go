package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// servingPoll is the interval between readiness checks.
const servingPoll = 50 * time.Millisecond

// Caller returns a client of the organisation that tries the routers in order.
func (s *System) Caller(organisation string) *caller.Client {
	var seeds []string
	for _, r := range s.Routers {
		seeds = append(seeds, r.Address)
	}
	return caller.New(OrganisationKey(organisation), organisation, seeds)
}

// waitKeepers waits until each keeper has read the platform's records. The
// "ready" log line only means that the keeper listens: a keeper that starts
// while the platform is down also listens, but refuses changes until it has read
// the records.
func (s *System) waitKeepers(ctx context.Context) error {
	for _, k := range s.Keepers {
		for !isReady(ctx, k) {
			select {
			case <-time.After(servingPoll):
			case <-ctx.Done():
				return fmt.Errorf("%s was not ready before the deadline; end of its log:\n%s", k.ID, logTail(k.Log()))
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, d *Daemon) bool {
	reply, err := Call(ctx, http.MethodGet, d.AdminURL()+"/readyz", nil, nil)
	return err == nil && reply.Status == http.StatusOK
}

// WaitServing waits until every router serves a request of the caller and lists
// all routers as entry addresses, up to router.MaxEntryAddresses.
func (s *System) WaitServing(ctx context.Context, c *caller.Client) error {
	for _, r := range s.Routers {
		if err := s.waitRouter(ctx, c, r); err != nil {
			return fmt.Errorf("%s: %w\n%s", r.ID, err, logTail(r.Log()))
		}
	}
	return nil
}

func (s *System) waitRouter(ctx context.Context, c *caller.Client, r *Daemon) error {
	single := *c
	single.Seeds = []string{r.Address}
	for {
		err := s.tryRouter(ctx, &single, r)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(servingPoll):
		case <-ctx.Done():
			return fmt.Errorf("did not serve before the deadline: %w", err)
		}
	}
}

func (s *System) tryRouter(ctx context.Context, c *caller.Client, r *Daemon) error {
	entry, err := c.Entry(ctx, s.Layout.Model)
	if err != nil {
		return err
	}
	if len(entry.Addresses) != min(len(s.Routers), router.MaxEntryAddresses) {
		return fmt.Errorf("entry response lists the wrong number of router addresses: %v", entry.Addresses)
	}
	answer, err := c.Stream(ctx, []string{r.Address}, caller.Completion{Model: s.Layout.Model, Prompt: "[[tokens=1]]"})
	if err != nil {
		return err
	}
	if answer.Problem != nil {
		return fmt.Errorf("request refused: %s: %s", answer.Problem.Reason, answer.Problem.Detail)
	}
	return nil
}

// ServiceRuns returns how often the services ran each idempotency key.
func (s *System) ServiceRuns(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, d := range s.Services {
		reply, err := Call(ctx, http.MethodGet, d.URL()+"/standin/runs", nil, nil)
		if err != nil {
			return nil, err
		}
		var runs map[string]int
		if err := reply.Decode(&runs); err != nil {
			return nil, err
		}
		for key, n := range runs {
			sum[key] += n
		}
	}
	return sum, nil
}

// Decision is one entry of a daemon's decision log.
type Decision = port.DecisionRecord

// Explain returns the decisions about a subject from the admin API. The id of a
// request names the daemon to query; for other subjects all daemons are queried.
func (s *System) Explain(ctx context.Context, subject, id string) ([]Decision, error) {
	var found []Decision
	for _, d := range append(append([]*Daemon{}, s.Routers...), s.Keepers...) {
		if subject == "requests" && !strings.HasPrefix(id, d.ID+".") {
			continue
		}
		reply, err := Admin(ctx, d, http.MethodGet, "/admin/v1/explain/"+subject+"/"+url.PathEscape(id), "", nil)
		if err != nil {
			return nil, err
		}
		if reply.Status == http.StatusNotFound {
			continue
		}
		var e explanation
		if err := reply.Decode(&e); err != nil {
			return nil, err
		}
		found = append(found, e.Decisions...)
	}
	return found, nil
}

// Decisions returns the decisions that the daemon has logged.
func (d *Daemon) Decisions() []Decision {
	var found []Decision
	lines := bufio.NewScanner(bytes.NewReader(d.Log()))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Event != "decision" {
			continue
		}
		var decision Decision
		if json.Unmarshal(lines.Bytes(), &decision) == nil {
			found = append(found, decision)
		}
	}
	return found
}

// logTail returns at most the last 4000 bytes of a log.
func logTail(log []byte) []byte {
	const end = 4000
	if len(log) > end {
		return log[len(log)-end:]
	}
	return log
}
