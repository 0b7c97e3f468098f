package plotter

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"poplarhook.example/poplarbench/result"
)

// ErrEmpty is returned for a result without windows.
var ErrEmpty = errors.New("nothing to draw")

const (
	// width and height fit three plots below each other on one page.
	width  = 18 * vg.Centimeter
	height = 24 * vg.Centimeter
	// headroom is the ratio of the top of the vertical axis to the highest value. The space above holds the legend.
	headroom = 1.3
)

// Plotter draws results over time, one line for each result.
type Plotter struct {
	results []result.Result
}

// New returns a Plotter of the results.
func New(results ...result.Result) Plotter {
	return Plotter{results: results}
}

// metric is a value of each one-second window, which one plot shows.
type metric struct {
	title string
	unit  string
	value func(w result.Window) float64
}

var metrics = []metric{
	{"served", "requests per second", func(w result.Window) float64 { return float64(w.Served) }},
	{"refused, unknown and broken", "requests per second", func(w result.Window) float64 { return float64(w.Refusals + w.Broken) }},
	{"99th percentile of latency", "ms", func(w result.Window) float64 { return w.P99MS }},
}

// Write draws the plots below each other in the given format: svg or png.
func (p Plotter) Write(out io.Writer, format string) error {
	canvas, err := draw.NewFormattedCanvas(width, height, format)
	if err != nil {
		return errors.Wrap(err, "format of the plot")
	}
	plots := make([][]*plot.Plot, 0, len(metrics))
	for _, q := range metrics {
		drawn, err := p.drawMetric(q)
		if err != nil {
			return err
		}
		plots = append(plots, []*plot.Plot{drawn})
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter, PadRight: vg.Centimeter}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[row][0].Draw(canvases[0])
	}
	_, err = canvas.WriteTo(out)
	return errors.Wrap(err, "writing the plot")
}

// drawMetric returns the plot of one metric.
func (p Plotter) drawMetric(q metric) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = q.title
	drawn.X.Label.Text = "second"
	drawn.Y.Label.Text = q.unit
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	for i, r := range p.results {
		line, err := newLine(r, q)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		drawn.Add(line)
		drawn.Legend.Add(labelOf(r, i), line)
	}
	drawn.Y.Max *= headroom
	return drawn, nil
}

func newLine(r result.Result, q metric) (*plotter.Line, error) {
	points := make(plotter.XYs, 0, len(r.Windows))
	for _, w := range r.Windows {
		points = append(points, plotter.XY{X: float64(w.Second), Y: q.value(w)})
	}
	if len(points) == 0 {
		return nil, errors.Wrapf(ErrEmpty, "result %q has no windows", r.Label)
	}
	line, err := plotter.NewLine(points)
	return line, errors.Wrapf(err, "result %q", r.Label)
}

// labelOf returns the label of the result, or its number among the results if it has none.
func labelOf(r result.Result, index int) string {
	if r.Label != "" {
		return r.Label
	}
	return fmt.Sprintf("run %d", index+1)
}
