package main

import (
	"os"

	"github.com/hoistjunction/hoistjunction/sizing"
)

// sizeCommand prints what a fleet of engines bears, from a fleet file. It speaks to
// no node.
type sizeCommand struct {
	Fleet string `arg:"positional,required" help:"fleet file: the model, the kinds of accelerator and the engines of each data centre"`
}

func (c *sizeCommand) runOffline() error {
	fleet, err := sizing.Load(c.Fleet)
	if err != nil {
		return err
	}
	return fleet.Report(os.Stdout)
}
