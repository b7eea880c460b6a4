package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPromiseBroken means that a promise was broken.
var ErrPromiseBroken = errors.New("soak: a promise was broken")

// Figures of a run.
const (
	// startupTime is how long the processes have to place the layers.
	startupTime = 4 * time.Second
	// recoveryTime is how long after the last fault every node must serve again.
	recoveryTime = 15 * time.Second
	// maxFaultDuration bounds a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// maxFaultPause bounds the pause between two faults of a series.
	maxFaultPause = 700 * time.Millisecond
	// leavingSeed is the leaving's part of the seed.
	leavingSeed = 50
	// deadlySeed and suspendSeed are those of the deadly requests and the suspensions,
	// which go on beside the series.
	deadlySeed  = 60
	suspendSeed = 61
	// faultSeriesCount is how many series of faults go on at a time.
	faultSeriesCount = 2
)

// Options of a run.
type Options struct {
	Seed          uint64
	FaultDuration time.Duration
	Size          Size
	// BinDir is where the programs are, and Dir where logs go.
	BinDir, LogDir string
	Out            io.Writer
}

// runner is one run.
type runner struct {
	Options
	cluster     *cluster
	callers     *callers
	mu          sync.Mutex
	revocations []revocation
	// disturbed are when nodes and ways to engines were harmed.
	disturbed disturbances
	// keyMu is held while the second key is away.
	keyMu sync.Mutex
	// calmStart and calmEnd are when nothing was harmed.
	calmStart, calmEnd time.Time
}

// Run plays a seed. Errors wrap ErrPromiseBroken where a promise was broken.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
		return err
	}
	w, err := newCluster(o.BinDir, o.LogDir, o.Size)
	defer w.close()
	if err != nil {
		return err
	}
	s := &runner{Options: o, cluster: w, callers: &callers{cluster: w, revocableKey: "key-2"}}
	return s.run(ctx)
}

func (s *runner) run(ctx context.Context) error {
	calling, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range s.Size.Callers {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+100))
		group.Go(func() { s.callers.sendUntilDone(calling, i, random) })
	}
	time.Sleep(startupTime)
	s.runFaults(ctx)
	harmed := time.Now()
	err := s.awaitRecovery()
	sleep(ctx, time.Until(harmed.Add(calmDelay)))
	s.calmStart = time.Now()
	sleep(ctx, calmDuration)
	s.calmEnd = time.Now()
	if err == nil {
		err = s.testLeaving(rand.New(rand.NewPCG(s.Seed, leavingSeed)))
	}
	stop()
	group.Wait()
	return errors.Join(err, s.checkResults())
}

// runFaults runs the series of faults side by side.
func (s *runner) runFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.FaultDuration)
	defer cancel()
	var group sync.WaitGroup
	for i := range faultSeriesCount {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		group.Go(func() {
			for ctx.Err() == nil {
				s.injectFault(random)
				time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
			}
		})
	}
	group.Go(func() { s.deadlySeries(ctx, rand.New(rand.NewPCG(s.Seed, deadlySeed))) })
	group.Go(func() { s.suspendSeries(ctx, rand.New(rand.NewPCG(s.Seed, suspendSeed))) })
	group.Go(func() { s.backOffSeries(ctx, rand.New(rand.NewPCG(s.Seed, backOffSeed))) })
	group.Go(func() { s.restoreSeries(ctx, rand.New(rand.NewPCG(s.Seed, restoreSeed))) })
	for i := range len(s.cluster.engines) + 1 {
		group.Go(func() { s.limitSeries(ctx, i, rand.New(rand.NewPCG(s.Seed, limitSeed+uint64(i)))) })
	}
	group.Go(func() { s.restartCrashedLoop(ctx) })
	group.Wait()
	s.restartCrashed()
}

func (s *runner) logFault(what string, lasts time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list of faults is for people; a lost line harms nothing.
	_, _ = fmt.Fprintf(s.Out, "fault=%q for=%s error=%v\n", what, lasts.Round(time.Millisecond), err)
}

// awaitRecovery waits until every node serves a stream again.
func (s *runner) awaitRecovery() error {
	until := time.Now().Add(recoveryTime)
	for i := range s.cluster.nodes {
		for n := 0; !s.servesStream(i, fmt.Sprintf("after-%d-%d", i, n)); n++ {
			if time.Now().After(until) {
				return errors.Wrapf(ErrPromiseBroken, "node-%d does not serve %v after the last fault", i, recoveryTime)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (s *runner) servesStream(node int, id string) bool {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	t := s.callers.send(context.Background(), transport, node, attempt{id: id, key: permanentKey, method: http.MethodPost, path: "/write/" + id})
	return t.status == http.StatusOK && t.complete && t.body == expectedBody(t.path)
}

func (s *runner) checkResults() error {
	runs, err := s.cluster.executions()
	if err != nil {
		return err
	}
	tries := s.callers.recorded()
	counts := make(map[int]int)
	for _, t := range tries {
		counts[t.status]++
	}
	_, _ = fmt.Fprintf(s.Out, "tries=%d by_status=%v revocations=%d\n", len(tries), counts, len(s.revocations))
	told, starved := s.checkServed(tries)
	_, _ = fmt.Fprintln(s.Out, told)
	broken := append(starved, checkAttempts(tries, runs, s.revocations)...)
	broken = append(broken, s.cluster.crashes.check(len(s.cluster.nodes))...)
	visits, err := s.checkVisits()
	if err != nil {
		return err
	}
	broken = append(broken, visits...)
	for _, line := range broken {
		_, _ = fmt.Fprintln(s.Out, "broken:", line)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrPromiseBroken, "%d promises", len(broken))
	}
	return nil
}
