package aligner

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const columnGap = 2

// Aligner collects rows, in which a tab ends each cell, and writes them as a table with aligned columns.
type Aligner struct {
	rows strings.Builder
}

// New returns an aligner without rows.
func New() *Aligner {
	return new(Aligner)
}

// Addf adds a row in the format of fmt.Sprintf.
func (a *Aligner) Addf(format string, arguments ...any) {
	fmt.Fprintf(&a.rows, format+"\n", arguments...)
}

// WriteTo writes the rows with right-aligned cells. It returns the number of bytes before alignment.
func (a *Aligner) WriteTo(out io.Writer) (int64, error) {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	count, err := io.WriteString(table, a.rows.String())
	if err != nil {
		return int64(count), errors.Wrap(err, "writing the table")
	}
	return int64(count), errors.Wrap(table.Flush(), "writing the table")
}
