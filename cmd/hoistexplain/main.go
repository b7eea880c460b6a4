// Command hoistexplain prints the lines of relay nodes' logs that concern one request: the
// lines with its ID, and the state of the node at that time.
//
//	hoistexplain 5b1267fc1e607f84 node-1.log node-2.log
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hoistjunction/hoistjunction/explain"
)

type arguments struct {
	ID   string   `arg:"positional,required" help:"request ID chosen by the caller"`
	Logs []string `arg:"positional,required" help:"log files with all lines of one or several nodes"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hoistexplain prints the lines of relay nodes' logs that concern one request."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := explain.PrintRequest(os.Stdout, args.ID, args.Logs); err != nil {
		fmt.Fprintln(os.Stderr, "hoistexplain:", err)
		os.Exit(1)
	}
}
