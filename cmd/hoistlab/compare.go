package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"github.com/hoistjunction/hoistjunction/lab"
)

// experimentOptions are those of all experiments.
type experimentOptions struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Seeds    int    `arg:"--seeds" default:"12" help:"how many seeds each variant plays"`
	First    uint64 `arg:"--first" default:"1" help:"the first seed"`
	Jobs     int    `arg:"--jobs" default:"0" help:"runs at a time; 0 for one on each processor"`
}

// compareCommand compares variants with the product as it is.
type compareCommand struct {
	experimentOptions
	Without []string `arg:"--without,separate" help:"a variant: mechanisms that are off, with commas between"`
}

func (c *compareCommand) run() error { return c.compare(c.Without) }

// ablateCommand switches each mechanism off in turn.
type ablateCommand struct{ experimentOptions }

func (c *ablateCommand) run() error { return c.compare(lab.Mechanisms()) }

func (o *experimentOptions) compare(without []string) error {
	s, err := lab.LoadScenario(o.Scenario)
	if err != nil {
		return err
	}
	variants := []lab.Variant{{Name: asItIs}}
	for _, names := range without {
		v, err := lab.Without(names)
		if err != nil {
			return err
		}
		variants = append(variants, v)
	}
	bar := progressbar.NewOptions(o.Seeds*len(variants), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	e := lab.Experiment{Scenario: s, Variants: variants, Seeds: o.Seeds, FirstSeed: o.First, Parallelism: o.Jobs, RunDone: func() { step(bar) }}
	results, err := e.Run()
	if err != nil {
		return err
	}
	return printDifferences(lab.Differences(results))
}

// step moves a bar on. A bar that cannot be drawn harms nothing.
func step(bar *progressbar.ProgressBar) { _ = bar.Add(1) }

// printDifferences prints a table: a row for each variant and figure that differs at all.
func printDifferences(list []lab.Difference) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "variant\tfigure\tmean\tdifference\t95 in 100\tseeds with a promise broken"); err != nil {
		return err
	}
	for i, d := range list {
		first := i < len(lab.FigureNames)
		if !first && d.MeanDifference == 0 && d.Low == 0 && d.High == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s\t%s\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d\n", d.Variant, d.Figure, d.Mean, d.MeanDifference, d.Low, d.High, d.SeedsWithViolations); err != nil {
			return err
		}
	}
	return w.Flush()
}
