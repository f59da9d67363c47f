package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxConcurrentCalls bounds the daemons that are queried at the same time.
const maxConcurrentCalls = 16

type whyCommand struct {
	app  *app
	Args struct {
		Subject whySubject `positional-arg-name:"SUBJECT" required:"true" description:"request, endpoint, configuration, failure-domain or fingerprint"`
		ID      string     `positional-arg-name:"ID" required:"true" description:"request id, endpoint id, KIND/NAME of a configuration, name of a failure domain, or fingerprint of a request"`
	} `positional-args:"true" required:"true"`
}

// whySubject is the kind of object that decisions are about.
type whySubject string

var subjectPaths = map[whySubject]string{
	"request":        "requests",
	"endpoint":       "endpoints",
	"configuration":  "configurations",
	"failure-domain": "failure-domains",
	"fingerprint":    "fingerprints",
}

// UnmarshalFlag accepts a subject in its singular or plural form.
func (s *whySubject) UnmarshalFlag(value string) error {
	*s = whySubject(strings.TrimSuffix(value, "s"))
	if subjectPaths[*s] == "" {
		return merry.Appendf(ErrUsage, "unknown subject %q; use why request, why endpoint, why configuration, why failure-domain or why fingerprint", value)
	}
	return nil
}

// Complete lists the subjects that start with match.
func (s *whySubject) Complete(match string) []flags.Completion {
	return completions(match, "configuration", "endpoint", "failure-domain", "fingerprint", "request")
}

// explanation is the result of the why command.
type explanation struct {
	Subject   string     `json:"subject"`
	ID        string     `json:"id"`
	Decisions []decision `json:"decisions"`
	// Audit is set for configurations only.
	Audit *audit `json:"audit,omitempty"`
	// Unanswered lists the daemons that gave no usable reply. Their decisions
	// are missing from Decisions.
	Unanswered []string `json:"unanswered,omitempty"`
}

// decision is a decision and the daemon that made it.
type decision struct {
	Daemon string `json:"daemon"`
	port.DecisionRecord
}

// audit is the trail of accepted changes to one record, as a keeper returns it.
type audit struct {
	Version  uint64       `json:"version"`
	Deleted  bool         `json:"deleted"`
	Accepted []auditEntry `json:"accepted"`
}

type auditEntry struct {
	Time    time.Time `json:"time"`
	Actor   string    `json:"actor"`
	Action  string    `json:"action"`
	WriteID string    `json:"write_id"`
	// BasedOn is the version that the change was conditional on; zero if the
	// record was to be created.
	BasedOn uint64 `json:"based_on"`
	Reason  string `json:"reason"`
}

// Execute queries every daemon that may have made the decisions and prints the
// decisions in order of time.
func (c *whyCommand) Execute([]string) error {
	x := &explanation{Subject: string(c.Args.Subject), ID: c.Args.ID}
	cl := c.app.client()
	targets, err := cl.daemonsFor(c.app.ctx, c.Args.Subject, c.Args.ID)
	if err != nil {
		return err
	}
	if err := cl.collectDecisions(c.app.ctx, x, targets); err != nil {
		return err
	}
	if c.Args.Subject == "configuration" {
		if err := cl.addAudit(c.app.ctx, x); err != nil {
			return err
		}
	}
	if len(x.Decisions) == 0 && x.Audit == nil {
		return c.notFoundError(x)
	}
	return c.printExplanation(x)
}

func (c *whyCommand) notFoundError(x *explanation) error {
	advice := "daemons hold only recent decisions; search the collected logs for \"subject_id\":\"" + x.ID + "\""
	if len(x.Unanswered) > 0 {
		advice = "these daemons did not reply: " + strings.Join(x.Unanswered, ", ") + "; " + advice
	}
	return withAdvice(merry.Appendf(ErrNotFound, "no daemon that replied holds a decision on %s %s", x.Subject, x.ID), advice)
}

// daemon identifies a daemon and its admin listener. The id is empty for a
// daemon that is known only by an address from the options.
type daemon struct{ id, address string }

// daemonsFor lists the daemons that may have made decisions on a subject. The id
// of a generation contains the id of its router, so only that router is
// queried. Any other request id was chosen by the caller and may have been
// served by any daemon.
func (c *client) daemonsFor(ctx context.Context, subject whySubject, id string) ([]daemon, error) {
	all, err := c.daemons(ctx)
	if err != nil || subject != "request" {
		return all, err
	}
	router, _, _ := cutLast(id, ".")
	matching := slices.DeleteFunc(slices.Clone(all), func(d daemon) bool { return d.id != router })
	if len(matching) > 0 {
		return matching, nil
	}
	return all, nil
}

// cutLast is strings.Cut at the last separator.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// daemons lists the members that aren't dead, and the given addresses that
// aren't among them. If no keeper replies, only the given addresses remain.
func (c *client) daemons(ctx context.Context) ([]daemon, error) {
	var all []daemon
	members, err := c.members(ctx)
	for _, m := range members {
		if m.AdminAddress != "" && m.State != port.MemberDead {
			all = append(all, daemon{m.ID, m.AdminAddress})
		}
	}
	if errors.Is(err, ErrUnauthorized) {
		return nil, err
	}
	for _, address := range slices.Concat(c.conn.Keepers, c.conn.Routers) {
		if !slices.ContainsFunc(all, func(d daemon) bool { return d.address == address }) {
			all = append(all, daemon{"", address})
		}
	}
	if len(all) == 0 {
		return nil, err
	}
	return all, nil
}

// collectDecisions queries the daemons concurrently and adds their decisions to
// x in order of time. Daemons that fail are added to x.Unanswered.
func (c *client) collectDecisions(ctx context.Context, x *explanation, daemons []daemon) error {
	answers := make([][]decision, len(daemons))
	errs := make([]error, len(daemons))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, d := range daemons {
		group.Go(func() error {
			answers[i], errs[i] = c.fetchDecisions(ctx, x, d)
			return nil
		})
	}
	_ = group.Wait()
	for i, d := range daemons {
		switch {
		case errors.Is(errs[i], ErrUnauthorized):
			return errs[i]
		case errs[i] != nil:
			x.Unanswered = append(x.Unanswered, strings.TrimSpace(d.id+" "+d.address))
		}
		x.Decisions = append(x.Decisions, answers[i]...)
	}
	slices.SortStableFunc(x.Decisions, func(a, b decision) int { return a.Time.Compare(b.Time) })
	return nil
}

// fetchDecisions returns the decisions that one daemon still holds. A status of
// 404 means that it holds none.
func (c *client) fetchDecisions(ctx context.Context, x *explanation, d daemon) ([]decision, error) {
	path := "/admin/v1/explain/" + subjectPaths[whySubject(x.Subject)] + "/" + escapeSegments(x.ID)
	r := &request{method: http.MethodGet, path: path}
	got, err := c.do(ctx, d.address, r)
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusNotFound {
		return nil, nil
	}
	if err := checkStatus(r, got); err != nil {
		return nil, err
	}
	var e struct {
		Decisions []port.DecisionRecord `json:"decisions"`
	}
	if err := got.decode(&e); err != nil {
		return nil, err
	}
	var out []decision
	for _, r := range e.Decisions {
		name := d.id
		if name == "" {
			name = d.address
		}
		out = append(out, decision{Daemon: name, DecisionRecord: r})
	}
	return out, nil
}

// escapeSegments escapes an id for a URL path but keeps the slash of KIND/NAME.
func escapeSegments(id string) string {
	parts := strings.Split(id, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// addAudit adds the audit trail of a configuration, which is stored only in the
// platform and read through a keeper.
func (c *client) addAudit(ctx context.Context, x *explanation) error {
	kind, name, found := strings.Cut(x.ID, "/")
	if !found {
		return withAdvice(merry.Append(ErrUsage, "the id of a configuration must have the form KIND/NAME"), "for example: dragonflyctl why configuration routing-configurations/default")
	}
	kind, err := parseKind(kind)
	if err != nil && len(x.Decisions) > 0 {
		// Other tools write records of this kind. Daemons make decisions on them,
		// but their audit trail isn't stored with the record.
		return nil
	}
	if err != nil {
		return err
	}
	got, err := c.callKeeper(ctx, &request{method: http.MethodGet, path: "/admin/v1/audit/" + kind + "/" + url.PathEscape(name)})
	if err != nil {
		if errors.Is(err, ErrNotFound) {
			return nil
		}
		x.Unanswered = append(x.Unanswered, "audit: "+err.Error())
		return nil
	}
	x.Audit = &audit{}
	return got.decode(x.Audit)
}

func (c *whyCommand) printExplanation(x *explanation) error {
	if c.app.Output == "json" {
		return c.app.printer().printJSON(x)
	}
	var rows [][]string
	for i := range x.Decisions {
		rows = append(rows, decisionRow(&x.Decisions[i]))
	}
	header := []string{"time", "daemon", "verdict", "reason", "endpoint", "attempt", "outcome", "configuration", "fence", "actor"}
	if len(rows) > 0 {
		if err := c.app.printer().print(nil, header, rows); err != nil {
			return err
		}
	}
	for i := range x.Decisions {
		if d := x.Decisions[i].Delivered; d != nil {
			c.app.printLine("%s", deliveryText(d))
		}
	}
	if err := c.printCandidates(x); err != nil {
		return err
	}
	if err := c.printAudit(x.Audit); err != nil {
		return err
	}
	if len(x.Unanswered) > 0 {
		c.app.printLine("not reached, so that decisions may be missing: %s", strings.Join(x.Unanswered, ", "))
	}
	return nil
}

func decisionRow(d *decision) []string {
	return []string{
		d.Time.UTC().Format(time.RFC3339Nano), d.Daemon, d.Verdict, d.Reason, d.Endpoint,
		numberText(uint64(d.Attempt)), d.Outcome, numberText(d.ConfigurationVersion), numberText(d.Fence), d.Actor,
	}
}

// deliveryText summarises the delivery of a stream to its caller. It shows
// which part of the time a late response spent waiting for a placement, for
// the first event, or in the longest pause.
func deliveryText(d *port.Delivery) string {
	firstEventMillis := d.FirstEventMillis - d.HeldMillis
	text := fmt.Sprintf("the caller had %d events: %d ms until a place, %d ms from there to the first event", d.Events, d.HeldMillis, firstEventMillis)
	if d.LongestGapMillis > 0 {
		text += fmt.Sprintf(", the longest pause %d ms before event %d", d.LongestGapMillis, d.LongestGapEvent)
	}
	if d.Runners > 1 {
		text += fmt.Sprintf(", from %d runners", d.Runners)
	}
	return text
}

// printCandidates prints the scores of the newest decision that has candidates.
func (c *whyCommand) printCandidates(x *explanation) error {
	for _, d := range slices.Backward(x.Decisions) {
		if len(d.Candidates) == 0 {
			continue
		}
		c.app.printLine("candidates of decision %s; the lowest score wins", d.ID)
		var rows [][]string
		for _, k := range d.Candidates {
			rows = append(rows, []string{
				k.Endpoint, scoreText(k.Score), scoreText(k.Overflow), scoreText(k.Gap), scoreText(k.Prefill), scoreText(k.Prefix), k.Excluded,
			})
		}
		return c.app.printer().print(nil, []string{"endpoint", "score", "overflow", "gap", "prefill", "prefix", "excluded"}, rows)
	}
	return nil
}

func (c *whyCommand) printAudit(a *audit) error {
	if a == nil {
		return nil
	}
	c.app.printLine("accepted changes; the record stands at version %d, deleted: %v", a.Version, a.Deleted)
	var rows [][]string
	for _, e := range a.Accepted {
		rows = append(rows, []string{e.Time.UTC().Format(time.RFC3339Nano), e.Actor, e.Action, numberText(e.BasedOn), e.Reason, e.WriteID})
	}
	return c.app.printer().print(nil, []string{"time", "actor", "action", "based on", "reason", "write id"}, rows)
}

func (a *app) printLine(format string, args ...any) { fmt.Fprintf(a.stdout, format+"\n", args...) }

func numberText(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

func scoreText(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
