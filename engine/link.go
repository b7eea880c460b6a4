package engine

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/ring"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// dialTimeout bounds connecting. A connection that delivers nothing for
// pingIdleTime is pinged, and is closed if no reply arrives within pingTimeout.
const (
	dialTimeout  = time.Second
	pingIdleTime = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

const (
	// maxReplyBytes bounds a reply. Its outputs take eight bytes for each position of a prompt.
	maxReplyBytes = 16 << 20
	// maxHeadBytes bounds the head of a stream's response.
	maxHeadBytes = 32 << 10
)

// outgoing is a message in the send ring: a step, or the end of a generation.
type outgoing struct {
	step *core.StepCmd
	end  *core.EndCmd
}

type stream = connect.BidiStreamForClient[wire.StepRequest, wire.StepReply]

// link is the bidirectional stream to one engine.
type link struct {
	pool    *Pool
	name    string
	address string
	ring    *ring.Ring[outgoing]
	ctx     context.Context
	stop    context.CancelFunc
	// connected is set once a connection to the engine has been established. While
	// it is unset, no step can have reached the engine.
	connected atomic.Bool
}

func newLink(p *Pool, name, address string) *link {
	l := &link{pool: p, name: name, address: address, ring: ring.New[outgoing](p.ring)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// transport returns an HTTP transport for this link only, so that connected
// describes the connection of this stream.
func (l *link) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: protocols, MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil {
				l.connected.Store(true)
			}
			return conn, err
		},
	}
}

// run opens the stream and exchanges messages until the stream breaks or the pool
// closes. It does not read if opening the stream failed, because such a stream
// never delivers anything.
func (l *link) run() {
	t := l.transport()
	defer t.CloseIdleConnections()
	client := wireconnect.NewEngineClient(&http.Client{Transport: t}, "http://"+l.address, connect.WithGRPC(), connect.WithReadMaxBytes(maxReplyBytes))
	steps := client.Steps(l.ctx)
	var unsent *outgoing
	if err := steps.Send(nil); err == nil {
		unsent = l.exchange(steps)
	}
	l.stop()
	l.pool.removeLink(l)
	l.reportUnanswered(unsent)
}

// exchange writes and reads until the stream breaks. It returns the message whose
// write failed, or nil.
func (l *link) exchange(s *stream) *outgoing {
	broken := make(chan struct{})
	l.pool.wg.Go(func() {
		defer close(broken)
		l.read(s)
	})
	unsent := l.write(s, broken)
	l.stop()
	// Cancelling the context alone does not unblock the reader, because
	// net/http still waits for the rest of the request body.
	_ = s.CloseRequest()
	<-broken
	return unsent
}

// write sends the queued messages. It returns the message whose write failed, or
// nil if the reader fails or the link stops first.
func (l *link) write(s *stream, broken <-chan struct{}) *outgoing {
	for {
		select {
		case <-broken:
			return nil
		case <-l.ctx.Done():
			return nil
		case out := <-l.ring.Items():
			if err := s.Send(l.stepRequest(out)); err != nil {
				return &out
			}
		}
	}
}

// reportUnanswered reports the outcome of the remaining steps: queued steps are
// reported as not sent, and UpstreamDownMsg marks the sent ones as lost. The
// unsent steps are reported first, so that UpstreamDownMsg does not cover them.
func (l *link) reportUnanswered(unsent *outgoing) {
	if unsent != nil && unsent.step != nil && !l.connected.Load() {
		l.pool.report(notSentMsg(unsent.step))
	}
	for l.reportNextUnsent() {
		continue
	}
	if l.connected.Load() {
		l.pool.report(core.UpstreamDownMsg{Upstream: l.name})
	}
}

// reportNextUnsent reports one queued step as not sent. It returns false if the
// ring is empty.
func (l *link) reportNextUnsent() bool {
	select {
	case out := <-l.ring.Items():
		if out.step != nil {
			l.pool.report(notSentMsg(out.step))
		}
		return true
	default:
		return false
	}
}

// read reports every reply until the stream breaks.
func (l *link) read(s *stream) {
	for {
		reply, err := s.Receive()
		if err != nil {
			_ = s.CloseResponse()
			_ = s.CloseRequest()
			return
		}
		l.pool.report(l.message(reply))
	}
}

// stepRequest encodes a queued message.
func (l *link) stepRequest(out outgoing) *wire.StepRequest {
	if out.end != nil {
		return &wire.StepRequest{
			Node: l.pool.node, Request: out.end.Request, Generation: out.end.Generation, End: true,
		}
	}
	return &wire.StepRequest{
		Node:       l.pool.node,
		Request:    out.step.Request,
		Generation: out.step.Generation,
		Position:   out.step.Position,
		Prompt:     out.step.Prompt,
		Tokens:     out.step.Tokens,
		Inputs:     out.step.Inputs,
		Priority:   uint32(out.step.Priority),
	}
}

// stepFaults maps the status of a refused step to the fault that core handles.
var stepFaults = map[wire.StepStatus]core.StepFault{
	wire.StepStatus_STEP_STATUS_GAP:     core.StepGap,
	wire.StepStatus_STEP_STATUS_FENCED:  core.StepFenced,
	wire.StepStatus_STEP_STATUS_LEAVING: core.StepRefused,
	wire.StepStatus_STEP_STATUS_FULL:    core.StepRefused,
}

// message converts a reply of the engine to a message for core.
func (l *link) message(r *wire.StepReply) core.Msg {
	if fault, failed := stepFaults[r.GetStatus()]; failed {
		return core.StepFailedMsg{
			Upstream: l.name, Request: r.GetRequest(), Generation: r.GetGeneration(),
			Position: r.GetPosition(), Fault: fault, Leaving: r.GetLeaving(),
		}
	}
	return &core.StepDoneMsg{
		Upstream:   l.name,
		Request:    r.GetRequest(),
		Generation: r.GetGeneration(),
		Position:   r.GetPosition(),
		Outputs:    r.GetOutputs(),
		Positions:  int(r.GetPositions()),
		Token:      r.GetToken(),
		Text:       r.GetText(),
		Last:       r.GetLast(),
		Load:       int(r.GetLoad()),
		Leaving:    r.GetLeaving(),
		Cached:     int(r.GetCached()),
	}
}
