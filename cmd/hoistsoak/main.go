// Command hoistsoak runs the fault soak: it starts the programs as processes, injects
// faults, and checks the promises by what callers and upstreams observe.
//
//	hoistsoak --seed 7 --for 60s
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/soak"
)

type arguments struct {
	Seed    uint64        `arg:"--seed" default:"1"`
	Seeds   int           `arg:"--seeds" default:"1" help:"number of seeds, played one after the other"`
	For     time.Duration `arg:"--for" default:"20s" help:"duration of the fault injection"`
	Nodes   int           `arg:"--nodes" default:"3"`
	Engines int           `arg:"--engines" default:"6"`
	Callers int           `arg:"--callers" default:"12"`
	Bin     string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Logs    string        `arg:"--logs" help:"directory for logs; kept only for failed seeds"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	// A signal aborts the current seed and terminates the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for i := range args.Seeds {
		if !runSeed(ctx, args, args.Seed+uint64(i)) {
			failed++
		}
		if ctx.Err() != nil {
			fmt.Println("stopped by a signal")
			os.Exit(1)
		}
	}
	fmt.Printf("%d passed, %d failed\n", args.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func runSeed(ctx context.Context, args arguments, seed uint64) bool {
	dir, err := runDir(args.Logs, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoistsoak:", err)
		return false
	}
	err = soak.Run(ctx, soak.Options{
		Seed: seed, FaultDuration: args.For, BinDir: args.Bin, LogDir: dir, Out: os.Stdout,
		Size: soak.Size{Nodes: args.Nodes, Engines: args.Engines, Callers: args.Callers},
	})
	if err != nil {
		fmt.Printf("seed=%d failed: %v; logs in %s; again: hoistsoak --seed %d --for %s --nodes %d --engines %d --callers %d\n",
			seed, err, dir, seed, args.For, args.Nodes, args.Engines, args.Callers)
		return false
	}
	fmt.Printf("seed=%d passed\n", seed)
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "hoistsoak:", err)
	}
	return true
}

// runDir creates a folder of its own for a run of a seed, so that two runs of one seed at a time do not read
// each other's settings. An empty parent stands for the folder of temporary files.
func runDir(parent string, seed uint64) (string, error) {
	if parent != "" {
		if err := os.MkdirAll(parent, 0o755); err != nil {
			return "", err
		}
	}
	return os.MkdirTemp(parent, fmt.Sprintf("hoistsoak-%d-", seed))
}
