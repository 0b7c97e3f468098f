package comparer

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/aligner"
	"poplarhook.example/poplarbench/result"
)

const percentScale = 100

// ErrInvalid is returned for input that is not the JSON form of a result.
var ErrInvalid = errors.New("invalid result")

// Comparer writes two results side by side.
type Comparer struct {
	before result.Result
	after  result.Result
}

// New returns a comparer of the results of two runs.
func New(before, after result.Result) Comparer {
	return Comparer{before: before, after: after}
}

// Read decodes a result from its JSON form.
func Read(r io.Reader) (result.Result, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var read result.Result
	if err := decoder.Decode(&read); err != nil {
		return result.Result{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return read, nil
}

// Write writes the totals, and the entries that both results contain, with the change in percent.
func (c Comparer) Write(out io.Writer) error {
	table := aligner.New()
	table.Addf("\t%s\t%s\tchange\t", titleOf(c.before, "A"), titleOf(c.after, "B"))
	writeTotals(table, "", c.before.Totals, c.after.Totals)
	writeCount(table, "late_sends", c.before.LateSends, c.after.LateSends)
	writeCount(table, "fell_over", c.before.ColdOverloads, c.after.ColdOverloads)
	writeCount(table, "cold_peak_in_flight", c.before.ColdPeakInFlight, c.after.ColdPeakInFlight)
	writeCount(table, "connections_peak", c.before.ConnectionsPeak, c.after.ConnectionsPeak)
	for _, before := range c.before.Mix {
		for _, after := range c.after.Mix {
			if before.Name == after.Name {
				writeTotals(table, before.Name+" ", before.Totals, after.Totals)
			}
		}
	}
	_, err := table.WriteTo(out)
	return err
}

func titleOf(r result.Result, fallback string) string {
	if r.Label == "" {
		return fallback
	}
	return r.Label
}

func writeTotals(table *aligner.Aligner, prefix string, a, b result.Totals) {
	writeCount(table, prefix+"sent", a.Sent, b.Sent)
	writeCount(table, prefix+"served", a.Served, b.Served)
	writeCount(table, prefix+"not_run", a.NotRun, b.NotRun)
	writeCount(table, prefix+"unknown", a.Unknown, b.Unknown)
	writeCount(table, prefix+"broken", a.Broken, b.Broken)
	writeCount(table, prefix+"wrong_answer", a.WrongAnswer, b.WrongAnswer)
	writeCount(table, prefix+"lost", a.Lost, b.Lost)
	writeCount(table, prefix+"doubled", a.Doubled, b.Doubled)
	writeCount(table, prefix+"false_not_run", a.FalseNotRun, b.FalseNotRun)
	writeCount(table, prefix+"served_against_class", a.ServedAgainstClass, b.ServedAgainstClass)
	writeCount(table, prefix+"extra_executions", a.ExtraExecutions, b.ExtraExecutions)
	writeMillis(table, prefix+"p50_ms", a.P50MS, b.P50MS)
	writeMillis(table, prefix+"p90_ms", a.P90MS, b.P90MS)
	writeMillis(table, prefix+"p99_ms", a.P99MS, b.P99MS)
	writeMillis(table, prefix+"p99_9_ms", a.P999MS, b.P999MS)
	writeMillis(table, prefix+"max_ms", a.MaxMS, b.MaxMS)
}

func writeCount(table *aligner.Aligner, name string, a, b int64) {
	table.Addf("%s\t%d\t%d\t%s\t", name, a, b, formatChange(float64(a), float64(b)))
}

func writeMillis(table *aligner.Aligner, name string, a, b float64) {
	table.Addf("%s\t%.2f\t%.2f\t%s\t", name, a, b, formatChange(a, b))
}

// formatChange returns the change from a to b in percent, or a fixed text if they are equal or a is zero.
func formatChange(a, b float64) string {
	if a == b {
		return "="
	}
	if a == 0 {
		return "new"
	}
	return fmt.Sprintf("%+.1f%%", (b-a)/a*percentScale)
}
