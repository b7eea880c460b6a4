package sizing

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hoistjunction/hoistjunction/placement"
)

// Report prints what the fleet bears, what the worst loss costs, and what one more
// engine of each kind brings.
func (f *Fleet) Report(out io.Writer) error {
	if err := f.reportCapacity(out); err != nil {
		return err
	}
	if err := f.reportWorstCrash(out); err != nil {
		return err
	}
	return f.reportExtraEngine(out)
}

// forecast returns a data centre's outlook, with one more engine of a kind; extra may
// be empty.
func (f *Fleet) forecast(centre, extra string) placement.Forecast {
	list := placement.Forecasts(placement.ShapeOf(&f.pipeline), f.engineList(centre, extra))
	if len(list) == 0 {
		return placement.Forecast{DataCentre: centre, Missing: f.pipeline.Layers}
	}
	return list[0]
}

func (f *Fleet) reportCapacity(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "data centre\tengines\trequests/s\tat once\tlasting"); err != nil {
		return err
	}
	for _, centre := range f.dataCentres() {
		o := f.forecast(centre, "")
		var err error
		if o.Missing > 0 {
			_, err = fmt.Fprintf(w, "%s\t%d\tnone: %d layers fit nowhere\t\t\n", centre, o.Engines, o.Missing)
		} else {
			_, err = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.0f\t%d ms\n", centre, o.Engines, o.Rate, o.Concurrent, o.Duration)
		}
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

func (f *Fleet) reportWorstCrash(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "\nworst loss in\tengine\tlayers that nobody else holds\tleft meanwhile\treplaced in"); err != nil {
		return err
	}
	for _, centre := range f.dataCentres() {
		o := f.forecast(centre, "")
		if o.WorstCrash.IsZero() {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s\t%s\t%d\t%.0f%%\t%d ms\n", centre, o.WorstCrash, o.SoleLayers, o.RemainingShare*percent, o.ReplacementTime); err != nil {
			return err
		}
	}
	return w.Flush()
}

const percent = 100

func (f *Fleet) reportExtraEngine(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "\none more\tdata centre\trequests/s\tgain"); err != nil {
		return err
	}
	for _, kind := range f.acceleratorKinds() {
		centre, before, after := f.bestDataCentre(kind)
		if _, err := fmt.Fprintf(w, "%s\t%s\t%.1f\t%+.1f\n", kind, centre, after, after-before); err != nil {
			return err
		}
	}
	return w.Flush()
}

// bestDataCentre returns the data centre that gains most by one more engine of a kind, and
// what it bears without and with it.
func (f *Fleet) bestDataCentre(kind string) (centre string, before, after float64) {
	for _, c := range f.dataCentres() {
		without, with := f.forecast(c, "").Rate, f.forecast(c, kind).Rate
		if centre == "" || with-without > after-before {
			centre, before, after = c, without, with
		}
	}
	return centre, before, after
}
