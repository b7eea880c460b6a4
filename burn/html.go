package burn

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed report.html
var pageHTML string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"width": barWidth,
	"fixed": func(row int) int { return row * rowHeight },
	"class": rateClass,
	"pct":   func(share float64) float64 { return share * 100 },
	"missed": func(c Count) uint32 {
		return c.Total - c.Good
	},
}).Parse(pageHTML))

// Measures of the chart, in pixels.
const (
	rowHeight   = 34
	maxBarWidth = 420
	// maxBarRate is the burn rate at which a bar is full.
	maxBarRate = 5.0
)

func barWidth(rate float64) float64 { return min(rate/maxBarRate, 1) * maxBarWidth }

// rateClass is the colour of a rate: within budget, burning, or burning fast.
func rateClass(rate float64) string {
	switch {
	case rate <= 1:
		return "ok"
	case rate <= 2:
		return "warn"
	default:
		return "bad"
	}
}

// HTML writes the report as one page that needs nothing else.
func (r *Report) HTML(w io.Writer) error { return pageTemplate.Execute(w, r) }
