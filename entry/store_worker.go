package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/ring"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// storeRing is how many commands may wait for the platform. Their timers and
// batches keep them few.
const storeRing = 64

// storeWorker carries out the commands for the platform. Claims, commits and
// the rest each have a goroutine, so that none waits behind another's slow
// answer.
type storeWorker struct {
	client  *tablestore.Client
	store   *tablestore.Store
	log     *logging.Log
	tell    func(core.Msg)
	claims  *ring.Ring[core.Cmd]
	commits *ring.Ring[core.Cmd]
	reads   *ring.Ring[core.Cmd]
	lists   *ring.Ring[core.Cmd]
	seen    uint64
}

func newStoreWorker(c *tablestore.Client, log *logging.Log, tell func(core.Msg)) *storeWorker {
	return &storeWorker{
		client:  c,
		store:   tablestore.NewStore(c),
		log:     log,
		tell:    tell,
		claims:  ring.New[core.Cmd](storeRing),
		commits: ring.New[core.Cmd](storeRing),
		reads:   ring.New[core.Cmd](storeRing),
		lists:   ring.New[core.Cmd](storeRing),
	}
}

// offer takes a command in. It returns the message that stands for a command
// that found no room, or nil.
func (w *storeWorker) offer(cmd core.Cmd) core.Msg {
	switch cmd := cmd.(type) {
	case *core.ClaimsCmd:
		if !w.claims.Offer(cmd) {
			return core.ClaimsFailedMsg{Batch: cmd.Batch}
		}
	case *core.CommitCmd:
		if !w.commits.Offer(cmd) {
			return core.CommitMsg{Call: cmd.Call, Result: core.CommitUnanswered}
		}
	case *core.FetchChangesCmd:
		if !w.reads.Offer(cmd) {
			return core.FetchFailedMsg{}
		}
	case *core.PollListCmd:
		w.lists.Offer(cmd)
	case *core.SnapshotCmd:
		w.commits.Offer(cmd)
	default:
		w.reads.Offer(cmd)
	}
	return nil
}

// work carries out one ring's commands until the context ends.
func (w *storeWorker) work(ctx context.Context, r *ring.Ring[core.Cmd]) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cmd := <-r.Items():
			w.do(ctx, cmd)
		}
	}
}

func (w *storeWorker) do(ctx context.Context, cmd core.Cmd) {
	switch cmd := cmd.(type) {
	case *core.ClaimsCmd:
		w.claim(ctx, cmd)
	case *core.CommitCmd:
		w.tell(w.store.Commit(ctx, cmd.Call, cmd.Record))
	case *core.SnapshotCmd:
		w.warn("snapshot_failed", w.store.PutSnapshot(ctx, cmd.Config))
	case *core.FetchChangesCmd:
		w.fetch(ctx, cmd)
	case *core.PollHeadCmd:
		w.head(ctx)
	case *core.PollNodesCmd:
		w.nodes(ctx)
	case *core.RegisterCmd:
		w.warn("register_failed", w.store.Register(ctx, cmd.Node))
	case *core.PollListCmd:
		w.list(ctx)
	}
}

func (w *storeWorker) claim(ctx context.Context, cmd *core.ClaimsCmd) {
	claims, err := w.store.Claim(ctx, cmd.Claims)
	if err != nil {
		w.warn("claims_failed", err)
		w.tell(core.ClaimsFailedMsg{Batch: cmd.Batch})
		return
	}
	w.tell(core.ClaimsMsg{Batch: cmd.Batch, Claims: claims})
}

func (w *storeWorker) fetch(ctx context.Context, cmd *core.FetchChangesCmd) {
	msg, err := w.store.Changes(ctx, cmd.After)
	if err != nil {
		w.warn("fetch_failed", err)
		w.tell(core.FetchFailedMsg{})
		return
	}
	w.tell(msg)
}

func (w *storeWorker) head(ctx context.Context) {
	version, err := w.store.Head(ctx)
	if err != nil {
		w.warn("head_failed", err)
		return
	}
	w.tell(core.HeadMsg{Version: version})
}

func (w *storeWorker) nodes(ctx context.Context) {
	nodes, err := w.store.Nodes(ctx)
	if err != nil {
		w.warn("nodes_failed", err)
		return
	}
	w.tell(core.NodesMsg{Nodes: nodes})
}

func (w *storeWorker) list(ctx context.Context) {
	list, err := w.client.VMs(ctx, w.seen)
	if err != nil {
		w.log.Debug("list_failed", zap.Error(err))
		return
	}
	w.seen = list.Version
	w.tell(core.ListMsg{Upstreams: list.VMs})
}

func (w *storeWorker) warn(event string, err error) {
	if err != nil {
		w.log.Warn(event, zap.Error(err))
	}
}
