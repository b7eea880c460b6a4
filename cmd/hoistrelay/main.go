// Command hoistrelay is the relay node. It relays callers' requests to plain services and
// to engines that pass requests along a pipeline themselves.
//
//	hoistrelay --settings relay.ini
//	hoistrelay --settings relay.ini --check
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/node"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"path of the INI settings file"`
	Check    bool   `arg:"--check" help:"check the settings, print the effective values and exit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hoistrelay relays requests from callers to engines and plain services."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := start(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistrelay:", err)
		os.Exit(1)
	}
}

// memoryShare is the share of the VM's memory above which the garbage collector runs
// more often. The rest is for stacks, sockets and the program.
const memoryShare = 0.6

const bytesPerMB = 1 << 20

func start(args arguments) error {
	// A SIGHUP that is not handled ends the process, also while it starts.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s, set, err := node.Load(args.Settings)
	if err != nil {
		return err
	}
	if args.Check {
		return set.Print(os.Stdout)
	}
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * bytesPerMB))
	lines := logging.NewAsync(os.Stdout)
	defer lines.Close()
	log, err := logging.NewTo(s.LogLevel, lines)
	if err != nil {
		return err
	}
	// The node accepts connections from New on, and a signal must not end it without a drain.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	go drainOn(stop, n, log)
	go reloadOn(reload, args.Settings, log)
	if err := n.Run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// drainOn starts a planned stop at the first signal. Further signals have no effect,
// so that they do not abort requests in progress.
func drainOn(stop <-chan os.Signal, n *node.Node, log *logging.Log) {
	s := <-stop
	log.Info("signal", zap.Stringer("signal", s))
	n.Drain()
}

// reloadOn reads the settings again at each SIGHUP. The log level is the only setting
// that changes in a running node.
func reloadOn(reload <-chan os.Signal, path string, log *logging.Log) {
	for range reload {
		s, _, err := node.Load(path)
		if err != nil {
			log.Error("reload_failed", logging.Err(err))
			continue
		}
		if err := log.SetLevel(s.LogLevel); err != nil {
			log.Error("reload_failed", logging.Err(err))
			continue
		}
		log.Info("reload", zap.String("level", s.LogLevel))
	}
}
