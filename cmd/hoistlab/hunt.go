package main

import (
	"fmt"
	"os"

	"github.com/schollz/progressbar/v3"

	"github.com/hoistjunction/hoistjunction/lab"
)

// huntCommand looks for troubles that break a promise.
type huntCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file; its own troubles are left out"`
	Runs     int    `arg:"--runs" default:"200"`
	First    uint64 `arg:"--first" default:"1" help:"the first seed"`
	Without  string `arg:"--without" help:"mechanisms that are off, with commas between"`
}

func (c *huntCommand) run() error {
	s, v, err := load(c.Scenario, c.Without)
	if err != nil {
		return err
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	find, found := lab.FindViolation(s, v, c.First, c.Runs, func() { step(bar) })
	if !found {
		fmt.Printf("%d runs, no promise broken\n", c.Runs)
		return nil
	}
	small := lab.Shrink(s, v, find, func() { step(bar) })
	fmt.Printf("seed %d, %d troubles, shrunk to %d:\n[faults]\n", find.Seed, len(find.Faults), len(small.Faults))
	for _, f := range small.Faults {
		fmt.Println(f.ScenarioLine())
	}
	for promise, what := range find.Violations {
		fmt.Printf("broken: %s: %s\n", promise, what)
	}
	return errBroken
}
