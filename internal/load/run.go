package load

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Outcome is the result of a request as observed by its caller.
type Outcome string

// Outcomes that a caller observes, in addition to those in problem documents.
const (
	OutcomeDone Outcome = "done"
	// OutcomeCut is a stream that ended early and could not be resumed.
	OutcomeCut Outcome = "cut"
	// OutcomeBroken is an answer with a missing or duplicate token, or a token
	// of another answer.
	OutcomeBroken Outcome = "broken"
	// OutcomeUnreachable is a request that no router accepted.
	OutcomeUnreachable Outcome = "unreachable"
)

// Options configures a run.
type Options struct {
	// Routers are the router addresses to query for entry addresses.
	Routers []string
	// CheckText enables the check that answers contain exactly the tokens that
	// the engine stand-in generates.
	CheckText bool
	// Drain is how long requests may continue after the end of the workload.
	Drain time.Duration
}

// runner replays one workload.
type runner struct {
	workload *Workload
	options  Options
	clients  []*caller.Client
	entries  []*entryCache
	report   *Report
	// runID makes the idempotency keys of this run unique.
	runID string
}

// Run replays the workload in real time and reports the results that its
// callers observe.
func Run(ctx context.Context, w *Workload, o Options) *Report {
	r := &runner{workload: w, options: o, report: newReport(w), runID: uuid.NewString()}
	for _, organisation := range w.Organisations {
		client := caller.New(organisation.Key, organisation.Name, o.Routers)
		r.clients = append(r.clients, client)
		r.entries = append(r.entries, &entryCache{client: client})
	}
	start := time.Now()
	runCtx, cancel := context.WithTimeout(ctx, w.Duration+o.Drain)
	defer cancel()
	var wait sync.WaitGroup
	for n, arrival := range w.Plan() {
		if !sleepUntil(runCtx, start.Add(arrival.At)) {
			break
		}
		wait.Go(func() { r.execute(runCtx, n, &arrival) })
	}
	wait.Wait()
	r.report.finish(time.Since(start))
	return r.report
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) execute(ctx context.Context, n int, a *Arrival) {
	class := &r.workload.Classes[a.Class]
	addresses, err := r.entries[a.Organisation].get(ctx, class.Model)
	if err != nil {
		r.report.add(class.Name, &sample{outcome: OutcomeUnreachable, reason: err.Error()})
		return
	}
	// Successive requests start at different addresses, to spread the load.
	offset := n % len(addresses)
	addresses = append(append([]string{}, addresses[offset:]...), addresses[:offset]...)
	if class.Service != "" {
		r.report.add(class.Name, r.callService(ctx, n, a, class, addresses))
		return
	}
	r.report.add(class.Name, r.streamCompletion(ctx, n, a, class, addresses))
}

func (r *runner) streamCompletion(ctx context.Context, n int, a *Arrival, class *Class, addresses []string) *sample {
	request := caller.Completion{
		Model:  class.Model,
		Prompt: a.prompt(class, n, engine.BytesPerToken, engine.LengthDirective(a.OutputTokens)),
	}
	answer, err := r.clients[a.Organisation].Stream(ctx, addresses, request)
	s := &sample{
		firstToken: answer.FirstToken, gaps: answer.Gaps,
		tokens: answer.Tokens, resumes: answer.Resumes,
	}
	s.outcome, s.reason = classify(answer, err)
	if s.outcome == OutcomeDone && r.options.CheckText {
		if got, err := engine.CheckText(answer.Text); err != nil || got != a.OutputTokens && answer.FinishReason == "stop" {
			s.outcome = OutcomeBroken
			s.reason = "text is not whole"
		}
	}
	return s
}

func classify(answer *caller.Answer, err error) (Outcome, string) {
	switch {
	case errors.Is(err, caller.ErrBroken):
		return OutcomeBroken, err.Error()
	case err != nil && answer.Tokens == 0:
		return OutcomeUnreachable, err.Error()
	case err != nil:
		return OutcomeCut, err.Error()
	case answer.Problem != nil:
		return Outcome(answer.Problem.Outcome), answer.Problem.Reason
	default:
		return OutcomeDone, ""
	}
}

func (r *runner) callService(ctx context.Context, n int, a *Arrival, class *Class, addresses []string) *sample {
	call := &caller.ServiceCall{Service: class.Service, Path: class.Path, Method: http.MethodGet}
	if class.NonIdempotent {
		call.Method, call.NonIdempotent = http.MethodPost, true
		call.Body = []byte(`{"n":` + itoa(n) + `}`)
		// Keys are unique to the run, since a key used by an earlier run would
		// be refused.
		call.IdempotencyKey = r.runID + "-" + itoa(n)
	}
	start := time.Now()
	reply, err := r.clients[a.Organisation].Service(ctx, addresses[0], call)
	s := &sample{firstToken: time.Since(start)}
	switch {
	case err != nil:
		s.outcome, s.reason = OutcomeUnreachable, err.Error()
	case reply.Problem != nil:
		s.outcome, s.reason = Outcome(reply.Problem.Outcome), reply.Problem.Reason
	default:
		s.outcome = OutcomeDone
	}
	return s
}

// entryCache caches the entry addresses of an organisation for each model while
// they are valid.
type entryCache struct {
	client *caller.Client

	mu      sync.Mutex
	byModel map[string]cachedEntry
}

type cachedEntry struct {
	addresses []string
	until     time.Time
}

func (c *entryCache) get(ctx context.Context, model string) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if cached, ok := c.byModel[model]; ok && now.Before(cached.until) {
		return cached.addresses, nil
	}
	entry, err := c.client.Entry(ctx, model)
	if err != nil {
		return nil, err
	}
	if len(entry.Addresses) == 0 {
		return nil, caller.ErrNoEntry
	}
	if c.byModel == nil {
		c.byModel = map[string]cachedEntry{}
	}
	valid := time.Duration(entry.ValidForMillis) * time.Millisecond
	c.byModel[model] = cachedEntry{addresses: entry.Addresses, until: now.Add(valid)}
	return entry.Addresses, nil
}
