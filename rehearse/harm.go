package rehearse

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// faultInjector does a scenario's troubles to the processes.
type faultInjector struct {
	deployment *Deployment
	load       *loadGenerator
	random     *rand.Rand
	client     *http.Client
	mu         sync.Mutex
	// errs are troubles that could not be done.
	errs []error
}

func newFaultInjector(d *Deployment, l *loadGenerator, seed uint64) *faultInjector {
	return &faultInjector{deployment: d, load: l, random: rand.New(rand.NewPCG(seed, 31)), client: &http.Client{Timeout: 5 * time.Second}}
}

// run does all troubles at their times, and returns when the last is over.
func (h *faultInjector) run(ctx context.Context, began time.Time) {
	var group sync.WaitGroup
	for _, f := range h.deployment.scenario.Faults {
		for _, at := range f.StartTimes() {
			group.Go(func() {
				sleep(ctx, time.Until(began.Add(at.Duration())))
				if ctx.Err() == nil {
					h.recordError(h.inject(ctx, f))
				}
			})
		}
	}
	group.Wait()
}

func (h *faultInjector) recordError(err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errs = append(h.errs, err)
}

// inject does one trouble and undoes it.
func (h *faultInjector) inject(ctx context.Context, f lab.Fault) error {
	lasts := f.Duration.Duration()
	switch f.Kind {
	case lab.LoadBurst:
		h.load.setBurst(f.Magnitude)
		sleep(ctx, lasts)
		h.load.setBurst(1)
	case lab.NodeKill:
		return h.onNodes(f, func(n *relayNode) error {
			n.Kill()
			sleep(ctx, lasts)
			return n.Start(nodeReadyText)
		})
	case lab.NodeFreeze:
		return h.onNodes(f, func(n *relayNode) error {
			n.Signal(syscall.SIGSTOP)
			sleep(ctx, lasts)
			n.Signal(syscall.SIGCONT)
			return nil
		})
	case lab.NodeRollingRestart:
		for _, n := range h.pickNodes(f.Share) {
			n.Stop()
			if err := n.Start(nodeReadyText); err != nil {
				return err
			}
			sleep(ctx, lasts)
		}
	case lab.ListFrozen:
		return h.injectStoreFault(ctx, standin.RowStoreFaults{Down: true}, lasts)
	case lab.StoreSlow:
		return h.injectStoreFault(ctx, standin.RowStoreFaults{ResponseDelayMS: int64(f.Magnitude)}, lasts)
	default:
		return h.post(h.deployment.upstreams, "/harm", standin.FaultInjection{Kind: f.Kind, Share: f.Share, Magnitude: f.Magnitude, MaxMagnitude: f.MaxMagnitude, ForMS: int64(f.Duration)})
	}
	return nil
}

// onNodes does something to a share of the nodes at once.
func (h *faultInjector) onNodes(f lab.Fault, do func(*relayNode) error) error {
	nodes := h.pickNodes(f.Share)
	errs := make([]error, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() { errs[i] = do(n) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// pickNodes draws a share of the nodes, one at least.
func (h *faultInjector) pickNodes(share float64) []*relayNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.deployment.nodes
	var nodes []*relayNode
	const half = 0.5
	for _, i := range h.random.Perm(len(all))[:min(max(1, int(share*float64(len(all))+half)), len(all))] {
		nodes = append(nodes, all[i])
	}
	return nodes
}

func (h *faultInjector) injectStoreFault(ctx context.Context, f standin.RowStoreFaults, lasts time.Duration) error {
	err := h.post(h.deployment.store, "/faults", f)
	sleep(ctx, lasts)
	return errors.CombineErrors(err, h.post(h.deployment.store, "/faults", standin.RowStoreFaults{}))
}

func (h *faultInjector) post(to *process.Process, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := h.client.Post("http://"+to.Address()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "rehearse: harm")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("rehearse: harm at %s: status %d", path, resp.StatusCode)
	}
	return nil
}
