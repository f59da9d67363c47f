package ctl

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type memberList struct {
	Members []port.Member `json:"members"`
}

// members lists the daemons that a keeper knows.
func (c *client) members(ctx context.Context) ([]port.Member, error) {
	got, err := c.callKeeper(ctx, &request{method: http.MethodGet, path: "/admin/v1/members"})
	if err != nil {
		return nil, err
	}
	var l memberList
	return l.Members, got.decode(&l)
}

// memberByID returns the member with the id, if it has an admin address.
func (c *client) memberByID(ctx context.Context, id string) (port.Member, error) {
	members, err := c.members(ctx)
	if err != nil {
		return port.Member{}, err
	}
	for _, m := range members {
		if m.ID == id && m.AdminAddress != "" {
			return m, nil
		}
	}
	return port.Member{}, withAdvice(merry.Appendf(ErrNotFound, "no daemon with id %q and a known admin address", id),
		"list the daemons with `dragonflyctl in-force`, or pass the IP:PORT of the admin listener")
}

// daemonStatus is the state of one daemon as a keeper reports it. HeardAgeMillis
// is the age of that report, and -1 if no keeper that replied hears the daemon.
type daemonStatus struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Host           string `json:"host"`
	FailureDomain  string `json:"failure_domain"`
	State          string `json:"state"`
	Condition      string `json:"condition,omitempty"`
	Version        uint64 `json:"version"`
	Current        bool   `json:"current"`
	AgeMillis      int64  `json:"age_ms"`
	HeardAgeMillis int64  `json:"heard_age_ms"`
}

// inForceReply is a keeper's reply to a GET of in-force. Fields that this build
// doesn't know are dropped.
type inForceReply struct {
	Version           uint64         `json:"version"`
	Records           int            `json:"records"`
	PlatformAgeMillis int64          `json:"platform_age_ms"`
	StoreEra          uint64         `json:"store_era,omitempty"`
	Daemons           []daemonStatus `json:"hosts"`
	UnansweredKeepers []string       `json:"unanswered_keepers,omitempty"`
}

type inForceCommand struct{ app *app }

// Execute prints the version in force at each daemon.
func (c *inForceCommand) Execute([]string) error {
	got, err := c.app.client().callKeeper(c.app.ctx, &request{method: http.MethodGet, path: "/admin/v1/in-force"})
	if err != nil {
		return err
	}
	var f inForceReply
	if err := got.decode(&f); err != nil {
		return err
	}
	var rows [][]string
	for _, h := range f.Daemons {
		rows = append(rows, []string{
			h.FailureDomain, h.ID, h.Role, strings.TrimSpace(h.State + " " + h.Condition), versionText(h.Version),
			strconv.FormatBool(h.Current), millisText(h.AgeMillis), millisText(h.HeardAgeMillis),
		})
	}
	err = c.app.printer().print(f, []string{"failure domain", "daemon", "role", "state", "version", "current", "in force for", "heard ago"}, rows)
	if err != nil || c.app.Output == "json" {
		return err
	}
	c.app.printLine("newest version %d, %d records; the platform answered %s ago", f.Version, f.Records, millisText(f.PlatformAgeMillis))
	if f.StoreEra > 0 {
		c.app.printLine("era %d of the platform's store: it has come back from a copy before", f.StoreEra)
	}
	if len(f.UnansweredKeepers) > 0 {
		c.app.printLine("keepers that did not answer, so that lines may be missing or old: %s", strings.Join(f.UnansweredKeepers, ", "))
	}
	return nil
}

// millisText formats a duration, or a dash for a negative one, which is unknown.
func millisText(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return strconv.FormatInt(ms, 10) + " ms"
}

type drainCommand struct {
	app  *app
	Args struct {
		Daemon string `positional-arg-name:"DAEMON" required:"true" description:"id of the daemon, or the IP:PORT of its admin listener"`
	} `positional-args:"true" required:"true"`
}

type drainResult struct {
	Daemon  string `json:"daemon"`
	Address string `json:"address"`
	Action  string `json:"action"`
}

// Execute requests one daemon to stop gracefully.
func (c *drainCommand) Execute([]string) error {
	id := c.Args.Daemon
	address := id
	if !strings.Contains(id, ":") {
		m, err := c.app.client().memberByID(c.app.ctx, id)
		if err != nil {
			return err
		}
		address = m.AdminAddress
	}
	r := &request{method: http.MethodPost, path: "/admin/v1/drain"}
	got, err := c.app.client().do(c.app.ctx, address, r)
	if err != nil {
		return err
	}
	if err := checkStatus(r, got); err != nil {
		return err
	}
	d := drainResult{Daemon: id, Address: address, Action: "draining"}
	return c.app.printer().print(d, []string{"daemon", "address", "action"}, [][]string{{d.Daemon, d.Address, d.Action}})
}

type entryCommand struct {
	app          *app
	Organisation string `long:"organisation" value-name:"NAME" required:"true" description:"organisation of the caller"`
	Model        string `long:"model" value-name:"NAME" description:"model that the caller requests"`
}

type entryReply struct {
	Addresses      []string `json:"addresses"`
	ValidForMillis int64    `json:"valid_for_ms"`
}

// Execute queries the routers in turn and prints the first successful reply.
func (c *entryCommand) Execute([]string) error {
	if len(c.app.Entries) == 0 {
		return withAdvice(merry.Append(ErrUsage, "no callers' address of a router is known"),
			"pass --entry-address IP:PORT, set DRAGONFLYCTL_ENTRIES, or list the entries in the --config file")
	}
	query := url.Values{"organisation": {c.Organisation}}
	if c.Model != "" {
		query.Set("model", c.Model)
	}
	header := http.Header{"Authorization": {"Bearer " + c.app.OrganisationKey}}
	r := &request{method: http.MethodGet, path: "/v1/entry?" + query.Encode(), header: header}
	var lastErr error
	for _, address := range c.app.Entries {
		got, err := c.app.client().do(c.app.ctx, address, r)
		if err == nil {
			err = checkEntryStatus(r, got)
		}
		if err != nil {
			lastErr = err
			continue
		}
		var e entryReply
		if err := got.decode(&e); err != nil {
			return err
		}
		return c.printEntry(&e)
	}
	return lastErr
}

// checkEntryStatus is checkStatus for a router's callers' address, where a 401
// refers to the organisation's key and not to the admin token.
func checkEntryStatus(sent *request, r *reply) error {
	if r.status == http.StatusUnauthorized {
		return withAdvice(merry.Append(ErrUnauthorized, "the organisation's key is missing or wrong"),
			"pass it with --organisation-key, DRAGONFLYCTL_ORGANISATION_KEY or organisation_key in the --config file")
	}
	return checkStatus(sent, r)
}

func (c *entryCommand) printEntry(e *entryReply) error {
	var rows [][]string
	for i, address := range e.Addresses {
		rows = append(rows, []string{strconv.Itoa(i + 1), address, millisText(e.ValidForMillis)})
	}
	return c.app.printer().print(e, []string{"order", "address", "valid for"}, rows)
}
