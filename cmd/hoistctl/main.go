// Command hoistctl is the command line tool for operators. It changes and prints the
// configuration, its history, and the state of nodes and upstreams.
//
// Exit codes: 0 success or change accepted, 1 other error, 2 usage error, 3 change
// committed but not yet confirmed in two data centres, 4 conflict with another change,
// 5 invalid change, 6 outcome unknown.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/operator"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// callTimeout bounds the calls of one command.
const callTimeout = 15 * time.Second

type arguments struct {
	Node      string `arg:"--node,env:HOIST_NODE" help:"operators' address of any entry node, as ip:port"`
	TokenFile string `arg:"--token-file,env:HOIST_TOKEN_FILE" help:"file with the operator's token"`
	CA        string `arg:"--ca" help:"CA certificate of the node; without it the connection is not encrypted"`
	JSON      bool   `arg:"--json" help:"print JSON instead of tables"`

	Apply      *applyCommand      `arg:"subcommand:apply" help:"apply the changes of a JSON file"`
	Route      *routeCommand      `arg:"subcommand:route" help:"put, list or delete routes"`
	Pipeline   *pipelineCommand   `arg:"subcommand:pipeline" help:"put, list or delete pipelines"`
	Account    *accountCommand    `arg:"subcommand:account" help:"put, list or delete client accounts"`
	History    *historyCommand    `arg:"subcommand:history" help:"show the change history, newest first"`
	Diff       *diffCommand       `arg:"subcommand:diff" help:"show the differences between two versions"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show nodes and upstreams"`
	Leaving    *leavingCommand    `arg:"subcommand:leaving" help:"mark an upstream as leaving, so that it gets no new work"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"stop the node after its requests in progress have finished"`
	LogLevel   *logLevelCommand   `arg:"subcommand:log-level" help:"change the node's log level"`
	Record     *recordCommand     `arg:"subcommand:recording" help:"print the node's recorded messages"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"print the log lines that concern a request; needs no node"`
	Losses     *lossesCommand     `arg:"subcommand:losses" help:"print the causes of lost and late requests from log files; needs no node"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"print which parts of prompts are in quarantine at which relay nodes, from their metrics"`
	Reach      *reachCommand      `arg:"subcommand:reach" help:"print which data centres' upstreams relay nodes reach, and how many requests they pass on, from their metrics"`
	Limits     *limitsCommand     `arg:"subcommand:limits" help:"print the limits that upstreams advertise, and orders to engines by result, from the metrics of relay nodes"`
	Store      *storeCommand      `arg:"subcommand:store" help:"print the relay nodes' view of the store: era, configuration, and the node it was read from"`
}

// command is a subcommand that calls an entry node.
type command interface {
	run(ctx context.Context, s *session) error
}

// offlineCommand is a subcommand that calls no entry node.
type offlineCommand interface {
	runOffline() error
}

func main() {
	var args arguments
	p := arg.MustParse(&args)
	var err error
	switch c := p.Subcommand().(type) {
	case offlineCommand:
		err = c.runOffline()
	case command:
		if args.Node == "" || args.TokenFile == "" {
			p.Fail("--node and --token-file are required (or the environment variables HOIST_NODE and HOIST_TOKEN_FILE)")
		}
		err = runCommand(args, c)
	default:
		p.Fail("missing subcommand; see --help")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoistctl:", err)
	}
	os.Exit(exitCode(err))
}

func runCommand(args arguments, c command) error {
	s, err := newSession(args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.run(ctx, s)
}

// session holds the admin client and the printer that the subcommands use.
type session struct {
	admin wireconnect.AdminClient
	out   *printer
}

func newSession(args arguments) (*session, error) {
	if _, _, err := net.SplitHostPort(args.Node); err != nil {
		return nil, errors.Newf("invalid --node %q, want ip:port", args.Node)
	}
	client, err := operator.NewClient(args.TokenFile, args.CA)
	if err != nil {
		return nil, err
	}
	admin := wireconnect.NewAdminClient(client.HTTP(), client.URL(args.Node), connect.WithProtoJSON())
	return &session{admin: admin, out: &printer{w: os.Stdout, json: args.JSON}}, nil
}
