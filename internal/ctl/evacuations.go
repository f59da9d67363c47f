package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// domainArg is the positional argument that names a failure domain.
type domainArg struct {
	Domain string `positional-arg-name:"FAILURE-DOMAIN" description:"name of the failure domain"`
}

type evacuateCommand struct {
	app    *app
	Reason string    `long:"reason" required:"true" value-name:"TEXT" description:"reason, shown by the evacuations command"`
	Target domainArg `positional-args:"true" required:"true"`
}

// Execute creates an evacuation record, after which the endpoints of the
// failure domain receive no new work.
func (c *evacuateCommand) Execute([]string) error {
	d := document{
		"schema_version": json.Number("2"), "kind": port.ObjectDomainEvacuation, "name": c.Target.Domain,
		"spec": map[string]any{
			"reason": c.Reason, "requested_by": c.app.Actor, "since": time.Now().UTC().Format(time.RFC3339),
		},
	}
	w, err := c.app.client().put(c.app.ctx, d, 0)
	if errors.Is(err, ErrConflict) {
		return withAdvice(err, "the failure domain is already evacuated: see `dragonflyctl evacuations`")
	}
	if err != nil {
		return err
	}
	return c.app.printApplied([]applyResult{{
		Kind: d.kind(), Name: d.name(), Action: "evacuated", Version: w.Version, WriteID: w.WriteID,
	}})
}

type useAgainCommand struct {
	app    *app
	Target domainArg `positional-args:"true" required:"true"`
}

// Execute deletes the evacuation record of a failure domain.
func (c *useAgainCommand) Execute([]string) error {
	kind, name := port.ObjectDomainEvacuation, c.Target.Domain
	_, version, err := c.app.client().fetch(c.app.ctx, kind, name, 0)
	if errors.Is(err, ErrNotFound) {
		return withAdvice(err, "no evacuation of this failure domain was ordered with dragonflyctl: see `dragonflyctl evacuations`")
	}
	if err != nil {
		return err
	}
	w, err := c.app.client().remove(c.app.ctx, kind, name, precondition(version))
	if err != nil {
		return err
	}
	return c.app.printApplied([]applyResult{{Kind: kind, Name: name, Action: "used again", Version: w.Version, WriteID: w.WriteID}})
}

type evacuationsCommand struct{ app *app }

// Execute lists all evacuations in force, those ordered through the platform
// included.
func (c *evacuationsCommand) Execute([]string) error {
	all, err := c.app.client().evacuations(c.app.ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, e := range all {
		since := ""
		if e.Since != nil {
			since = e.Since.Format(time.RFC3339)
		}
		rows = append(rows, []string{e.FailureDomain, e.Kind, e.RequestedBy, since, e.Reason, strconv.FormatUint(e.Version, 10)})
	}
	return c.app.printer().print(all, []string{"failure domain", "ordered through", "by", "since", "reason", "version"}, rows)
}

// evacuationList is a keeper's reply to a GET of the evacuations.
type evacuationList struct {
	Evacuations []evacuation.Evacuation `json:"evacuations"`
}

func (c *client) evacuations(ctx context.Context) ([]evacuation.Evacuation, error) {
	got, err := c.callKeeper(ctx, &request{method: http.MethodGet, path: "/admin/v1/evacuations"})
	if err != nil {
		return nil, err
	}
	var l evacuationList
	return l.Evacuations, got.decode(&l)
}
