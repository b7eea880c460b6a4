// Command standin-deployment runs the stand-ins of a hoistlab scenario in real time, for
// rehearsals: either the store or all upstreams.
//
//	standin-deployment store --scenario small.ini
//	standin-deployment upstreams --scenario small.ini --store 127.0.0.1:4711
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

type storeCommand struct {
	Reads  float64 `arg:"--reads" default:"2000" help:"read calls that the store accepts per second"`
	Writes float64 `arg:"--writes" default:"400" help:"write calls that the store accepts per second"`
}

type upstreamsCommand struct {
	Store string `arg:"--store,required" help:"address of the store"`
	Seed  uint64 `arg:"--seed" default:"1" help:"seed of the choice of upstreams that get faults"`
}

type arguments struct {
	Store     *storeCommand     `arg:"subcommand:store"`
	Upstreams *upstreamsCommand `arg:"subcommand:upstreams"`
	Scenario  string            `arg:"--scenario,required" help:"scenario file"`
	Listen    string            `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port of the store, or of the fault control of the upstreams"`
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	s, err := lab.LoadScenario(args.Scenario)
	if err == nil {
		switch {
		case args.Store != nil:
			err = serveStore(args.Listen, s, args.Store)
		case args.Upstreams != nil:
			err = serveUpstreams(args.Listen, s, args.Upstreams)
		default:
			p.Fail("missing subcommand: store or upstreams")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-deployment:", err)
		os.Exit(1)
	}
}

func serveStore(listen string, s *lab.Scenario, c *storeCommand) error {
	config, err := standin.DeploymentConfig(1, s)
	if err != nil {
		return err
	}
	store := standin.NewRowStore()
	store.SetCapacity(s.Deployment.StoreLatencyMS.Duration(), c.Reads, c.Writes)
	store.Put("op", "config", config)
	return standin.Serve(listen, store.Handler(), os.Stdout)
}

func serveUpstreams(listen string, s *lab.Scenario, c *upstreamsCommand) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := standin.NewDeployment(ctx, s, c.Store, c.Seed)
	if err != nil {
		return err
	}
	return standin.Serve(listen, d.Handler(ctx), os.Stdout)
}
