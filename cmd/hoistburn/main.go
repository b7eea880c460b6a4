// Command hoistburn reports the burn rate of the service-level objective for each route
// and client account, worst first, as read from the entry nodes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/burn"
	"github.com/hoistjunction/hoistjunction/operator"
)

// readTimeout bounds the request to one node.
const readTimeout = 3 * time.Second

var errNoNode = errors.New("no node could be read")

type arguments struct {
	Nodes     []string `arg:"--nodes,required" help:"operators' addresses of the entry nodes, as ip:port"`
	TokenFile string   `arg:"--token-file,env:HOIST_TOKEN_FILE,required" help:"file with the operator's token"`
	CA        string   `arg:"--ca" help:"CA certificate of the nodes; without it connections are not encrypted"`
	Objective float64  `arg:"--objective" default:"0.95" help:"share of requests that must meet their latency bounds"`
	JSON      bool     `arg:"--json" help:"print JSON instead of a table"`
	HTML      string   `arg:"--html" help:"file to which an HTML page with a chart is written"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "hoistburn:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	client, err := operator.NewClient(args.TokenFile, args.CA)
	if err != nil {
		return err
	}
	var read [][]burn.Line
	for _, node := range args.Nodes {
		lines, err := readNode(client, node)
		if err != nil {
			fmt.Fprintf(os.Stderr, "hoistburn: node %s: %v\n", node, err)
			continue
		}
		read = append(read, lines)
	}
	if len(read) == 0 {
		return errNoNode
	}
	report := burn.NewReport(args.Objective, len(args.Nodes)-len(read), read...)
	if args.HTML != "" {
		if err := writePage(report, args.HTML); err != nil {
			return err
		}
	}
	if args.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.Text(os.Stdout)
}

func readNode(client *operator.Client, node string) ([]burn.Line, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, client.URL(node)+"/debug/burn", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.HTTP().Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	var lines []burn.Line
	return lines, json.NewDecoder(resp.Body).Decode(&lines)
}

func writePage(report *burn.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Newf("cannot write %s", path)
	}
	if err := report.HTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
