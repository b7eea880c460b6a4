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

// heartbeatOnlyPeer implements heartbeats, and no other method of
// wireconnect.PeerHandler.
type heartbeatOnlyPeer struct {
	wireconnect.UnimplementedPeerHandler
}

// Heartbeat implements wireconnect.PeerHandler.
func (heartbeatOnlyPeer) Heartbeat(context.Context, *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatReply], error) {
	return connect.NewResponse(&wire.HeartbeatReply{From: &wire.NodeRecord{Name: "b"}}), nil
}

// Guards against nodes that consider each other gone because the one connection
// between them became unresponsive. The time limit of a heartbeat ends the call but
// not the connection, so every heartbeat failed until the last retransmission of TCP,
// minutes later.
func TestHeartbeatsRecoverFromUnresponsiveConnection(t *testing.T) {
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
		replies := make(chan struct{}, 64)
		caller := newPeerCaller(nil, "secret", logging.Nop(), func(core.Msg) { replies <- struct{}{} },
			withPeerDialer(network.DialContext))
		defer caller.close()
		beat := func() { caller.heartbeat(&core.HeartbeatCmd{Address: "b:80", Beat: &wire.HeartbeatRequest{}}) }

		beat()
		<-replies
		network.Blackhole()
		const interval = 500 * time.Millisecond
		timeout := member.DefaultLiveness.Duration()
		for started := time.Now(); time.Since(started) < timeout; time.Sleep(interval) {
			beat()
			select {
			case <-replies:
				return
			default:
			}
		}
		t.Errorf("got no heartbeat reply within %v, the time after which a peer is considered gone", timeout)
	})
}
