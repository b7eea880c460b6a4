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

// harm does a scenario's troubles to the processes.
type harm struct {
	deployment *Deployment
	load       *load
	random     *rand.Rand
	client     *http.Client
	mu         sync.Mutex
	// failed are troubles that could not be done.
	failed []error
}

func newHarm(d *Deployment, l *load, seed uint64) *harm {
	return &harm{deployment: d, load: l, random: rand.New(rand.NewPCG(seed, 31)), client: &http.Client{Timeout: 5 * time.Second}}
}

// run does all troubles at their times, and returns when the last is over.
func (h *harm) run(ctx context.Context, began time.Time) {
	var group sync.WaitGroup
	for _, f := range h.deployment.scenario.Faults {
		for _, at := range f.StartTimes() {
			group.Go(func() {
				sleep(ctx, time.Until(began.Add(at.Duration())))
				if ctx.Err() == nil {
					h.note(h.strike(ctx, f))
				}
			})
		}
	}
	group.Wait()
}

func (h *harm) note(err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = append(h.failed, err)
}

// strike does one trouble and undoes it.
func (h *harm) strike(ctx context.Context, f lab.Fault) error {
	lasts := f.Duration.Duration()
	switch f.Kind {
	case lab.LoadBurst:
		h.load.setBurst(f.Magnitude)
		sleep(ctx, lasts)
		h.load.setBurst(1)
	case lab.NodeKill:
		return h.eachNode(f, func(n *relayNode) error {
			n.Kill()
			sleep(ctx, lasts)
			return n.Start(nodeMark)
		})
	case lab.NodeFreeze:
		return h.eachNode(f, func(n *relayNode) error {
			n.Signal(syscall.SIGSTOP)
			sleep(ctx, lasts)
			n.Signal(syscall.SIGCONT)
			return nil
		})
	case lab.NodeRollingRestart:
		for _, n := range h.some(f.Share) {
			n.Stop()
			if err := n.Start(nodeMark); err != nil {
				return err
			}
			sleep(ctx, lasts)
		}
	case lab.ListFrozen:
		return h.storeFor(ctx, standin.RowStoreFaults{Down: true}, lasts)
	case lab.StoreSlow:
		return h.storeFor(ctx, standin.RowStoreFaults{SlowMS: int64(f.Magnitude)}, lasts)
	default:
		return h.post(h.deployment.upstreams, "/harm", standin.Harm{Kind: f.Kind, Share: f.Share, X: f.Magnitude, XMost: f.MaxMagnitude, ForMS: int64(f.Duration)})
	}
	return nil
}

// eachNode does something to a share of the nodes at once.
func (h *harm) eachNode(f lab.Fault, do func(*relayNode) error) error {
	nodes := h.some(f.Share)
	errs := make([]error, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() { errs[i] = do(n) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// some draws a share of the nodes, one at least.
func (h *harm) some(share float64) []*relayNode {
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

func (h *harm) storeFor(ctx context.Context, f standin.RowStoreFaults, lasts time.Duration) error {
	err := h.post(h.deployment.store, "/faults", f)
	sleep(ctx, lasts)
	return errors.CombineErrors(err, h.post(h.deployment.store, "/faults", standin.RowStoreFaults{}))
}

func (h *harm) post(to *process.Process, path string, v any) error {
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
