// Command hoistexplain prints what bears on one request, from the logs of the
// relay nodes: its own lines, and what the node believed at the time.
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
	ID   string   `arg:"positional,required" help:"the caller's name of the request"`
	Logs []string `arg:"positional,required" help:"log files; give all lines of one node, or of several"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hoistexplain prints what bears on one request, from the logs of relay nodes."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := explain.PrintRequest(os.Stdout, args.ID, args.Logs); err != nil {
		fmt.Fprintln(os.Stderr, "hoistexplain:", err)
		os.Exit(1)
	}
}
