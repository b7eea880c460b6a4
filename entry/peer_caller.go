package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/boundedhttp"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// peerTimeout bounds connecting to a peer, heartbeats, fetches and handovers.
const peerTimeout = time.Second

// A connection to a peer is pinged after peerPingIdle without incoming data, and
// closed if there is no response within peerPingTimeout. With the half second between
// heartbeats, that leaves 1.5 s of the five seconds after which an unresponsive peer
// is considered to have left. The timeout equals that for engines: closing the
// connection aborts the requests that the peer executes for this node, and a peer that
// pauses for a second or two resumes afterwards.
const (
	peerPingIdle    = time.Second
	peerPingTimeout = 2 * time.Second
)

const (
	// maxPeerMessageBytes bounds a message of a peer, and maxPeerResponseBytes a response, which may have several.
	// The largest message holds the whole configuration.
	maxPeerMessageBytes  = 16 << 20
	maxPeerResponseBytes = 64 << 20
	// maxPeerHeadBytes bounds the head of a response.
	maxPeerHeadBytes = 32 << 10
)

// maxHeartbeatsInFlight bounds concurrent heartbeats. A heartbeat above the limit is
// skipped; the next round sends to other peers.
const maxHeartbeatsInFlight = 16

// peerCaller sends calls to the other entry nodes.
type peerCaller struct {
	http           *http.Client
	scheme         string
	secret         string
	log            *logging.Log
	post           func(core.Msg)
	heartbeatSlots chan struct{}
	wg             sync.WaitGroup
	ctx            context.Context
	stop           context.CancelFunc
}

// peerOption configures the transport of a peerCaller.
type peerOption func(*http.Transport)

// withPeerDialer sets the dial function for connections to peers.
func withPeerDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) peerOption {
	return func(t *http.Transport) { t.DialContext = dial }
}

func newPeerCaller(tlsFiles *TLSFiles, secret string, log *logging.Log, post func(core.Msg), opts ...peerOption) *peerCaller {
	p := &peerCaller{
		secret: secret, log: log, post: post, scheme: "http://",
		heartbeatSlots: make(chan struct{}, maxHeartbeatsInFlight),
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols: protocols, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxPeerHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: peerPingIdle, PingTimeout: peerPingTimeout},
	}
	t.DialContext = (&net.Dialer{Timeout: peerTimeout}).DialContext
	if tlsFiles != nil {
		protocols.SetHTTP2(true)
		t.TLSClientConfig = tlsFiles.ClientConfig()
		p.scheme = "https://"
	}
	for _, opt := range opts {
		opt(t)
	}
	p.http = &http.Client{Transport: boundedhttp.NewTransport(t, maxPeerResponseBytes)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

func (p *peerCaller) close() {
	p.stop()
	p.wg.Wait()
	p.http.CloseIdleConnections()
}

func (p *peerCaller) client(address string) wireconnect.PeerClient {
	return wireconnect.NewPeerClient(p.http, p.scheme+address, connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithInterceptors(newBearerInterceptor(p.secret)))
}

// heartbeat sends a heartbeat to a peer and posts the peer's reply to the model loop.
func (p *peerCaller) heartbeat(cmd *core.HeartbeatCmd) {
	select {
	case p.heartbeatSlots <- struct{}{}:
	default:
		return
	}
	p.wg.Go(func() {
		defer func() { <-p.heartbeatSlots }()
		ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
		defer cancel()
		resp, err := p.client(cmd.Address).Heartbeat(ctx, connect.NewRequest(cmd.Beat))
		if err != nil {
			p.log.Debug("heartbeat_failed", zap.String("peer", cmd.Address), zap.Error(err))
			return
		}
		p.post(core.HeartbeatMsg{From: resp.Msg.GetFrom(), Heard: resp.Msg.GetHeard(), Leaving: resp.Msg.GetLeaving()})
	})
}

// fetchChanges reads configuration changes from a peer.
func (p *peerCaller) fetchChanges(cmd *core.FetchChangesCmd) {
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
		defer cancel()
		resp, err := p.client(cmd.Address).Changes(ctx, connect.NewRequest(&wire.ChangesRequest{AfterVersion: cmd.After}))
		if err != nil {
			p.post(core.FetchFailedMsg{})
			return
		}
		p.post(core.ChangesMsg{Snapshot: resp.Msg.GetSnapshot(), Records: resp.Msg.GetRecords()})
	})
}

// relay sends a request to the node that owns its key. It traces the connection of
// each relay, to determine whether the owner can have received the request.
func (p *peerCaller) relay(cmd *core.RelayCmd) {
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, cmd.Deadline.Duration())
		defer cancel()
		p.receiveRelay(ctx, cmd)
	})
}

func (p *peerCaller) receiveRelay(ctx context.Context, cmd *core.RelayCmd) {
	var connected atomic.Bool
	stream, err := p.client(cmd.Address).Relay(traceConnection(ctx, &connected), connect.NewRequest(relayRequest(cmd)))
	if err != nil {
		p.post(core.RelayFailedMsg{Request: cmd.Request, NotSent: !connected.Load()})
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		event := stream.Msg()
		if len(event.GetTexts()) > 0 {
			p.post(core.RelayTokensMsg{Request: cmd.Request, Texts: event.GetTexts()})
		}
		if event.GetOutcome() != "" {
			p.post(core.RelayDoneMsg{Request: cmd.Request, Finish: finishFromEvent(event)})
			return
		}
	}
	p.log.Info("relay_failed", zap.Uint64("request", cmd.Request), zap.Error(stream.Err()))
	p.post(core.RelayFailedMsg{Request: cmd.Request, NotSent: !connected.Load()})
}

func relayRequest(cmd *core.RelayCmd) *wire.RelayRequest {
	s := cmd.Spec
	return &wire.RelayRequest{
		Account:     cmd.Account,
		Route:       s.Route,
		Key:         s.Key,
		Owner:       cmd.Owner.Owner,
		Sequence:    cmd.Owner.Sequence,
		Priority:    uint32(s.Priority),
		DeadlineMs:  int64(cmd.Deadline),
		Prompt:      s.Prompt,
		MaxTokens:   uint32(s.MaxTokens),
		Path:        s.Path,
		Body:        s.Body,
		ContentType: s.ContentType,
		FirstTry:    s.FirstTry,
	}
}

func finishFromEvent(e *wire.RelayEvent) core.FinishCmd {
	o, err := outcome.Parse(e.GetOutcome())
	if err != nil {
		o = outcome.Unknown
	}
	return core.FinishCmd{
		Outcome:     o,
		Reason:      core.ParseReason(e.GetDetail()),
		RetryAfter:  clock.Millis(e.GetRetryAfterMs()),
		Status:      int(e.GetStatus()),
		ContentType: e.GetContentType(),
		Body:        e.GetBody(),
	}
}
