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

// How a link finds out that the other end is gone.
const (
	dialTimeout  = time.Second
	pingIdleTime = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// outgoing is something to be sent: a step or the end of a generation.
type outgoing struct {
	step *core.StepCmd
	end  *core.EndCmd
}

type stream = connect.BidiStreamForClient[wire.StepRequest, wire.StepReply]

// link is the stream to one engine.
type link struct {
	pool    *Pool
	name    string
	address string
	ring    *ring.Ring[outgoing]
	ctx     context.Context
	stop    context.CancelFunc
	// connected is set once there has been a connection. Until then it is
	// certain that nothing has reached the engine.
	connected atomic.Bool
}

func newLink(p *Pool, name, address string) *link {
	l := &link{pool: p, name: name, address: address, ring: ring.New[outgoing](p.ring)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// transport returns a transport of this link's own, so that what it knows of
// its connection is true of the stream.
func (l *link) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil {
				l.connected.Store(true)
			}
			return conn, err
		},
	}
}

// run opens the stream, and writes until it breaks or the pool closes. There
// is nothing to read, ever, from a stream that could not be opened.
func (l *link) run() {
	t := l.transport()
	defer t.CloseIdleConnections()
	client := wireconnect.NewEngineClient(&http.Client{Transport: t}, "http://"+l.address, connect.WithGRPC())
	s := client.Steps(l.ctx)
	var unsent *outgoing
	if err := s.Send(nil); err == nil {
		unsent = l.exchange(s)
	}
	l.stop()
	l.pool.removeLink(l)
	l.reportUnanswered(unsent)
}

// exchange writes and reads until the stream breaks. It returns the item that
// was in the writer's hands then.
func (l *link) exchange(s *stream) *outgoing {
	broken := make(chan struct{})
	l.pool.wg.Go(func() {
		defer close(broken)
		l.read(s)
	})
	unsent := l.write(s, broken)
	l.stop()
	// The end of the context alone does not wake the reader: net/http is
	// still waiting for more of the request.
	_ = s.CloseRequest()
	<-broken
	return unsent
}

// write sends what is in the ring.
func (l *link) write(s *stream, broken <-chan struct{}) *outgoing {
	for {
		select {
		case <-broken:
			return nil
		case <-l.ctx.Done():
			return nil
		case it := <-l.ring.Items():
			if err := s.Send(l.stepRequest(it)); err != nil {
				return &it
			}
		}
	}
}

// reportUnanswered reports what became of the steps: those that never left are not
// sent, and the rest is lost with the engine. The former go first, so that
// they are not taken for lost.
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

// reportNextUnsent reports one step that is still in the ring; false for none.
func (l *link) reportNextUnsent() bool {
	select {
	case it := <-l.ring.Items():
		if it.step != nil {
			l.pool.report(notSentMsg(it.step))
		}
		return true
	default:
		return false
	}
}

// read reports every answer until the stream breaks.
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

func (l *link) stepRequest(it outgoing) *wire.StepRequest {
	if it.end != nil {
		return &wire.StepRequest{
			Node: l.pool.node, Request: it.end.Request, Generation: it.end.Generation, End: true,
		}
	}
	return &wire.StepRequest{
		Node:       l.pool.node,
		Request:    it.step.Request,
		Generation: it.step.Generation,
		Position:   it.step.Position,
		Prompt:     it.step.Prompt,
		Tokens:     it.step.Tokens,
		Inputs:     it.step.Inputs,
		Priority:   uint32(it.step.Priority),
	}
}

// stepFaults maps the engines' refusals to what the core knows of them.
var stepFaults = map[wire.StepStatus]core.StepFault{
	wire.StepStatus_STEP_STATUS_GAP:     core.StepGap,
	wire.StepStatus_STEP_STATUS_FENCED:  core.StepFenced,
	wire.StepStatus_STEP_STATUS_LEAVING: core.StepRefused,
	wire.StepStatus_STEP_STATUS_FULL:    core.StepRefused,
}

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
