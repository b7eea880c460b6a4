package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"github.com/hoistjunction/hoistjunction/lab"
)

// experimentOptions are the options shared by compare and ablate.
type experimentOptions struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Seeds    int    `arg:"--seeds" default:"12" help:"number of seeds played with each variant"`
	First    uint64 `arg:"--first" default:"1" help:"the first seed"`
	Jobs     int    `arg:"--jobs" default:"0" help:"number of concurrent runs; 0 for one per processor"`
}

// compareCommand compares variants of the product with the unmodified product.
type compareCommand struct {
	experimentOptions
	Without []string `arg:"--without,separate" help:"a variant, given as the mechanisms to disable, separated by commas"`
}

func (c *compareCommand) run() error { return c.compare(c.Without) }

// ablateCommand compares variants that each have one mechanism disabled.
type ablateCommand struct{ experimentOptions }

func (c *ablateCommand) run() error { return c.compare(lab.Mechanisms()) }

func (o *experimentOptions) compare(without []string) error {
	s, err := lab.LoadScenario(o.Scenario)
	if err != nil {
		return err
	}
	variants := []lab.Variant{{Name: unmodified}}
	for _, names := range without {
		v, err := lab.Without(names)
		if err != nil {
			return err
		}
		variants = append(variants, v)
	}
	bar := progressbar.NewOptions(o.Seeds*len(variants), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	e := lab.Experiment{Scenario: s, Variants: variants, Seeds: o.Seeds, FirstSeed: o.First, Parallelism: o.Jobs, RunDone: func() { advance(bar) }}
	results, err := e.Run()
	if err != nil {
		return err
	}
	return printDifferences(lab.Differences(results))
}

// advance advances a progress bar by one. Drawing errors are ignored, since they do not affect results.
func advance(bar *progressbar.ProgressBar) { _ = bar.Add(1) }

// printDifferences prints all figures of the first variant, and for the others those that differ.
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
