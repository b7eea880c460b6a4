package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/sizing"
)

// sizeCommand prints the capacity of a fleet of engines.
type sizeCommand struct {
	Fleet string `arg:"positional,required" help:"fleet file or scenario, with the model, the kinds of accelerator and the engines of each data centre"`
}

func (c *sizeCommand) run() error {
	f, err := sizing.Load(c.Fleet)
	if err == nil {
		return f.Report(os.Stdout)
	}
	if errors.Is(err, sizing.ErrFleet) {
		return err
	}
	// The file may be a scenario, which contains a fleet among other sections.
	s, err := lab.LoadScenario(c.Fleet)
	if err != nil {
		return err
	}
	return s.Fleet.Report(os.Stdout)
}
