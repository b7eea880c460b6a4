// Command hoistctl is the operators' tool. It changes the configuration, shows
// it and its history, and tells of nodes and upstreams.
//
// Exit codes: 0 done or accepted, 1 no answer, 2 wrong usage, 3 committed and
// still spreading, 4 another change was first, 5 not valid, 6 not known.
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

// callTimeout bounds a command.
const callTimeout = 15 * time.Second

type arguments struct {
	Node      string `arg:"--node,env:HOIST_NODE" help:"operators' port of any entry node, as ip:port"`
	TokenFile string `arg:"--token-file,env:HOIST_TOKEN_FILE" help:"file that holds the operator's token"`
	CA        string `arg:"--ca" help:"authority of the node's certificate; without it the port is spoken to in clear"`
	JSON      bool   `arg:"--json" help:"print JSON instead of tables"`

	Apply    *applyCommand    `arg:"subcommand:apply" help:"make the changes of a JSON file"`
	Route    *routeCommand    `arg:"subcommand:route" help:"put, list or delete routes"`
	Pipeline *pipelineCommand `arg:"subcommand:pipeline" help:"put, list or delete pipelines"`
	Account  *accountCommand  `arg:"subcommand:account" help:"put, list or delete client accounts"`
	History  *historyCommand  `arg:"subcommand:history" help:"show who changed what, newest first"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"show what differs between two versions"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show nodes and upstreams"`
	Leaving  *leavingCommand  `arg:"subcommand:leaving" help:"give an upstream no more new work"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"stop the node when its work is done"`
	LogLevel *logLevelCommand `arg:"subcommand:log-level" help:"change the node's log level"`
	Record   *recordCommand   `arg:"subcommand:recording" help:"print the node's recorded messages"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"print what bears on a request, from log files; needs no node"`
	Losses   *lossesCommand   `arg:"subcommand:losses" help:"print why requests were lost or late, from log files; needs no node"`
	Limits   *limitsCommand   `arg:"subcommand:limits" help:"print the limits that upstreams name, and orders to engines by what came of them, from the metrics of relay nodes"`
	Store    *storeCommand    `arg:"subcommand:store" help:"print what relay nodes believe of the store: era, configuration, and by whose word"`
}

// command is one of the subcommands.
type command interface {
	run(ctx context.Context, s *session) error
}

// offlineCommand is a subcommand that speaks to no node.
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
		err = start(args, c)
	default:
		p.Fail("say what to do; see --help")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoistctl:", err)
	}
	os.Exit(exitCode(err))
}

func start(args arguments, c command) error {
	s, err := newSession(args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.run(ctx, s)
}

// session is what the subcommands share.
type session struct {
	admin wireconnect.AdminClient
	out   *printer
}

func newSession(args arguments) (*session, error) {
	if _, _, err := net.SplitHostPort(args.Node); err != nil {
		return nil, errors.Newf("--node %q is not ip:port", args.Node)
	}
	client, err := operator.NewClient(args.TokenFile, args.CA)
	if err != nil {
		return nil, err
	}
	admin := wireconnect.NewAdminClient(client.HTTP(), client.URL(args.Node), connect.WithProtoJSON())
	return &session{admin: admin, out: &printer{w: os.Stdout, json: args.JSON}}, nil
}
