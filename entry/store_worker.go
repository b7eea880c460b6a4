package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/ring"
	"github.com/hoistjunction/hoistjunction/tablestore"
)

// storeRingSize is how many commands may wait for the platform. Their timers and
// batches keep them few.
const storeRingSize = 64

// storeWorker carries out the commands for the platform. Claims, commits and
// the rest each have a goroutine, so that none waits behind another's slow
// answer.
type storeWorker struct {
	client      *tablestore.Client
	store       *tablestore.Store
	log         *logging.Log
	post        func(core.Msg)
	claims      *ring.Ring[core.Cmd]
	commits     *ring.Ring[core.Cmd]
	reads       *ring.Ring[core.Cmd]
	lists       *ring.Ring[core.Cmd]
	listVersion uint64
}

func newStoreWorker(c *tablestore.Client, log *logging.Log, tell func(core.Msg)) *storeWorker {
	return &storeWorker{
		client:  c,
		store:   tablestore.NewStore(c),
		log:     log,
		post:    tell,
		claims:  ring.New[core.Cmd](storeRingSize),
		commits: ring.New[core.Cmd](storeRingSize),
		reads:   ring.New[core.Cmd](storeRingSize),
		lists:   ring.New[core.Cmd](storeRingSize),
	}
}

// enqueue takes a command in. It returns the message that stands for a command
// that found no room, or nil.
func (w *storeWorker) enqueue(cmd core.Cmd) core.Msg {
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

// processRing carries out one ring's commands until the context ends.
func (w *storeWorker) processRing(ctx context.Context, r *ring.Ring[core.Cmd]) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case cmd := <-r.Items():
			w.execute(ctx, cmd)
		}
	}
}

func (w *storeWorker) execute(ctx context.Context, cmd core.Cmd) {
	switch cmd := cmd.(type) {
	case *core.ClaimsCmd:
		w.writeClaims(ctx, cmd)
	case *core.CommitCmd:
		w.post(w.store.Commit(ctx, cmd.Call, cmd.Record))
	case *core.SnapshotCmd:
		w.warnOnError("snapshot_failed", w.store.PutSnapshot(ctx, cmd.Config))
	case *core.FetchChangesCmd:
		w.fetchChanges(ctx, cmd)
	case *core.PollHeadCmd:
		w.pollHead(ctx)
	case *core.PollNodesCmd:
		w.pollNodes(ctx)
	case *core.RegisterCmd:
		w.warnOnError("register_failed", w.store.Register(ctx, cmd.Node))
	case *core.PollListCmd:
		w.pollList(ctx)
	}
}

func (w *storeWorker) writeClaims(ctx context.Context, cmd *core.ClaimsCmd) {
	claims, err := w.store.Claim(ctx, cmd.Claims)
	if err != nil {
		w.warnOnError("claims_failed", err)
		w.post(core.ClaimsFailedMsg{Batch: cmd.Batch})
		return
	}
	w.post(core.ClaimsMsg{Batch: cmd.Batch, Claims: claims})
}

func (w *storeWorker) fetchChanges(ctx context.Context, cmd *core.FetchChangesCmd) {
	msg, err := w.store.Changes(ctx, cmd.After)
	if err != nil {
		w.warnOnError("fetch_failed", err)
		w.post(core.FetchFailedMsg{})
		return
	}
	w.post(msg)
}

func (w *storeWorker) pollHead(ctx context.Context) {
	version, err := w.store.Head(ctx)
	if err != nil {
		w.warnOnError("head_failed", err)
		return
	}
	w.post(core.HeadMsg{Version: version})
}

func (w *storeWorker) pollNodes(ctx context.Context) {
	nodes, err := w.store.Nodes(ctx)
	if err != nil {
		w.warnOnError("nodes_failed", err)
		return
	}
	w.post(core.NodesMsg{Nodes: nodes})
}

func (w *storeWorker) pollList(ctx context.Context) {
	list, err := w.client.VMs(ctx, w.listVersion)
	if err != nil {
		w.log.Debug("list_failed", zap.Error(err))
		return
	}
	w.listVersion = list.Version
	w.post(core.ListMsg{Upstreams: list.VMs})
}

func (w *storeWorker) warnOnError(event string, err error) {
	if err != nil {
		w.log.Warn(event, zap.Error(err))
	}
}
