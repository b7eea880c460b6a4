package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/sizing"
)

// sizeCommand prints what a fleet of engines bears.
type sizeCommand struct {
	Fleet string `arg:"positional,required" help:"fleet file or scenario: the model, the kinds of accelerator and the engines of each data centre"`
}

func (c *sizeCommand) run() error {
	f, err := sizing.Load(c.Fleet)
	if err == nil {
		return f.Report(os.Stdout)
	}
	if errors.Is(err, sizing.ErrFleet) {
		return err
	}
	// It may be a scenario, which has more than a fleet.
	s, err := lab.LoadScenario(c.Fleet)
	if err != nil {
		return err
	}
	return s.Fleet.Report(os.Stdout)
}
