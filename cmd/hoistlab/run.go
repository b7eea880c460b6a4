package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
)

// errBroken means that a run has broken a promise of the product.
var errBroken = errors.New("a promise was broken")

// runCommand plays a scenario once.
type runCommand struct {
	Scenario string `arg:"positional,required" help:"scenario file"`
	Seed     uint64 `arg:"--seed" default:"1"`
	Without  string `arg:"--without" help:"mechanisms to disable, separated by commas"`
	Report   string `arg:"--report" help:"file to which an HTML report is written"`
}

func (c *runCommand) run() error {
	s, v, err := loadScenario(c.Scenario, c.Without)
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

// unmodified is the name of the variant with all mechanisms enabled.
const unmodified = "as it is"

// loadScenario reads a scenario and returns it with the variant that has the given mechanisms disabled.
func loadScenario(scenario, without string) (*lab.Scenario, lab.Variant, error) {
	s, err := lab.LoadScenario(scenario)
	if err == nil {
		err = checkEmulated(s)
	}
	if err != nil || without == "" {
		return s, lab.Variant{Name: unmodified}, err
	}
	v, err := lab.Without(without)
	return s, v, err
}

// checkEmulated returns an error if a fault can be injected only by a rehearsal with real processes.
func checkEmulated(s *lab.Scenario) error {
	for _, f := range s.Faults {
		if !f.Kind.Emulated() {
			return errors.Newf("%s: fault %s is not supported by the emulator; use hoistrehearse", f.Name, f.Kind)
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
