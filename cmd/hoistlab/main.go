// Command hoistlab plays pipelines over mixed accelerators in simulated time: engines, nodes,
// callers and troubles of a scenario file. It compares ways, prints what each mechanism is
// worth, looks for troubles that break a promise, and tells what a fleet bears.
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
	Compare *compareCommand `arg:"subcommand:compare" help:"play variants of a scenario over many seeds, and print how they differ"`
	Ablate  *ablateCommand  `arg:"subcommand:ablate" help:"the same, with each mechanism off in turn"`
	Hunt    *huntCommand    `arg:"subcommand:hunt" help:"draw troubles until a promise is broken, and shrink them"`
	Scale   *scaleCommand   `arg:"subcommand:scale" help:"play a scenario at several sizes, and print what grows"`
	Size    *sizeCommand    `arg:"subcommand:size" help:"print what a fleet of engines bears, from a fleet file or a scenario"`
}

// command is what a verb does.
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
