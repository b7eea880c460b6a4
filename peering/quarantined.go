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
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
	"github.com/hoistjunction/hoistjunction/work"
)

// AskQuarantined asks a peer for the requests that it knows to be in quarantine.
func (p *Peering) AskQuarantined(ctx context.Context, peer *wire.Member) {
	client := wireconnect.NewFreshnessClient(p.http, "http://"+peer.GetAddress())
	resp, err := client.Ask(ctx, connect.NewRequest(&wire.AskRequest{Asker: p.directory.self, WantQuarantined: true}))
	if err != nil {
		p.log.Info("quarantine_not_told", zap.String("peer", peer.GetName()), logging.Err(err))
		return
	}
	list := quarantinedOf(resp.Msg.GetQuarantined())
	p.log.Info("quarantine_from_peer", zap.String("peer", peer.GetName()), zap.Int("requests", len(list)))
	p.learner.LearnQuarantined(list)
}

func (p *Peering) quarantined() []*wire.QuarantinedWork {
	var out []*wire.QuarantinedWork
	for _, w := range p.knowledge.Quarantined() {
		out = append(out, &wire.QuarantinedWork{Work: w.Work.Bytes(), AgeMs: int64(w.Age), Ended: fleetwire.Names(w.Ended)})
	}
	return out
}

func quarantinedOf(told []*wire.QuarantinedWork) []dispatch.Quarantined {
	var list []dispatch.Quarantined
	for _, w := range told {
		if id, ok := work.IDFrom(w.GetWork()); ok {
			list = append(list, dispatch.Quarantined{Work: id, Age: clock.Millis(w.GetAgeMs()), Ended: fleetwire.IncarnationsOf(w.GetEnded())})
		}
	}
	return list
}
