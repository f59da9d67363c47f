package ctl

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
)

type applyCommand struct {
	app       *app
	File      flags.Filename `short:"f" long:"file" required:"true" value-name:"FILE" description:"file of JSON documents; - reads standard input"`
	IfVersion uint64         `long:"if-version" value-name:"N" description:"apply only if the record is at this version"`
}

// Execute applies the documents in order. It stops at the first failure, as
// later documents may depend on the failed one, and prints the results up to
// there.
func (c *applyCommand) Execute([]string) error {
	documents, err := readDocuments(string(c.File), c.app.stdin)
	if err != nil {
		return err
	}
	if c.IfVersion > 0 && len(documents) > 1 {
		return merry.Append(ErrUsage, "--if-version requires a single document")
	}
	var results []applyResult
	var applyErr error
	for _, d := range documents {
		a, err := c.app.client().apply(c.app.ctx, d, c.IfVersion)
		if err != nil {
			applyErr = merry.Prepend(err, a.Kind+"/"+a.Name)
			break
		}
		results = append(results, a)
	}
	if len(results) > 0 {
		if err := c.app.printApplied(results); err != nil {
			return err
		}
	}
	return applyErr
}

func (a *app) printApplied(results []applyResult) error {
	var rows [][]string
	for _, d := range results {
		rows = append(rows, []string{d.Kind, d.Name, d.Action, versionText(d.Version), d.WriteID})
	}
	return a.printer().print(results, []string{"kind", "name", "action", "version", "write id"}, rows)
}

type getCommand struct {
	app    *app
	Schema int       `long:"schema-version" value-name:"N" description:"schema version to show the record in; the default is the stored one"`
	Record recordArg `positional-args:"true" required:"true"`
}

// Execute prints one record.
func (c *getCommand) Execute([]string) error {
	d, version, err := c.app.client().fetch(c.app.ctx, string(c.Record.Kind), c.Record.Name, c.Schema)
	if err != nil {
		return err
	}
	if c.app.Output == "json" {
		// Prints the document alone, so that the output can be changed and applied.
		return c.app.printer().printJSON(d)
	}
	rows := [][]string{{"(version)", versionText(version)}}
	for _, f := range differences(document{}, d) {
		rows = append(rows, []string{f.Path, valueText(f.New)})
	}
	return c.app.printer().print(d, []string{"field", "value"}, rows)
}

type listCommand struct {
	app  *app
	Args struct {
		Kind kindArg `positional-arg-name:"KIND" description:"kind of record; the default is all kinds"`
	} `positional-args:"true"`
}

// Execute prints the records of one kind or of all kinds.
func (c *listCommand) Execute([]string) error {
	selected := kinds
	if c.Args.Kind != "" {
		selected = []string{string(c.Args.Kind)}
	}
	all := []listedRecord{}
	var rows [][]string
	for _, kind := range selected {
		found, err := c.app.client().list(c.app.ctx, kind)
		if err != nil {
			return err
		}
		all = append(all, found...)
		for _, l := range found {
			rows = append(rows, []string{kind, l.Document.name(), versionText(l.Version), valueText(l.Document["schema_version"])})
		}
	}
	return c.app.printer().print(all, []string{"kind", "name", "version", "schema"}, rows)
}

type editCommand struct {
	app       *app
	Set       []string  `long:"set" value-name:"PATH=VALUE" description:"set a field, for example spec.limits.batch=32; a value that is not valid JSON is taken as a string"`
	Unset     []string  `long:"unset" value-name:"PATH" description:"remove a field"`
	IfVersion uint64    `long:"if-version" value-name:"N" description:"write only if the record is at this version; the default is the version just read"`
	Schema    int       `long:"schema-version" value-name:"N" description:"schema version to edit the record in; the default is the stored one"`
	Record    recordArg `positional-args:"true" required:"true"`
}

// Execute changes one record, provided that its version is still the one read
// or the one given.
func (c *editCommand) Execute([]string) error {
	if len(c.Set)+len(c.Unset) == 0 {
		return withAdvice(merry.Append(ErrUsage, "no change given"), "pass changes with --set PATH=VALUE or --unset PATH")
	}
	d, version, err := c.app.client().fetch(c.app.ctx, string(c.Record.Kind), c.Record.Name, c.Schema)
	if err != nil {
		return err
	}
	if err := c.revise(d); err != nil {
		return err
	}
	if c.IfVersion > 0 {
		version = c.IfVersion
	}
	w, err := c.app.client().put(c.app.ctx, d, precondition(version))
	if err != nil {
		return err
	}
	return c.app.printApplied([]applyResult{{
		Kind: string(c.Record.Kind), Name: c.Record.Name, Action: "changed", Version: w.Version, WriteID: w.WriteID,
	}})
}

func (c *editCommand) revise(d document) error {
	for _, s := range c.Set {
		path, value, found := strings.Cut(s, "=")
		if !found {
			return merry.Appendf(ErrUsage, "--set %s: expected PATH=VALUE", s)
		}
		if err := d.set(path, value); err != nil {
			return err
		}
	}
	for _, path := range c.Unset {
		if err := d.unset(path); err != nil {
			return err
		}
	}
	return nil
}

type diffCommand struct {
	app  *app
	File flags.Filename `short:"f" long:"file" required:"true" value-name:"FILE" description:"file of JSON documents; - reads standard input"`
}

// recordDiff lists the fields in which a document differs from the record in force.
type recordDiff struct {
	Kind    string        `json:"kind"`
	Name    string        `json:"name"`
	Version uint64        `json:"version"`
	Changes []fieldChange `json:"changes"`
}

// Execute prints the changes that apply would make.
func (c *diffCommand) Execute([]string) error {
	documents, err := readDocuments(string(c.File), c.app.stdin)
	if err != nil {
		return err
	}
	all := []recordDiff{}
	var rows [][]string
	for _, d := range documents {
		diff, err := c.app.client().diff(c.app.ctx, d)
		if err != nil {
			return err
		}
		all = append(all, diff)
		for _, ch := range diff.Changes {
			rows = append(rows, []string{diff.Kind + "/" + diff.Name, ch.Path, valueText(ch.Old), valueText(ch.New)})
		}
	}
	if len(rows) == 0 && c.app.Output != "json" {
		_, err := fmt.Fprintln(c.app.stdout, "no difference")
		return err
	}
	if err := c.app.printer().print(all, []string{"record", "field", "in force", "file"}, rows); err != nil {
		return err
	}
	if len(rows) > 0 {
		return withAdvice(ErrDifferent, "apply the file with `dragonflyctl apply -f`")
	}
	return nil
}

type deleteCommand struct {
	app       *app
	IfVersion uint64    `long:"if-version" value-name:"N" description:"delete only if the record is at this version; the default is the version just read"`
	Record    recordArg `positional-args:"true" required:"true"`
}

// Execute deletes one record, provided that its version is still the one read
// or the one given.
func (c *deleteCommand) Execute([]string) error {
	kind, name := string(c.Record.Kind), c.Record.Name
	version := c.IfVersion
	if version == 0 {
		_, current, err := c.app.client().fetch(c.app.ctx, kind, name, 0)
		if err != nil {
			return err
		}
		version = current
	}
	w, err := c.app.client().remove(c.app.ctx, kind, name, precondition(version))
	if err != nil {
		return err
	}
	return c.app.printApplied([]applyResult{{Kind: kind, Name: name, Action: "deleted", Version: w.Version, WriteID: w.WriteID}})
}
