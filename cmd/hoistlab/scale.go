package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"github.com/hoistjunction/hoistjunction/lab"
)

// scaleCommand plays a scenario at several sizes and prints the growth of each figure.
type scaleCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Nodes    []int  `arg:"--nodes" help:"numbers of nodes in ascending order; default 10 30 100"`
	Held     bool   `arg:"--held" help:"keep the load constant while nodes and engines grow"`
	Seed     uint64 `arg:"--seed" default:"1"`
	Without  string `arg:"--without" help:"mechanisms to disable, separated by commas"`
}

// sizeResult is the result of a run at one size.
type sizeResult struct {
	scenario *lab.Scenario
	result   *lab.Result
	nodes    int
}

// scaleFigure is a row of the table printed by scale.
type scaleFigure struct {
	name  string
	value func(sizeResult) float64
}

var scaleFigures = []scaleFigure{
	{"engines", func(s sizeResult) float64 { return float64(s.scenario.EngineCount()) }},
	{"streams a second", func(s sizeResult) float64 { return s.scenario.Load.StreamsPerSecond }},
	{"served", func(s sizeResult) float64 { return s.result.ServedShare() }},
	{"datagrams heard a second, middle node", func(s sizeResult) float64 { return s.result.Received.Median }},
	{"busiest", func(s sizeResult) float64 { return s.result.Received.Max }},
	{"sent a second, middle node", func(s sizeResult) float64 { return s.result.Sent.Median }},
	{"busiest", func(s sizeResult) float64 { return s.result.Sent.Max }},
	{"orders", func(s sizeResult) float64 { return float64(s.result.PlacementOrders) }},
	{"probes", func(s sizeResult) float64 { return float64(s.result.Probes) }},
	{"repeats", func(s sizeResult) float64 { return float64(s.result.RepeatedArrivals) }},
}

func (c *scaleCommand) run() error {
	s, v, err := loadScenario(c.Scenario, c.Without)
	if err != nil {
		return err
	}
	sizes := c.Nodes
	if len(sizes) == 0 {
		sizes = []int{10, 30, 100}
	}
	var played []sizeResult
	broken := false
	for _, nodes := range sizes {
		scenario := s.Scaled(nodes, c.Held)
		r := lab.Run(scenario, v, c.Seed)
		played = append(played, sizeResult{scenario: scenario, result: r, nodes: scenario.Nodes.PerDataCentre * len(scenario.Fleet.DataCentres())})
		for promise, what := range r.Violations {
			broken = true
			fmt.Printf("%d nodes broke %s: %s\n", nodes, promise, what)
		}
	}
	if err := printScale(os.Stdout, played); err != nil {
		return err
	}
	if broken {
		return errBroken
	}
	return nil
}

// printScale prints a column for each size, the exponent of growth between the last two sizes,
// and the figure extrapolated to twice the last size.
func printScale(out io.Writer, played []sizeResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := "nodes\t"
	for _, p := range played {
		row += fmt.Sprintf("%d\t", p.nodes)
	}
	if _, err := fmt.Fprintln(w, row+"power\tat twice\t"); err != nil {
		return err
	}
	for _, f := range scaleFigures {
		row := f.name + "\t"
		for _, p := range played {
			row += fmt.Sprintf("%.4g\t", f.value(p))
		}
		if _, err := fmt.Fprintln(w, row+growth(played, f)); err != nil {
			return err
		}
	}
	return w.Flush()
}

// growth returns the last two cells of a row: exponent and extrapolation. Both are empty for one size.
func growth(played []sizeResult, f scaleFigure) string {
	if len(played) < 2 {
		return "\t\t"
	}
	a, b := played[len(played)-2], played[len(played)-1]
	power := lab.GrowthExponent(a.nodes, b.nodes, f.value(a), f.value(b))
	if math.IsNaN(power) {
		return "\t\t"
	}
	return fmt.Sprintf("%.2f\t%.4g\t", power, f.value(b)*math.Pow(2, power))
}
