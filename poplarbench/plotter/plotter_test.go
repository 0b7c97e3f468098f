package plotter_test

import (
	"bytes"
	"image/png"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/plotter"
	"poplarhook.example/poplarbench/result"
)

func resultOf(label string) result.Result {
	return result.Result{Label: label, Windows: []result.Window{
		{Second: 0, Sent: 10, Served: 10, P99MS: 20},
		{Second: 1, Sent: 10, Served: 7, Refusals: 2, Broken: 1, P99MS: 80},
	}}
}

func TestWriteSVGShowsLabelsAndTitles(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, plotter.New(resultOf("probes"), resultOf("")).Write(&out, "svg"), qt.IsNil)
	for _, text := range []string{"<svg", "probes", "run 2", "refused, unknown and broken", "99th percentile of latency"} {
		qt.Check(t, strings.Contains(out.String(), text), qt.IsTrue, qt.Commentf(text))
	}
}

func TestWritePNGIsDecodable(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, plotter.New(resultOf("probes")).Write(&out, "png"), qt.IsNil)
	picture, err := png.Decode(&out)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, picture.Bounds().Dx() > 100, qt.IsTrue)
}

func TestWriteRejectsInvalidInput(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, errors.Is(plotter.New(result.Result{Label: "empty"}).Write(&out, "svg"), plotter.ErrEmpty), qt.IsTrue)
	qt.Assert(t, plotter.New(resultOf("probes")).Write(&out, "bmp"), qt.ErrorMatches, "format of the plot: .*")
	qt.Assert(t, out.Len(), qt.Equals, 0)
}
