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
		n.mailboxes.emit(cmd)
	case *core.FinishCmd:
		n.logFinish(cmd)
		n.mailboxes.finish(cmd)
	case *core.TicketsCmd:
		n.mailboxes.setTickets(cmd)
	case *core.StepCmd:
		n.postIfAny(n.engines.Step(cmd))
	case *core.EndCmd:
		n.engines.End(cmd)
	case *core.CallCmd:
		n.services.call(cmd)
	case *core.RelayCmd:
		n.peers.relay(cmd)
	case *core.HeartbeatCmd:
		n.peers.heartbeat(cmd)
	case *core.HandoverCmd:
		n.peers.handover(cmd)
	case *core.ProposedCmd:
		n.pendingProposals.deliver(cmd)
	case *core.ExitCmd:
		n.log.Info("drained")
		close(n.drained)
	case *core.FetchChangesCmd:
		n.fetchChanges(cmd)
	default:
		n.enqueueStore(cmd)
	}
}

func (n *Node) fetchChanges(cmd *core.FetchChangesCmd) {
	if cmd.Address != "" {
		n.peers.fetchChanges(cmd)
		return
	}
	n.enqueueStore(cmd)
}

func (n *Node) enqueueStore(cmd core.Cmd) {
	n.postIfAny(n.store.enqueue(cmd))
}

// postIfAny brings a message that a command has brought about at once, if any.
func (n *Node) postIfAny(msg core.Msg) {
	if msg != nil {
		n.loop.postLocal(msg)
	}
}

func (n *Node) logFinish(f *core.FinishCmd) {
	n.log.Debug("finish", zap.Uint64("request", f.Caller), zap.Stringer("outcome", f.Outcome),
		zap.Stringer("reason", f.Reason), zap.Int("tokens", f.Tokens), zap.Int64("retry_after_ms", int64(f.RetryAfter)))
}
