package entry

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
)

// execute carries out a command. It never waits: what takes time goes to the
// ring or the goroutine of its duty.
func (n *Node) execute(cmd core.Cmd) {
	switch cmd := cmd.(type) {
	case *core.EmitCmd:
		n.mail.emit(cmd)
	case *core.FinishCmd:
		n.logFinish(cmd)
		n.mail.finish(cmd)
	case *core.TicketsCmd:
		n.mail.grant(cmd)
	case *core.StepCmd:
		n.note(n.engines.Step(cmd))
	case *core.EndCmd:
		n.engines.End(cmd)
	case *core.CallCmd:
		n.services.call(cmd)
	case *core.RelayCmd:
		n.peers.relay(cmd)
	case *core.HeartbeatCmd:
		n.peers.heartbeat(cmd)
	case *core.HandoverCmd:
		n.peers.handOver(cmd)
	case *core.ProposedCmd:
		n.desk.answer(cmd)
	case *core.ExitCmd:
		n.log.Info("drained")
		close(n.exit)
	case *core.FetchChangesCmd:
		n.fetch(cmd)
	default:
		n.offerStore(cmd)
	}
}

func (n *Node) fetch(cmd *core.FetchChangesCmd) {
	if cmd.Address != "" {
		n.peers.fetch(cmd)
		return
	}
	n.offerStore(cmd)
}

func (n *Node) offerStore(cmd core.Cmd) {
	n.note(n.store.offer(cmd))
}

// note brings a message that a command has brought about at once, if any.
func (n *Node) note(msg core.Msg) {
	if msg != nil {
		n.decider.note(msg)
	}
}

func (n *Node) logFinish(f *core.FinishCmd) {
	n.log.Debug("finish", zap.Uint64("request", f.Caller), zap.Stringer("outcome", f.Outcome),
		zap.Stringer("reason", f.Reason), zap.Int("tokens", f.Tokens), zap.Int64("retry_after_ms", int64(f.RetryAfter)))
}
