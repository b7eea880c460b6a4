// Command hoistjunction is the entry node. It routes requests from callers to upstreams
// and stores nothing on disk.
//
//	hoistjunction --settings node.ini
//	hoistjunction --settings node.ini --check
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/entry"
	"github.com/hoistjunction/hoistjunction/logging"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"path of the INI settings file"`
	Check    bool   `arg:"--check" help:"check the settings, print the effective values and exit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hoistjunction routes model pipelines and service calls from callers to upstreams."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := start(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistjunction:", err)
		os.Exit(1)
	}
}

func start(args arguments) error {
	config := entry.NewConfig()
	set, err := config.Load(args.Settings)
	if err != nil {
		return err
	}
	if args.Check {
		return set.Print(os.Stdout)
	}
	log, err := logging.New(config.LogLevel)
	if err != nil {
		return err
	}
	node, err := entry.NewNode(config, log)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go drainOn(stop, node, log)
	err = node.Run(context.Background())
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// drainOn starts a planned stop at each signal. Repeated signals have no further
// effect, so that they do not abort requests in progress.
func drainOn(stop <-chan os.Signal, node *entry.Node, log *logging.Log) {
	for s := range stop {
		log.Info("signal", zap.Stringer("signal", s))
		node.Drain()
	}
}
