package lab

import (
	"bytes"
	"html/template"
	"image/color"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// outcomeColours are those of the outcomes, from the best to the worst.
var outcomeColours = [outcomeCount]color.RGBA{
	InTime: {R: 0x4c, G: 0x9a, B: 0x6a, A: 0xff}, Late: {R: 0xe0, G: 0xb0, B: 0x40, A: 0xff},
	Refused: {R: 0x90, G: 0x90, B: 0xb0, A: 0xff}, Failed: {R: 0xc0, G: 0x4a, B: 0x4a, A: 0xff},
}

// reportTemplate is the report's page.
var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8"><title>hoistlab: {{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em 1em .2em 0;text-align:left}</style>
<h1>{{.Title}}</h1>
<p>Seed {{.Seed}}{{with .Variant}}, {{.}}{{end}}. Requests by the second of their first try:</p>
{{.Plot}}
<table><tr><th>figure</th><th></th></tr>{{range .Figures}}<tr><td>{{.Name}}</td><td>{{printf "%.4f" .Value}}</td></tr>{{end}}</table>
<h2>Why requests were not served</h2>
<table>{{range .Why}}<tr><td>{{.Name}}</td><td>{{printf "%.0f" .Value}}</td></tr>{{else}}<tr><td>all were</td></tr>{{end}}</table>
<h2>Promises</h2>
<table>{{range $name, $what := .Broken}}<tr><td>{{$name}}</td><td>broken: {{$what}}</td></tr>{{else}}<tr><td>none broken</td></tr>{{end}}</table>
`))

// tableRow is a row of a table.
type tableRow struct {
	Name  string
	Value float64
}

// maxCauses bounds the causes that a report names.
const maxCauses = 12

// WriteReport writes a run as one page of HTML.
func (r *Result) WriteReport(out io.Writer, title string) error {
	picture, err := r.plotSVG()
	if err != nil {
		return err
	}
	var figures, why []tableRow
	for _, name := range FigureNames {
		figures = append(figures, tableRow{name, r.Figures()[name]})
	}
	for _, cause := range r.TopCauses(maxCauses) {
		why = append(why, tableRow{cause, float64(r.Causes[cause])})
	}
	// The picture is drawn here; nothing of it comes from a scenario's text.
	return errors.Wrap(reportTemplate.Execute(out, map[string]any{
		"Title": title, "Seed": r.Seed, "Variant": r.Variant.Name, "Plot": template.HTML(picture), "Figures": figures, "Why": why, "Broken": r.Violations,
	}), "lab: report")
}

// plotSVG draws outcomes by second, one upon the other.
func (r *Result) plotSVG() (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests"
	p.Legend.Top = true
	var below *plotter.BarChart
	for o := range outcomeCount {
		values := make(plotter.Values, len(r.BySecond))
		for i, s := range r.BySecond {
			values[i] = float64(s[o])
		}
		bars, err := plotter.NewBarChart(values, plotWidth/vg.Length(2*len(values)+2))
		if err != nil {
			return "", errors.Wrap(err, "lab: plot")
		}
		bars.Color, bars.LineStyle.Width = outcomeColours[o], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(o.String(), bars)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(drawArea(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", errors.Wrap(err, "lab: plot")
	}
	_, svg, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return "<svg" + string(svg), nil
}
