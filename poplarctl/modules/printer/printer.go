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

// Printer writes the results of a command to one output, as text or as JSON.
type Printer struct {
	out  io.Writer
	json bool
}

// New returns a printer that writes to out, as JSON if asJSON is set.
func New(out io.Writer, asJSON bool) Printer {
	return Printer{out: out, json: asJSON}
}

// Value writes the value in JSON mode, and otherwise the line and the table.
func (p Printer) Value(value any, line string, table ...[]string) error {
	if p.json {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "writing the output")
	}
	if line != "" {
		if _, err := fmt.Fprintln(p.out, line); err != nil {
			return errors.Wrap(err, "writing the output")
		}
	}
	return p.writeTable(table)
}

// writeTable writes the rows in aligned columns. The first row is the heading; nothing is written if it is the only
// row.
func (p Printer) writeTable(rows [][]string) error {
	if len(rows) < 2 {
		return nil
	}
	aligned := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(aligned, strings.Join(printableCells(row), "\t")); err != nil {
			return errors.Wrap(err, "writing the output")
		}
	}
	return errors.Wrap(aligned.Flush(), "writing the output")
}

// printableCells replaces empty cells by a dash and quotes cells with control characters, which a terminal would
// interpret.
func printableCells(row []string) []string {
	printable := make([]string, 0, len(row))
	for _, cell := range row {
		if cell == "" {
			cell = "-"
		}
		if strings.ContainsFunc(cell, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			cell = fmt.Sprintf("%q", cell)
		}
		printable = append(printable, cell)
	}
	return printable
}
