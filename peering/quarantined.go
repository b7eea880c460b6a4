package peering

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// QueryQuarantined queries a peer for the requests that are quarantined there.
func (p *Peering) QueryQuarantined(ctx context.Context, peer *wire.Member) {
	ctx, cancel := p.timeout(ctx, queryTimeout)
	defer cancel()
	resp, err := p.newClient(peer).Ask(ctx, connect.NewRequest(&wire.AskRequest{Asker: p.directory.self, WantQuarantined: true}))
	if err != nil {
		p.log.Info("quarantine_not_told", zap.String("peer", peer.GetName()), logging.Err(err))
		return
	}
	list := decodeQuarantined(resp.Msg.GetQuarantined())
	p.log.Info("quarantine_from_peer", zap.String("peer", peer.GetName()), zap.Int("requests", len(list)))
	p.receiver.ReceiveQuarantined(list)
}

func (p *Peering) encodeQuarantined() []*wire.QuarantinedWork {
	var out []*wire.QuarantinedWork
	for _, w := range p.local.Quarantined() {
		out = append(out, &wire.QuarantinedWork{Work: w.Work.Bytes(), AgeMs: int64(w.Age), Ended: fleetwire.Incarnations(w.Ended)})
	}
	return out
}

func decodeQuarantined(msgs []*wire.QuarantinedWork) []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, w := range msgs {
		if id, ok := work.FromBytes(w.GetWork()); ok {
			list = append(list, dispatch.Quarantined{Work: id, Age: clock.Millis(max(w.GetAgeMs(), 0)), Ended: fleetwire.IncarnationsOf(w.GetEnded())})
		}
	}
	return list
}
