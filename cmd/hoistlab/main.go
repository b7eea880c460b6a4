// Command hoistlab simulates pipelines over mixed accelerators in virtual time, with the
// engines, nodes, callers and faults of a scenario file. It compares variants, measures the
// effect of each mechanism, searches for faults that break a promise, and computes the
// capacity of a fleet.
//
//	hoistlab run examples/lab/small.ini --report day.html
//	hoistlab compare examples/lab/rest.ini --without rest --without usage
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Run     *runCommand     `arg:"subcommand:run" help:"play a scenario once"`
	Compare *compareCommand `arg:"subcommand:compare" help:"play variants of a scenario with many seeds and print their differences"`
	Ablate  *ablateCommand  `arg:"subcommand:ablate" help:"compare variants that each have one mechanism disabled"`
	Hunt    *huntCommand    `arg:"subcommand:hunt" help:"inject random faults until a promise is broken, and shrink the list of faults"`
	Scale   *scaleCommand   `arg:"subcommand:scale" help:"play a scenario at several sizes and print the growth of each figure"`
	Size    *sizeCommand    `arg:"subcommand:size" help:"print the capacity of a fleet of engines, from a fleet file or a scenario"`
}

// command is a subcommand.
type command interface{ run() error }

func main() {
	var args arguments
	p := arg.MustParse(&args)
	verb, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("say what to do: run, compare, ablate, hunt, scale or size")
	}
	if err := verb.run(); err != nil {
		fmt.Fprintln(os.Stderr, "hoistlab:", err)
		os.Exit(1)
	}
}
