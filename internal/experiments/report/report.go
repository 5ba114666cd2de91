// Package report writes the measurements of the experiments: tables as Markdown, charts as SVG.
package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-analyze/charts"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// maxDuration is the longest duration that Durations records, in microseconds; longer ones are recorded as maxDuration.
const maxDuration = 10 * 60 * 1_000_000

// Durations collects durations in a histogram with three significant digits. It is not safe for concurrent use.
type Durations struct{ histogram *hdrhistogram.Histogram }

// NewDurations returns an empty collection.
func NewDurations() *Durations { return &Durations{hdrhistogram.New(1, maxDuration, 3)} }

// Add records one duration in microseconds; a negative one is recorded as 0.
func (s *Durations) Add(microseconds int64) {
	s.histogram.RecordValue(min(max(microseconds, 0), maxDuration))
}

// Millis returns the duration at a percentile (0 to 100) in milliseconds, or -1 if the collection is empty.
func (s *Durations) Millis(quantile float64) float64 {
	if s.histogram.TotalCount() == 0 {
		return -1
	}
	return float64(s.histogram.ValueAtQuantile(quantile)) / 1000
}

// Cell formats the duration at a percentile (0 to 100) in milliseconds for a table cell, or returns "-" if the collection is empty.
func (s *Durations) Cell(quantile float64) string {
	if v := s.Millis(quantile); v >= 0 {
		return fmt.Sprintf("%.1f", v)
	}
	return "-"
}

// Table writes a Markdown table to w.
func Table(w io.Writer, head []string, rows [][]string) error {
	t := tablewriter.NewTable(w,
		tablewriter.WithRenderer(renderer.NewMarkdown()),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithAlignment(tw.Alignment{tw.AlignLeft}),
	)
	t.Header(head)
	if err := t.Bulk(rows); err != nil {
		return err
	}
	return t.Render()
}

// Bars is a bar chart with a group of bars for each label.
type Bars struct {
	Title, Note string
	Labels      []string
	Series      []string
	Values      [][]float64 // by series, then label
}

// Write draws the chart into an SVG file, and creates its directory if needed.
func (b Bars) Write(path string) error {
	p, err := charts.BarRender(b.Values,
		charts.TitleTextOptionFunc(b.Title, b.Note), charts.XAxisLabelsOptionFunc(b.Labels),
		charts.LegendOptionFunc(charts.LegendOption{
			SeriesNames: b.Series, Offset: charts.OffsetStr{Left: charts.PositionRight},
		}),
		charts.DimensionsOptionFunc(900, 420), charts.SVGOutputOptionFunc(),
	)
	if err != nil {
		return err
	}
	return writePainter(path, p)
}

// Lines is a line chart of several series over the same labels.
type Lines struct {
	Title, Note string
	Labels      []string
	Series      []string
	Values      [][]float64 // by series, then label
}

// Write draws the chart into an SVG file, and creates its directory if needed.
func (l Lines) Write(path string) error {
	p, err := charts.LineRender(l.Values,
		charts.TitleTextOptionFunc(l.Title, l.Note), charts.XAxisLabelsOptionFunc(l.Labels),
		charts.LegendOptionFunc(charts.LegendOption{
			SeriesNames: l.Series, Offset: charts.OffsetStr{Left: charts.PositionRight},
		}),
		charts.DimensionsOptionFunc(1100, 420), charts.SVGOutputOptionFunc(),
		func(o *charts.ChartOption) { o.Symbol.Shape = charts.SymbolNone },
	)
	if err != nil {
		return err
	}
	return writePainter(path, p)
}

// writePainter writes a drawn chart into a file, and creates its directory if needed.
func writePainter(path string, p *charts.Painter) error {
	raw, err := p.Bytes()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}
