// Command hoistload replays a trace of requests against entry nodes and checks every
// response.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/load"
)

var errWrong = errors.New("some responses are incorrect or missing")

type arguments struct {
	Nodes   []string      `arg:"--nodes,required" help:"caller addresses of the entry nodes, as ip:port"`
	Trace   string        `arg:"--trace,required" help:"path of the trace file"`
	Account []string      `arg:"--account,separate" help:"a client account and its key, as name=key"`
	Layers  uint32        `arg:"--layers" default:"12" help:"number of layers of the stand-in model"`
	Tries   int           `arg:"--tries" default:"5" help:"maximum number of attempts per request"`
	Wait    time.Duration `arg:"--wait" default:"20s" help:"timeout of one attempt"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistload:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	items, err := load.ReadTrace(args.Trace)
	if err != nil {
		return err
	}
	keys := make(map[string]string)
	for _, a := range args.Account {
		name, key, _ := strings.Cut(a, "=")
		keys[name] = key
	}
	r := load.NewRunner(args.Nodes, load.WithKeys(keys), load.WithLayers(args.Layers),
		load.WithTries(args.Tries), load.WithAttemptTimeout(args.Wait))
	s := load.Summarize(r.Run(context.Background(), items))
	s.Print(os.Stdout)
	if s.Wrong > 0 || s.Done() != s.Total {
		return errWrong
	}
	return nil
}
