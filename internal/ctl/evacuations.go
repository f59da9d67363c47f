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

// domainArg names a failure domain.
type domainArg struct {
	Domain string `positional-arg-name:"FAILURE-DOMAIN" description:"name of the failure domain"`
}

type evacuateCommand struct {
	app    *app
	Reason string    `long:"reason" required:"true" value-name:"TEXT" description:"why, for those who ask later"`
	Target domainArg `positional-args:"true" required:"true"`
}

// Execute has the endpoints of a failure domain get nothing more.
func (c *evacuateCommand) Execute([]string) error {
	d := document{
		"schema_version": json.Number("2"), "kind": port.ObjectDomainEvacuation, "name": c.Target.Domain,
		"spec": map[string]any{
			"reason": c.Reason, "requested_by": c.app.Actor, "since": time.Now().UTC().Format(time.RFC3339),
		},
	}
	w, err := c.app.client().put(c.app.ctx, d, 0)
	if errors.Is(err, ErrConflict) {
		return withAdvice(err, "it is evacuated already: see `dragonflyctl evacuations`")
	}
	if err != nil {
		return err
	}
	return c.app.printApplied([]applied{{
		Kind: d.kind(), Name: d.name(), Action: "evacuated", Version: w.Version, WriteID: w.WriteID,
	}})
}

type useAgainCommand struct {
	app    *app
	Target domainArg `positional-args:"true" required:"true"`
}

// Execute takes an evacuation back.
func (c *useAgainCommand) Execute([]string) error {
	kind, name := port.ObjectDomainEvacuation, c.Target.Domain
	_, version, err := c.app.client().fetch(c.app.ctx, kind, name, 0)
	if errors.Is(err, ErrNotFound) {
		return withAdvice(err, "it isn't evacuated by an operator of this system: see `dragonflyctl evacuations`")
	}
	if err != nil {
		return err
	}
	w, err := c.app.client().remove(c.app.ctx, kind, name, condition(version))
	if err != nil {
		return err
	}
	return c.app.printApplied([]applied{{Kind: kind, Name: name, Action: "used again", Version: w.Version, WriteID: w.WriteID}})
}

type evacuationsCommand struct{ app *app }

// Execute lists the evacuations in force, whoever gave the order.
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

// evacuationList is a daemon's answer.
type evacuationList struct {
	Evacuations []evacuation.Evacuation `json:"evacuations"`
}

func (c *client) evacuations(ctx context.Context) ([]evacuation.Evacuation, error) {
	got, err := c.keepers(ctx, &request{method: http.MethodGet, path: "/admin/v1/evacuations"})
	if err != nil {
		return nil, err
	}
	var l evacuationList
	return l.Evacuations, got.decode(&l)
}
