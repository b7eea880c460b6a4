// Command hoistreplay replays recordings of a node's messages in the decision core. It
// compares the outcomes with those in the recording and checks the core's invariants.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/record"
)

type arguments struct {
	Files []string `arg:"positional,required" help:"files with recordings"`
	Print bool     `arg:"--print" help:"print every message and command"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := false
	for _, file := range args.Files {
		var opts []record.ReplayOption
		if args.Print {
			opts = append(opts, record.WithPrint(printMessage))
		}
		if err := record.ReplayFile(file, opts...); err != nil {
			failed = true
			fmt.Printf("%s: %v\n", file, err)
			continue
		}
		fmt.Printf("%s: as stated\n", file)
	}
	if failed {
		os.Exit(1)
	}
}

func printMessage(at clock.Millis, kind string, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		text = []byte(err.Error())
	}
	fmt.Printf("%8d %s %s %s\n", at, kind, record.TypeName(v), text)
}
