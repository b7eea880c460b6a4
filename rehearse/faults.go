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

// faultInjector applies the faults of a scenario to the processes.
type faultInjector struct {
	deployment *Deployment
	load       *loadGenerator
	random     *rand.Rand
	client     *http.Client
	mu         sync.Mutex
	// errs are the errors of faults that could not be injected.
	errs []error
}

func newFaultInjector(d *Deployment, l *loadGenerator, seed uint64) *faultInjector {
	return &faultInjector{deployment: d, load: l, random: rand.New(rand.NewPCG(seed, 31)), client: &http.Client{Timeout: 5 * time.Second}}
}

// run injects all faults at their times and returns after the last has ended.
func (fi *faultInjector) run(ctx context.Context, startedAt time.Time) {
	var group sync.WaitGroup
	for _, f := range fi.deployment.scenario.Faults {
		for _, at := range f.StartTimes() {
			group.Go(func() {
				sleep(ctx, time.Until(startedAt.Add(at.Duration())))
				if ctx.Err() == nil {
					fi.recordError(fi.inject(ctx, f))
				}
			})
		}
	}
	group.Wait()
}

func (fi *faultInjector) recordError(err error) {
	if err == nil {
		return
	}
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.errs = append(fi.errs, err)
}

// inject applies one fault. It waits for the end of the fault and reverts it, except for a
// fault of the upstreams, which the stand-in reverts by itself.
func (fi *faultInjector) inject(ctx context.Context, f lab.Fault) error {
	duration := f.Duration.Duration()
	switch f.Kind {
	case lab.LoadBurst:
		fi.load.setBurst(f.Magnitude)
		sleep(ctx, duration)
		fi.load.setBurst(1)
	case lab.NodeKill:
		return fi.onNodes(f, func(n *relayNode) error {
			n.Kill()
			sleep(ctx, duration)
			return n.Start(nodeReadyText)
		})
	case lab.NodeFreeze:
		return fi.onNodes(f, func(n *relayNode) error {
			n.Signal(syscall.SIGSTOP)
			sleep(ctx, duration)
			n.Signal(syscall.SIGCONT)
			return nil
		})
	case lab.NodeRollingRestart:
		for _, n := range fi.pickNodes(f.Share) {
			n.Stop()
			if err := n.Start(nodeReadyText); err != nil {
				return err
			}
			sleep(ctx, duration)
		}
	case lab.ListFrozen:
		return fi.injectStoreFault(ctx, standin.RowStoreFaults{Down: true}, duration)
	case lab.StoreSlow:
		return fi.injectStoreFault(ctx, standin.RowStoreFaults{ResponseDelayMS: int64(f.Magnitude)}, duration)
	default:
		return fi.post(fi.deployment.upstreams, "/harm", standin.FaultInjection{Kind: f.Kind, Share: f.Share, Magnitude: f.Magnitude, MaxMagnitude: f.MaxMagnitude, ForMS: int64(f.Duration)})
	}
	return nil
}

// onNodes applies a function to a random share of the nodes in parallel.
func (fi *faultInjector) onNodes(f lab.Fault, apply func(*relayNode) error) error {
	nodes := fi.pickNodes(f.Share)
	errs := make([]error, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() { errs[i] = apply(n) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// pickNodes draws a share of the nodes, at least one.
func (fi *faultInjector) pickNodes(share float64) []*relayNode {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	all := fi.deployment.nodes
	var nodes []*relayNode
	const half = 0.5
	for _, i := range fi.random.Perm(len(all))[:min(max(1, int(share*float64(len(all))+half)), len(all))] {
		nodes = append(nodes, all[i])
	}
	return nodes
}

func (fi *faultInjector) injectStoreFault(ctx context.Context, f standin.RowStoreFaults, duration time.Duration) error {
	err := fi.post(fi.deployment.store, "/faults", f)
	sleep(ctx, duration)
	return errors.CombineErrors(err, fi.post(fi.deployment.store, "/faults", standin.RowStoreFaults{}))
}

func (fi *faultInjector) post(to *process.Process, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := fi.client.Post("http://"+to.Address()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "rehearse: inject fault")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("rehearse: inject fault at %s: status %d", path, resp.StatusCode)
	}
	return nil
}
