// Command hoistrehearse plays scenarios of hoistlab in real time with the built programs as
// separate processes, and checks the promises against the responses that callers received.
//
//	hoistrehearse examples/rehearse/stalls.ini --seed 7
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/rehearse"
)

type arguments struct {
	Scenario string        `arg:"positional,required" help:"scenario file"`
	Seed     uint64        `arg:"--seed" default:"1"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds, played one after the other"`
	Scale    float64       `arg:"--scale" default:"1" help:"factor applied to the number of nodes and to the load"`
	For      time.Duration `arg:"--for" help:"duration of the load; default is the scenario's duration"`
	Busy     int           `arg:"--busy" help:"number of processors to keep busy with other work"`
	Bin      string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Template string        `arg:"--template" default:"deploy/relay.ini.tmpl" help:"template of the nodes' settings"`
	Logs     string        `arg:"--logs" help:"directory for logs, report.json and report.html; if not set, they are kept only for failed seeds"`
	Quiet    bool          `arg:"--quiet" help:"print no progress"`
}

// exitNotValid is the exit code if no promise was found broken, but the machine was too busy
// for a valid verdict.
const exitNotValid = 3

// Description implements arg.Described.
func (arguments) Description() string {
	return "hoistrehearse plays a scenario in real time with separate processes and checks the responses to callers."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	// A signal aborts the current seed and terminates the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, notValid := 0, 0
	for i := range args.Seeds {
		err := runSeed(ctx, args, args.Seed+uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, "hoistrehearse:", err)
		}
		switch {
		case errors.Is(err, rehearse.ErrInvalid):
			notValid++
		case err != nil:
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	fmt.Printf("%d passed, %d failed, %d without a verdict\n", args.Seeds-failed-notValid, failed, notValid)
	switch {
	case failed > 0:
		os.Exit(1)
	case notValid > 0:
		os.Exit(exitNotValid)
	}
}

func runSeed(ctx context.Context, args arguments, seed uint64) error {
	logs := args.Logs
	if logs == "" {
		made, err := os.MkdirTemp("", "hoistrehearse-")
		if err != nil {
			return err
		}
		logs = made
	}
	logs = filepath.Join(logs, fmt.Sprint(seed))
	opts := []rehearse.Option{
		rehearse.WithSeed(seed), rehearse.WithScale(args.Scale), rehearse.WithLoadDuration(clock.FromDuration(args.For)), rehearse.WithBusyProcessors(args.Busy),
		rehearse.WithBinDir(args.Bin), rehearse.WithSettingsTemplate(args.Template), rehearse.WithLogDir(logs),
	}
	if !args.Quiet {
		opts = append(opts, rehearse.WithProgress(os.Stderr))
	}
	report, err := rehearse.Run(ctx, args.Scenario, opts...)
	if report != nil {
		err = errors.CombineErrors(err, errors.CombineErrors(report.Print(os.Stdout), writeReportFiles(report, logs)))
		err = errors.CombineErrors(err, report.Verdict())
	}
	if err != nil {
		return errors.Wrapf(err, "seed %d: logs in %s", seed, logs)
	}
	if args.Logs == "" {
		return os.RemoveAll(filepath.Dir(logs))
	}
	return nil
}

// writeReportFiles writes report.json and report.html.
func writeReportFiles(r *rehearse.Report, folder string) error {
	data, err := os.Create(filepath.Join(folder, "report.json"))
	if err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(folder, "report.html"))
	if err != nil {
		return errors.CombineErrors(err, data.Close())
	}
	err = errors.CombineErrors(r.WriteJSON(data), r.WriteHTML(page))
	return errors.CombineErrors(err, errors.CombineErrors(data.Close(), page.Close()))
}
