package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPromiseBroken means that a guarantee of the product was violated.
var ErrPromiseBroken = errors.New("soak: a guarantee was violated")

// The times, seeds and counts of a run.
const (
	// startupTime is how long the processes have to place the layers before faults start.
	startupTime = 4 * time.Second
	// recoveryTime bounds how long after the last fault a node may fail to serve.
	recoveryTime = 15 * time.Second
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// maxFaultPause bounds the pause between two faults of a series.
	maxFaultPause = 700 * time.Millisecond
	// leavingSeed selects the random stream of the leaving stage.
	leavingSeed = 50
	// deadlySeed and suspendSeed select the random streams of the deadly requests and the
	// suspensions, which run in parallel with the fault series.
	deadlySeed  = 60
	suspendSeed = 61
	// faultSeriesCount is the number of fault series that run in parallel.
	faultSeriesCount = 2
)

// Options are the settings of a run. Faults are injected for FaultDuration.
type Options struct {
	Seed          uint64
	FaultDuration time.Duration
	Size          Size
	// BinDir is the folder of the programs, and LogDir the folder of their logs and settings.
	BinDir, LogDir string
	Out            io.Writer
}

// runner is the state of one run.
type runner struct {
	Options
	cluster     *cluster
	callers     *callers
	mu          sync.Mutex
	revocations []revocation
	// disturbed records when nodes and links to engines were disturbed.
	disturbed disturbances
	// keyMu is held while the revocable key is revoked.
	keyMu sync.Mutex
	// calmStart and calmEnd bound the span without faults whose requests must nearly all be
	// served.
	calmStart, calmEnd time.Time
}

// Run runs the faults of a seed and checks the results. The error wraps ErrPromiseBroken if a
// guarantee was violated.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
		return err
	}
	c, err := newCluster(o.BinDir, o.LogDir, o.Size)
	defer c.close()
	if err != nil {
		return err
	}
	r := &runner{Options: o, cluster: c, callers: &callers{cluster: c}}
	return r.run(ctx)
}

func (r *runner) run(ctx context.Context) error {
	callerCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range r.Size.Callers {
		random := rand.New(rand.NewPCG(r.Seed, uint64(i)+100))
		group.Go(func() { r.callers.sendUntilDone(callerCtx, callerCtx, newSender(i), random) })
	}
	time.Sleep(startupTime)
	// Later, limits of engines keep most requests from waiting for memory.
	r.burst(ctx, -1, "write", rand.New(rand.NewPCG(r.Seed, burstSeed+1)))
	r.runFaults(ctx)
	faultsEnd := time.Now()
	err := r.awaitRecovery()
	sleep(ctx, time.Until(faultsEnd.Add(calmDelay)))
	r.calmStart = time.Now()
	sleep(ctx, calmDuration)
	r.calmEnd = time.Now()
	if err == nil {
		err = r.testLeaving(rand.New(rand.NewPCG(r.Seed, leavingSeed)))
	}
	stop()
	group.Wait()
	return errors.Join(err, r.checkResults())
}

// runFaults runs all fault series in parallel until the duration of the run is over, and
// restarts the engines that have crashed.
func (r *runner) runFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.FaultDuration)
	defer cancel()
	var group sync.WaitGroup
	for i := range faultSeriesCount {
		random := rand.New(rand.NewPCG(r.Seed, uint64(i)+1))
		group.Go(func() {
			for ctx.Err() == nil {
				r.injectFault(random)
				time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
			}
		})
	}
	group.Go(func() { r.deadlySeries(ctx, rand.New(rand.NewPCG(r.Seed, deadlySeed))) })
	group.Go(func() { r.suspendSeries(ctx, rand.New(rand.NewPCG(r.Seed, suspendSeed))) })
	group.Go(func() { r.backOffSeries(ctx, rand.New(rand.NewPCG(r.Seed, backOffSeed))) })
	group.Go(func() { r.burstSeries(ctx, rand.New(rand.NewPCG(r.Seed, burstSeed))) })
	group.Go(func() { r.restoreSeries(ctx, rand.New(rand.NewPCG(r.Seed, restoreSeed))) })
	group.Go(func() { r.foreignSeries(ctx, rand.New(rand.NewPCG(r.Seed, foreignSeed))) })
	for i := range len(r.cluster.engines) + 1 {
		group.Go(func() { r.limitSeries(ctx, i, rand.New(rand.NewPCG(r.Seed, limitSeed+uint64(i)))) })
	}
	group.Go(func() { r.restartCrashedLoop(ctx) })
	group.Wait()
	r.restartCrashed()
}

func (r *runner) logFault(description string, duration time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The output is informative, so a failed write is ignored.
	_, _ = fmt.Fprintf(r.Out, "fault=%q for=%s error=%v\n", description, duration.Round(time.Millisecond), err)
}

// awaitRecovery waits until every node serves a stream again.
func (r *runner) awaitRecovery() error {
	until := time.Now().Add(recoveryTime)
	for i := range r.cluster.nodes {
		for n := 0; !r.servesStream(i, fmt.Sprintf("after-%d-%d", i, n)); n++ {
			if time.Now().After(until) {
				return errors.Wrapf(ErrPromiseBroken, "node-%d does not serve a stream %v after the last fault", i, recoveryTime)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (r *runner) servesStream(node int, id string) bool {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	t := r.callers.send(context.Background(), transport, node, attempt{id: id, key: permanentKey, method: http.MethodPost, path: "/write/" + id})
	return t.status == http.StatusOK && t.complete && t.body == expectedBody(t.path)
}

func (r *runner) checkResults() error {
	executions, err := r.cluster.executions()
	if err != nil {
		return err
	}
	attempts := r.callers.recorded()
	counts := make(map[int]int)
	for _, t := range attempts {
		counts[t.status]++
	}
	_, _ = fmt.Fprintf(r.Out, "tries=%d by_status=%v revocations=%d\n", len(attempts), counts, len(r.revocations))
	summary, underserved := r.checkServed(attempts)
	_, _ = fmt.Fprintln(r.Out, summary)
	violations := append(underserved, checkAttempts(attempts, executions, r.revocations)...)
	waits, err := r.checkWaits(attempts)
	if err != nil {
		return err
	}
	violations = slices.Concat(violations, waits, r.checkPriorities(attempts))
	violations = append(violations, r.cluster.crashes.check(len(r.cluster.nodes))...)
	visits, err := r.checkVisits()
	if err != nil {
		return err
	}
	violations = append(violations, visits...)
	for _, line := range violations {
		_, _ = fmt.Fprintln(r.Out, "broken:", line)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrPromiseBroken, "%d violations", len(violations))
	}
	return nil
}
