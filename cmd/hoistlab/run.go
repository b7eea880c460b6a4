package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
)

// errBroken means that a promise was broken.
var errBroken = errors.New("a promise was broken")

// runCommand plays a scenario once.
type runCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Seed     uint64 `arg:"--seed" default:"1"`
	Without  string `arg:"--without" help:"mechanisms that are off, with commas between"`
	Report   string `arg:"--report" help:"write a page of HTML there"`
}

func (c *runCommand) run() error {
	s, v, err := load(c.Scenario, c.Without)
	if err != nil {
		return err
	}
	r := lab.Run(s, v, c.Seed)
	if err := printResult(r); err != nil {
		return err
	}
	if c.Report != "" {
		if err := writeReport(r, c.Report, c.Scenario); err != nil {
			return err
		}
	}
	if len(r.Violations) > 0 {
		return errBroken
	}
	return nil
}

// asItIs names the product with nothing switched off.
const asItIs = "as it is"

// load reads a scenario, and the product without some mechanisms; without none as it is.
func load(scenario, without string) (*lab.Scenario, lab.Variant, error) {
	s, err := lab.LoadScenario(scenario)
	if err == nil {
		err = emulated(s)
	}
	if err != nil || without == "" {
		return s, lab.Variant{Name: asItIs}, err
	}
	v, err := lab.Without(without)
	return s, v, err
}

// emulated refuses what only a rehearsal with real processes can play.
func emulated(s *lab.Scenario) error {
	for _, f := range s.Faults {
		if !f.Kind.Emulated() {
			return errors.Newf("%s: the emulator does not play %s; hoistrehearse does", f.Name, f.Kind)
		}
	}
	return nil
}

func printResult(r *lab.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, name := range lab.FigureNames {
		if _, err := fmt.Fprintf(w, "%s\t%.4f\n", name, r.Figures()[name]); err != nil {
			return err
		}
	}
	const most = 5
	for _, cause := range r.TopCauses(most) {
		if _, err := fmt.Fprintf(w, "not served: %s\t%d\n", cause, r.Causes[cause]); err != nil {
			return err
		}
	}
	for promise, what := range r.Violations {
		if _, err := fmt.Fprintf(w, "broken: %s\t%s\n", promise, what); err != nil {
			return err
		}
	}
	return w.Flush()
}

func writeReport(r *lab.Result, path, title string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(r.WriteReport(file, title), file.Close())
}
