package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/pipenet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/member"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// heartbeatOnlyPeer answers heartbeats and nothing else.
type heartbeatOnlyPeer struct {
	wireconnect.UnimplementedPeerHandler
}

// Heartbeat implements wireconnect.PeerHandler.
func (heartbeatOnlyPeer) Heartbeat(context.Context, *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatReply], error) {
	return connect.NewResponse(&wire.HeartbeatReply{From: &wire.NodeRecord{Name: "b"}}), nil
}

// The one connection between two nodes went silent for good. Every heartbeat on it ran
// into its time limit, which ends a call and not the connection, so that the nodes took
// each other for gone until a packet's last repeat, minutes later.
func TestHeartbeatsAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		path, handler := wireconnect.NewPeerHandler(heartbeatOnlyPeer{})
		mux := http.NewServeMux()
		mux.Handle(path, handler)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: mux, Protocols: protocols}
		listener := network.Listen("b:80")
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		answered := make(chan struct{}, 64)
		caller := newPeerCaller(nil, "secret", logging.Nop(), func(core.Msg) { answered <- struct{}{} },
			withPeerDialer(network.DialContext))
		defer caller.close()
		beat := func() { caller.heartbeat(&core.HeartbeatCmd{Address: "b:80", Beat: &wire.HeartbeatRequest{}}) }

		beat()
		<-answered
		network.Blackhole()
		const every = 500 * time.Millisecond
		silent := member.DefaultLiveness.Duration()
		for began := time.Now(); time.Since(began) < silent; time.Sleep(every) {
			beat()
			select {
			case <-answered:
				return
			default:
			}
		}
		t.Errorf("got no answered heartbeat in %v, the time after which a peer counts as gone", silent)
	})
}
