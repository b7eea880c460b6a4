package main

import (
	"fmt"
	"os"

	"github.com/schollz/progressbar/v3"

	"github.com/hoistjunction/hoistjunction/lab"
)

// huntCommand searches for a sequence of faults that breaks a promise.
type huntCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file; its faults are ignored"`
	Runs     int    `arg:"--runs" default:"200"`
	First    uint64 `arg:"--first" default:"1" help:"the first seed"`
	Without  string `arg:"--without" help:"mechanisms to disable, separated by commas"`
}

func (c *huntCommand) run() error {
	s, v, err := loadScenario(c.Scenario, c.Without)
	if err != nil {
		return err
	}
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
	find, found := lab.FindViolation(s, v, c.First, c.Runs, func() { advance(bar) })
	if !found {
		fmt.Printf("%d runs, no promise broken\n", c.Runs)
		return nil
	}
	small := lab.Shrink(s, v, find, func() { advance(bar) })
	fmt.Printf("seed %d, %d troubles, shrunk to %d:\n[faults]\n", find.Seed, len(find.Faults), len(small.Faults))
	for _, f := range small.Faults {
		fmt.Println(f.ScenarioLine())
	}
	for promise, what := range find.Violations {
		fmt.Printf("broken: %s: %s\n", promise, what)
	}
	return errBroken
}
