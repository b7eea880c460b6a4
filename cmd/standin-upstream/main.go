// Command standin-upstream is a stand-in for a model engine that holds a range of layers,
// or for a plain service, for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/standin"
)

type engineCommand struct {
	FirstLayer  uint32        `arg:"--first-layer" default:"0"`
	LastLayer   uint32        `arg:"--last-layer" default:"3"`
	Final       bool          `arg:"--final" help:"whether the last layer is the last layer of the model"`
	Base        time.Duration `arg:"--base" default:"1ms" help:"base time of a batch"`
	PerStep     time.Duration `arg:"--per-step" default:"50us" help:"time added for each step of a batch"`
	PerPosition time.Duration `arg:"--per-position" default:"5us" help:"time added for each position of a batch"`
	MaxBatch    int           `arg:"--max-batch" default:"64"`
}

type serviceCommand struct {
	Name string        `arg:"--name" default:"service"`
	Work time.Duration `arg:"--work" default:"2ms" help:"time of a call"`
}

type arguments struct {
	Engine  *engineCommand  `arg:"subcommand:engine"`
	Service *serviceCommand `arg:"subcommand:service"`
	Listen  string          `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port; port 0 lets the kernel choose a port"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	var err error
	switch {
	case args.Engine != nil:
		err = serveEngine(args.Listen, args.Engine)
	case args.Service != nil:
		service := standin.NewService(args.Service.Name, args.Service.Work)
		err = standin.Serve(args.Listen, service.Handler(), os.Stdout)
	default:
		p.Fail("missing subcommand: engine or service")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-upstream:", err)
		os.Exit(1)
	}
}

func serveEngine(listen string, c *engineCommand) error {
	config := standin.DefaultEngineConfig()
	config.FirstLayer, config.LastLayer, config.Final = c.FirstLayer, c.LastLayer, c.Final
	config.Base, config.PerStep, config.PerPosition = c.Base, c.PerStep, c.PerPosition
	config.MaxBatch = c.MaxBatch
	engine := standin.NewEngine(config)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = engine.Run(ctx) }()
	return standin.Serve(listen, engine.Handler(), os.Stdout)
}
