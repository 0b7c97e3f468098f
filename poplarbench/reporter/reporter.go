package reporter

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
)

// Reporter writes results to one output.
type Reporter struct {
	out io.Writer
}

// New returns a reporter that writes to out.
func New(out io.Writer) *Reporter {
	return &Reporter{out: out}
}

// JSON writes the result as one indented JSON object.
func (r *Reporter) JSON(measured result.Result) error {
	encoder := json.NewEncoder(r.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(measured), "writing the result")
}

// Table writes a text table with the totals of the run and of each entry of its mix.
func (r *Reporter) Table(measured result.Result) error {
	table := aligner.New()
	table.Addf("entry\tsent\tserved\tnot_run\tunknown\tbroken\tlost\tdoubled\tfalse_not_run\tp50_ms\tp99_ms\tmax_ms\t")
	for _, entry := range measured.Mix {
		writeTotals(table, entry.Name, entry.Totals)
	}
	writeTotals(table, "all", measured.Totals)
	if !measured.Accounted {
		table.Addf("outcomes not compared with executions: no execution records were fetched")
	}
	if measured.LateSends > 0 {
		table.Addf("late: the generator sent %d requests late", measured.LateSends)
	}
	_, err := table.WriteTo(r.out)
	return err
}

func writeTotals(table *aligner.Aligner, name string, t result.Totals) {
	table.Addf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t",
		name, t.Sent, t.Served, t.NotRun, t.Unknown, t.Broken, t.Lost, t.Doubled, t.FalseNotRun, t.P50MS, t.P99MS, t.MaxMS)
}
