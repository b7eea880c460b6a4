// Command hoistmeasure compares the product's policy with baseline policies, using
// stand-ins in one process. It prints figures with their spread over seeds.
package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/measure"
)

type arguments struct {
	Seeds     int     `arg:"--seeds" default:"3" help:"number of runs of each scenario with each policy"`
	Capacity  float64 `arg:"--capacity" help:"capacity of the stand-ins, in requests per second; measured with rising load if not set"`
	Contender string  `arg:"--contender" help:"run only policies whose name contains one of these words, separated by commas"`
	Overhead  bool    `arg:"--overhead" help:"measure only the latency that a node adds to a plain call, and the node's memory"`
	Only      string  `arg:"--only" help:"run only scenarios whose name contains this text"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistmeasure:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if args.Overhead {
		return overhead()
	}
	capacity, err := findCapacity(args.Capacity)
	if err != nil {
		return err
	}
	fmt.Printf("capacity: %.1f requests a second within the bounds\n\n", capacity)
	for _, s := range measure.Scenarios(capacity) {
		if !strings.Contains(s.Name, args.Only) {
			continue
		}
		if err := compare(s, args); err != nil {
			return err
		}
	}
	return nil
}

func findCapacity(given float64) (float64, error) {
	if given > 0 {
		return given, nil
	}
	return measure.Capacity(1, func(name string, rate float64, f *measure.Figures) {
		fmt.Printf("climb: %-20s %5.0f/s sent %6.1f/s good\n", name, rate, f.GoodPerSecond)
	})
}

// compare runs a scenario with each policy in turn for every seed, and prints a table.
func compare(s measure.Scenario, args arguments) error {
	contenders := measure.Contenders(args.Contender)
	all := make([]measure.Series, len(contenders))
	for seed := range args.Seeds {
		for i, c := range contenders {
			f, err := measure.Run(s, c, uint64(seed)+1)
			if err != nil {
				return err
			}
			all[i].Add(f)
		}
	}
	fmt.Println(s.Name)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  contender\tgood/s (spread)\tof policy's\tshare\tsmall\trecovery\tstall\twrong\tmissing\toutcomes")
	for i, c := range contenders {
		sum := all[i].Summary()
		_, _ = fmt.Fprintf(t, "  %s\t%.1f (%.1f-%.1f)\t%.2f\t%.2f\t%.2f\t%v (%v)\t%v\t%d\t%d\t%s\n",
			c.Name, sum.GoodPerSecond, sum.MinGoodPerSecond, sum.MaxGoodPerSecond, sum.GoodPerSecond/all[0].Summary().GoodPerSecond, sum.GoodShare, sum.SmallGoodShare,
			sum.RecoveryTime, sum.MaxRecoveryTime, sum.LongestStall.Round(time.Millisecond), sum.WrongAnswers, sum.MissingOutcomes, sum.Outcomes)
	}
	_ = t.Flush()
	fmt.Println()
	return nil
}

func overhead() error {
	o, err := measure.RunOverhead()
	if err != nil {
		return err
	}
	for _, q := range []float64{50, 95, 99} {
		direct, node := o.Direct.ValueAtQuantile(q), o.Node.ValueAtQuantile(q)
		fmt.Printf("p%.0f: straight %d us, through a node %d us, added %d us\n", q, direct, node, node-direct)
	}
	fmt.Printf("heap in use: %d KB before, %d KB after %d calls\n", o.HeapBefore>>10, o.HeapAfter>>10, o.Calls)
	return nil
}
