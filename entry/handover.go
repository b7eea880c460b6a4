package entry

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/wire"
)

// handover sends this node's ledgers to a peer, which becomes the owner of their keys.
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

// Handover implements wireconnect.PeerHandler. It replies after the model has taken
// over the ledgers.
func (s *peerServer) Handover(_ context.Context, req *connect.Request[wire.HandoverRequest]) (*connect.Response[wire.HandoverReply], error) {
	msg := core.HandoverMsg{To: req.Msg.GetTo()}
	for _, l := range req.Msg.GetLedgers() {
		msg.Ledgers = append(msg.Ledgers, snapshotFromWire(l))
	}
	loop := s.callers.loop
	loop.post(msg)
	accepted := false
	loop.query(func(m *core.Model) { accepted = m.HoldsLedgers(msg) })
	if !accepted {
		return nil, errStopping()
	}
	return connect.NewResponse(&wire.HandoverReply{}), nil
}

// wireLedger converts a snapshot to its wire form, in which each begun number is the
// difference from the previous one. Differences are small and encode in few bytes.
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
	for _, difference := range l.GetBegun() {
		last += difference
		s.Begun = append(s.Begun, last)
	}
	return s
}
