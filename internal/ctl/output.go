package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/olekukonko/tablewriter"
)

// printer writes results as a table or as JSON.
type printer struct {
	out  io.Writer
	json bool
}

// print writes v as JSON, or the rows as a table.
func (p *printer) print(v any, header []string, rows [][]string) error {
	if p.json {
		return p.printJSON(v)
	}
	if len(rows) == 0 {
		_, err := fmt.Fprintln(p.out, "nothing found")
		return err
	}
	table := tablewriter.NewTable(p.out)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return merry.Prepend(err, "cannot build the output table")
	}
	return merry.Prepend(table.Render(), "cannot print the output table")
}

func (p *printer) printJSON(v any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}
