package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const columnGap = 2

// Printer writes to one output, in JSON if asked to.
type Printer struct {
	out  io.Writer
	json bool
}

// New returns a printer.
func New(out io.Writer, asJSON bool) Printer {
	return Printer{out: out, json: asJSON}
}

// Value writes the value as JSON if asked to; otherwise it writes the line and the table.
func (p Printer) Value(value any, line string, table ...[]string) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "writing the answer")
	}
	if line != "" {
		if _, err := fmt.Fprintln(p.out, line); err != nil {
			return errors.Wrap(err, "writing the answer")
		}
	}
	return p.table(table)
}

// table writes rows, the first of which is the heading; a heading alone is left out.
func (p Printer) table(rows [][]string) error {
	if len(rows) < 2 {
		return nil
	}
	aligned := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(aligned, strings.Join(cells(row), "\t")); err != nil {
			return errors.Wrap(err, "writing the answer")
		}
	}
	return errors.Wrap(aligned.Flush(), "writing the answer")
}

// cells marks empty cells, and shows characters that could steer a terminal escaped.
func cells(row []string) []string {
	list := make([]string, 0, len(row))
	for _, cell := range row {
		if cell == "" {
			cell = "-"
		}
		if strings.ContainsFunc(cell, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			cell = fmt.Sprintf("%q", cell)
		}
		list = append(list, cell)
	}
	return list
}
