package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"

	"github.com/hoistjunction/hoistjunction/lab"
)

// scaleCommand plays one scenario at several sizes, and prints what grows.
type scaleCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Nodes    []int  `arg:"--nodes" help:"numbers of nodes, rising; 10 30 100 if not given"`
	Held     bool   `arg:"--held" help:"the load stays as it is while nodes and engines grow"`
	Seed     uint64 `arg:"--seed" default:"1"`
	Without  string `arg:"--without" help:"mechanisms that are off, with commas between"`
}

// scaled is what one size has come to.
type scaled struct {
	scenario *lab.Scenario
	result   *lab.Result
	nodes    int
}

// figure is a row of the table.
type figure struct {
	name string
	of   func(scaled) float64
}

var scaleFigures = []figure{
	{"engines", func(s scaled) float64 { return float64(s.scenario.EngineCount()) }},
	{"streams a second", func(s scaled) float64 { return s.scenario.Load.StreamsPerSecond }},
	{"served", func(s scaled) float64 { return s.result.ServedShare() }},
	{"datagrams heard a second, middle node", func(s scaled) float64 { return s.result.Received.Median }},
	{"busiest", func(s scaled) float64 { return s.result.Received.Max }},
	{"sent a second, middle node", func(s scaled) float64 { return s.result.Sent.Median }},
	{"busiest", func(s scaled) float64 { return s.result.Sent.Max }},
	{"orders", func(s scaled) float64 { return float64(s.result.PlacementOrders) }},
	{"probes", func(s scaled) float64 { return float64(s.result.Probes) }},
	{"repeats", func(s scaled) float64 { return float64(s.result.RepeatedArrivals) }},
}

func (c *scaleCommand) run() error {
	s, v, err := load(c.Scenario, c.Without)
	if err != nil {
		return err
	}
	sizes := c.Nodes
	if len(sizes) == 0 {
		sizes = []int{10, 30, 100}
	}
	var played []scaled
	broken := false
	for _, nodes := range sizes {
		scenario := s.Scaled(nodes, c.Held)
		r := lab.Run(scenario, v, c.Seed)
		played = append(played, scaled{scenario: scenario, result: r, nodes: scenario.Nodes.PerDataCentre * len(scenario.Fleet.DataCentres())})
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

// printScale prints a column for each size, the power by which a figure grows between the last
// two, and what it comes to by that at twice the last.
func printScale(out io.Writer, played []scaled) error {
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
			row += fmt.Sprintf("%.4g\t", f.of(p))
		}
		if _, err := fmt.Fprintln(w, row+growth(played, f)); err != nil {
			return err
		}
	}
	return w.Flush()
}

// growth is how a figure grows between the last two sizes; empty for one size.
func growth(played []scaled, f figure) string {
	if len(played) < 2 {
		return "\t\t"
	}
	a, b := played[len(played)-2], played[len(played)-1]
	power := lab.GrowthExponent(a.nodes, b.nodes, f.of(a), f.of(b))
	if math.IsNaN(power) {
		return "\t\t"
	}
	return fmt.Sprintf("%.2f\t%.4g\t", power, f.of(b)*math.Pow(2, power))
}
