package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/ring"
)

// Run serves until the context ends, which cuts off what is in progress, or
// until a planned stop is through.
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
	var g run.Group
	n.addContext(ctx, &g)
	n.addLoop(&g, n.loop.run)
	for _, r := range []*ring.Ring[core.Cmd]{n.store.claims, n.store.commits, n.store.reads, n.store.lists} {
		n.addLoop(&g, func(ctx context.Context) error { return n.store.processRing(ctx, r) })
	}
	n.addServer(&g, n.caller, callers.handler())
	n.addServer(&g, n.peer, peers.handler())
	n.addServer(&g, n.admin, admin.handler())
	err := g.Run()
	n.close()
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// errDrained ends the run group after a planned stop.
var errDrained = errors.New("entry: drained")

// addContext ends the group when the context ends or the node has drained.
func (n *Node) addContext(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.drained:
			return errDrained
		}
	}, func(error) { cancel() })
}

func (n *Node) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addServer serves a handler over HTTP/1.1 and HTTP/2. When the group ends it
// lets answers that are being written out finish, for a short while.
func (n *Node) addServer(g *run.Group, l net.Listener, h http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(n.log.Logger),
	}
	if n.tls != nil {
		protocols.SetHTTP2(true)
		server.TLSConfig = n.tls.ServerConfig()
	}
	g.Add(func() error {
		if n.tls != nil {
			return server.ServeTLS(l, "", "")
		}
		return server.Serve(l)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}

func (n *Node) close() {
	n.engines.Close()
	n.services.close()
	n.peers.close()
	n.platform.Close()
}
