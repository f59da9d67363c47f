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

// maxAsked bounds the daemons that are asked at the same time.
const maxAsked = 16

type whyCommand struct {
	app  *app
	Args struct {
		Subject whySubject `positional-arg-name:"SUBJECT" required:"true" description:"request, endpoint, configuration, failure-domain or fingerprint"`
		ID      string     `positional-arg-name:"ID" required:"true" description:"request id, endpoint id, KIND/NAME, a failure domain, or a request's fingerprint"`
	} `positional-args:"true" required:"true"`
}

// whySubject is what a decision was about.
type whySubject string

var subjectPaths = map[whySubject]string{
	"request":        "requests",
	"endpoint":       "endpoints",
	"configuration":  "configurations",
	"failure-domain": "failure-domains",
	"fingerprint":    "fingerprints",
}

// UnmarshalFlag accepts one of the subjects.
func (s *whySubject) UnmarshalFlag(value string) error {
	*s = whySubject(strings.TrimSuffix(value, "s"))
	if subjectPaths[*s] == "" {
		return merry.Appendf(ErrUsage, "no subject %q; ask why request, why endpoint, why configuration, why failure-domain or why fingerprint", value)
	}
	return nil
}

// Complete lists the subjects that start with what is typed.
func (s *whySubject) Complete(match string) []flags.Completion {
	return completions(match, "configuration", "endpoint", "failure-domain", "fingerprint", "request")
}

// explained is the answer to a why.
type explained struct {
	Subject   string     `json:"subject"`
	ID        string     `json:"id"`
	Decisions []decision `json:"decisions"`
	// Audit is the trail of a configuration.
	Audit *audit `json:"audit,omitempty"`
	// Unanswered are daemons that were not reached; their decisions are
	// missing here.
	Unanswered []string `json:"unanswered,omitempty"`
}

// decision is a decision with the daemon that took it.
type decision struct {
	Daemon string `json:"daemon"`
	port.DecisionRecord
}

// audit is a keeper's trail of one record.
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
	// BasedOn is the version that the operator had seen; zero for none.
	BasedOn uint64 `json:"based_on"`
	Reason  string `json:"reason"`
}

// Execute asks every daemon that may know and prints what they say in order
// of time.
func (c *whyCommand) Execute([]string) error {
	x := &explained{Subject: string(c.Args.Subject), ID: c.Args.ID}
	cl := c.app.client()
	askable, err := cl.whoKnows(c.app.ctx, c.Args.Subject, c.Args.ID)
	if err != nil {
		return err
	}
	if err := cl.explain(c.app.ctx, x, askable); err != nil {
		return err
	}
	if c.Args.Subject == "configuration" {
		if err := cl.addAudit(c.app.ctx, x); err != nil {
			return err
		}
	}
	if len(x.Decisions) == 0 && x.Audit == nil {
		return c.nothingKnown(x)
	}
	return c.printExplained(x)
}

func (c *whyCommand) nothingKnown(x *explained) error {
	next := "daemons remember the last decisions only; search the collected logs for \"subject_id\":\"" + x.ID + "\""
	if len(x.Unanswered) > 0 {
		next = "not reached: " + strings.Join(x.Unanswered, ", ") + "; " + next
	}
	return withAdvice(merry.Appendf(ErrNotFound, "no decision on %s %s is remembered", x.Subject, x.ID), next)
}

// daemon is one daemon to ask.
type daemon struct{ id, address string }

// whoKnows lists the daemons that may have decided. The id of a generation
// names its router, so nobody else is asked. Any other id was chosen by the
// caller, and any daemon may have served it.
func (c *client) whoKnows(ctx context.Context, subject whySubject, id string) ([]daemon, error) {
	all, err := c.daemons(ctx)
	if err != nil || subject != "request" {
		return all, err
	}
	router, _, _ := cutLast(id, ".")
	named := slices.DeleteFunc(slices.Clone(all), func(d daemon) bool { return d.id != router })
	if len(named) > 0 {
		return named, nil
	}
	return all, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	at := strings.LastIndex(s, sep)
	if at < 0 {
		return s, "", false
	}
	return s[:at], s[at+len(sep):], true
}

// daemons lists the members, or the given addresses where no keeper answers.
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

// explain joins what the daemons remember.
func (c *client) explain(ctx context.Context, x *explained, daemons []daemon) error {
	answers := make([][]decision, len(daemons))
	errs := make([]error, len(daemons))
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for i, d := range daemons {
		group.Go(func() error {
			answers[i], errs[i] = c.ask(ctx, x, d)
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

func (c *client) ask(ctx context.Context, x *explained, d daemon) ([]decision, error) {
	path := "/admin/v1/explain/" + subjectPaths[whySubject(x.Subject)] + "/" + escapeSegments(x.ID)
	r := &request{method: http.MethodGet, path: path}
	got, err := c.do(ctx, d.address, r)
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusNotFound {
		return nil, nil
	}
	if err := check(r, got); err != nil {
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

// escapeSegments keeps the slashes of KIND/NAME.
func escapeSegments(id string) string {
	parts := strings.Split(id, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// addAudit adds who changed a configuration; the platform alone keeps it.
func (c *client) addAudit(ctx context.Context, x *explained) error {
	kind, name, found := strings.Cut(x.ID, "/")
	if !found {
		return withAdvice(merry.Append(ErrUsage, "a configuration is named KIND/NAME"), "as in why configuration routing-configurations/default")
	}
	kind, err := kindOf(kind)
	if err != nil && len(x.Decisions) > 0 {
		// A kind that is written by other tools than this one: daemons decide on
		// it, but its trail is not kept with it.
		return nil
	}
	if err != nil {
		return err
	}
	got, err := c.keepers(ctx, &request{method: http.MethodGet, path: "/admin/v1/audit/" + kind + "/" + url.PathEscape(name)})
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

func (c *whyCommand) printExplained(x *explained) error {
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
			c.app.note("%s", deliveryText(d))
		}
	}
	if err := c.printCandidates(x); err != nil {
		return err
	}
	if err := c.printAudit(x.Audit); err != nil {
		return err
	}
	if len(x.Unanswered) > 0 {
		c.app.note("not reached, so that decisions may be missing: %s", strings.Join(x.Unanswered, ", "))
	}
	return nil
}

func decisionRow(d *decision) []string {
	return []string{
		d.Time.UTC().Format(time.RFC3339Nano), d.Daemon, d.Verdict, d.Reason, d.Endpoint,
		numberText(uint64(d.Attempt)), d.Outcome, numberText(d.ConfigurationVersion), numberText(d.Fence), d.Actor,
	}
}

// deliveryText says what the caller had of a stream, and when: where a late
// answer lost its time.
func deliveryText(d *port.Delivery) string {
	read := d.FirstMillis - d.HeldMillis
	text := fmt.Sprintf("the caller had %d events: %d ms until a place, %d ms from there to the first event", d.Events, d.HeldMillis, read)
	if d.GapMillis > 0 {
		text += fmt.Sprintf(", the longest pause %d ms before event %d", d.GapMillis, d.GapEvent)
	}
	if d.Runners > 1 {
		text += fmt.Sprintf(", from %d runners", d.Runners)
	}
	return text
}

// printCandidates shows the scores of the newest decision that has some.
func (c *whyCommand) printCandidates(x *explained) error {
	for _, d := range slices.Backward(x.Decisions) {
		if len(d.Candidates) == 0 {
			continue
		}
		c.app.note("candidates of decision %s; the lowest score wins", d.ID)
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
	c.app.note("accepted changes; the record stands at version %d, deleted: %v", a.Version, a.Deleted)
	var rows [][]string
	for _, e := range a.Accepted {
		rows = append(rows, []string{e.Time.UTC().Format(time.RFC3339Nano), e.Actor, e.Action, numberText(e.BasedOn), e.Reason, e.WriteID})
	}
	return c.app.printer().print(nil, []string{"time", "actor", "action", "based on", "reason", "write id"}, rows)
}

func (a *app) note(format string, args ...any) { fmt.Fprintf(a.stdout, format+"\n", args...) }

func numberText(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

func scoreText(f float64) string { return strconv.FormatFloat(f, 'g', 4, 64) }
