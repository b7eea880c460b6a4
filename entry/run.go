package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/httpserver"
	"github.com/hoistjunction/hoistjunction/ring"
)

// Run serves until a planned stop has finished, or until the context is canceled,
// which aborts the requests in progress.
func (n *Node) Run(ctx context.Context) error {
	callers := &callerServer{
		log: n.log, loop: n.loop, mailboxes: n.mailboxes, maxBodyBytes: int64(n.config.MaxBodyBytes),
		openRequests: make(chan struct{}, n.config.MaxRequests),
	}
	peers := &peerServer{callers: callers, secret: n.config.PeerSecret}
	admin := &adminServer{
		log: n.log, loop: n.loop, recorder: n.loop.recorder, operators: n.config.OperatorHashes,
		proposals: n.pendingProposals, wallTime: n.clock.Wall,
	}
	caller := n.newServer(n.caller, callers.handler())
	var g run.Group
	n.addContext(ctx, &g, caller)
	n.addLoop(&g, n.loop.run)
	for _, r := range []*ring.Ring[core.Cmd]{n.store.claims, n.store.commits, n.store.reads, n.store.lists} {
		n.addLoop(&g, func(ctx context.Context) error { return n.store.processRing(ctx, r) })
	}
	n.addServer(&g, caller)
	n.addServer(&g, n.newServer(n.peer, peers.handler()))
	n.addServer(&g, n.newServer(n.admin, admin.handler()))
	err := g.Run()
	n.close()
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// errDrained stops the run group after a planned stop.
var errDrained = errors.New("entry: drained")

// addContext adds an actor that stops the group when the context is canceled or the
// node has drained and its callers have their answers.
func (n *Node) addContext(ctx context.Context, g *run.Group, callers *httpserver.Server) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.drained:
		}
		n.finishCallers(ctx, callers)
		return errDrained
	}, func(error) { cancel() })
}

// finishCallers stops accepting callers and waits until none is connected, for shutdownTimeout at the most. A
// request that is still being read gets an answer of the model, which refuses it.
func (n *Node) finishCallers(ctx context.Context, callers *httpserver.Server) {
	if err := callers.StopAccepting(); err != nil {
		n.log.Info("listener_not_closed", zap.Error(err))
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	poll := time.NewTicker(finishPollInterval)
	defer poll.Stop()
	for callers.Connections() > 0 {
		select {
		case <-ctx.Done():
			n.log.Info("callers_not_finished", zap.Int64("connections", callers.Connections()), zap.Int("answering", callers.Answering()))
			return
		case <-poll.C:
		}
	}
}

func (n *Node) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// newServer returns a server for a handler over HTTP/1.1 and HTTP/2.
func (n *Node) newServer(l net.Listener, h http.Handler) *httpserver.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(n.log.Logger),
	}
	if n.tls == nil {
		return httpserver.New(l, server)
	}
	protocols.SetHTTP2(true)
	server.TLSConfig = n.tls.ServerConfig()
	return httpserver.New(l, server, httpserver.WithTLS())
}

// addServer adds an actor that runs a server. When the group stops, responses in progress have
// shutdownTimeout to finish.
func (n *Node) addServer(g *run.Group, s *httpserver.Server) {
	g.Add(s.Serve, func(error) {
		if err := s.Shutdown(shutdownTimeout); err != nil {
			n.log.Info("server_not_closed", zap.Error(err))
		}
	})
}

func (n *Node) close() {
	n.engines.Close()
	n.services.close()
	n.peers.close()
	n.platform.Close()
}
