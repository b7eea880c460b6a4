package entry

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/wire"
)

// handover gives this node's keys to a peer.
func (p *peerCaller) handover(cmd *core.HandoverCmd) {
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
		defer cancel()
		req := &wire.HandoverRequest{To: cmd.To}
		for _, s := range cmd.Ledgers {
			req.Ledgers = append(req.Ledgers, wireLedger(s))
		}
		_, err := p.client(cmd.Address).Handover(ctx, connect.NewRequest(req))
		p.log.Info("handover", zap.String("peer", cmd.Address), zap.Int("ledgers", len(cmd.Ledgers)), zap.Error(err))
		p.post(core.HandedOverMsg{Done: err == nil})
	})
}

// Handover implements the peers' protocol. It answers once the model has taken
// the keys over.
func (s *peerServer) Handover(_ context.Context, req *connect.Request[wire.HandoverRequest]) (*connect.Response[wire.HandoverReply], error) {
	msg := core.HandoverMsg{To: req.Msg.GetTo()}
	for _, l := range req.Msg.GetLedgers() {
		msg.Ledgers = append(msg.Ledgers, snapshotFromWire(l))
	}
	d := s.callers.loop
	d.post(msg)
	held := false
	d.query(func(m *core.Model) { held = m.HoldsLedgers(msg) })
	if !held {
		return nil, errStopping()
	}
	return connect.NewResponse(&wire.HandoverReply{}), nil
}

// wireLedger writes the begun numbers as distances, which are small.
func wireLedger(s once.Snapshot) *wire.Ledger {
	l := &wire.Ledger{Incarnation: s.Incarnation, Next: s.Next, Floor: s.Floor, Secret: s.Secret}
	last := uint64(0)
	for _, sequence := range s.Begun {
		l.Begun = append(l.Begun, sequence-last)
		last = sequence
	}
	return l
}

func snapshotFromWire(l *wire.Ledger) once.Snapshot {
	s := once.Snapshot{Incarnation: l.GetIncarnation(), Next: l.GetNext(), Floor: l.GetFloor(), Secret: l.GetSecret()}
	last := uint64(0)
	for _, distance := range l.GetBegun() {
		last += distance
		s.Begun = append(s.Begun, last)
	}
	return s
}
