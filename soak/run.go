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

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("soak: a promise was broken")

// Figures of a run.
const (
	// settle is how long the processes have to place the layers.
	settle = 4 * time.Second
	// recovery is how long after the last fault every node must serve again.
	recovery = 15 * time.Second
	// longestFault bounds a fault.
	longestFault = 2500 * time.Millisecond
	// faultPause bounds the pause between two faults of a series.
	faultPause = 700 * time.Millisecond
	// leavePart is the leaving's part of the seed.
	leavePart = 50
	// deadlyPart and suspendPart are those of the deadly requests and the suspensions,
	// which go on beside the series.
	deadlyPart  = 60
	suspendPart = 61
	// series is how many series of faults go on at a time.
	series = 2
)

// Options of a run.
type Options struct {
	Seed uint64
	For  time.Duration
	Size Size
	// Bin is where the programs are, and Dir where logs go.
	Bin, Dir string
	Out      io.Writer
}

// soak is one run.
type soak struct {
	Options
	world   *world
	callers *callers
	mu      sync.Mutex
	gone    []revocation
	// disturbed are when nodes and ways to engines were harmed.
	disturbed disturbances
	// keys is held while the second key is away.
	keys sync.Mutex
	// calmFrom and calmTo are when nothing was harmed.
	calmFrom, calmTo time.Time
}

// Run plays a seed. Errors wrap ErrBroken where a promise was broken.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return err
	}
	w, err := newWorld(o.Bin, o.Dir, o.Size)
	defer w.close()
	if err != nil {
		return err
	}
	s := &soak{Options: o, world: w, callers: &callers{world: w, second: "key-2"}}
	return s.play(ctx)
}

func (s *soak) play(ctx context.Context) error {
	calling, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range s.Size.Callers {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+100))
		group.Go(func() { s.callers.run(calling, i, random) })
	}
	time.Sleep(settle)
	s.harm(ctx)
	harmed := time.Now()
	err := s.recovered()
	sleep(ctx, time.Until(harmed.Add(calmAfter)))
	s.calmFrom = time.Now()
	sleep(ctx, calmFor)
	s.calmTo = time.Now()
	if err == nil {
		err = s.leave(rand.New(rand.NewPCG(s.Seed, leavePart)))
	}
	stop()
	group.Wait()
	return errors.Join(err, s.judge())
}

// harm runs the series of faults side by side.
func (s *soak) harm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.For)
	defer cancel()
	var group sync.WaitGroup
	for i := range series {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		group.Go(func() {
			for ctx.Err() == nil {
				s.fault(random)
				time.Sleep(time.Duration(random.Int64N(int64(faultPause))))
			}
		})
	}
	group.Go(func() { s.deadlySeries(ctx, rand.New(rand.NewPCG(s.Seed, deadlyPart))) })
	group.Go(func() { s.suspendSeries(ctx, rand.New(rand.NewPCG(s.Seed, suspendPart))) })
	group.Go(func() { s.restSeries(ctx, rand.New(rand.NewPCG(s.Seed, restPart))) })
	group.Go(func() { s.returnSeries(ctx, rand.New(rand.NewPCG(s.Seed, returnPart))) })
	for i := range len(s.world.engines) + 1 {
		group.Go(func() { s.limitSeries(ctx, i, rand.New(rand.NewPCG(s.Seed, limitPart+uint64(i)))) })
	}
	group.Go(func() { s.restartCrashed(ctx) })
	group.Wait()
	s.startCrashed()
}

func (s *soak) note(what string, lasts time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list of faults is for people; a lost line harms nothing.
	_, _ = fmt.Fprintf(s.Out, "fault=%q for=%s error=%v\n", what, lasts.Round(time.Millisecond), err)
}

// recovered waits until every node serves a stream again.
func (s *soak) recovered() error {
	until := time.Now().Add(recovery)
	for i := range s.world.nodes {
		for n := 0; !s.serves(i, fmt.Sprintf("after-%d-%d", i, n)); n++ {
			if time.Now().After(until) {
				return errors.Wrapf(ErrBroken, "node-%d does not serve %v after the last fault", i, recovery)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (s *soak) serves(node int, id string) bool {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	t := s.callers.askPath(context.Background(), transport, node, try{id: id, key: keptKey, method: http.MethodPost, path: "/write/" + id})
	return t.status == http.StatusOK && t.whole && t.body == wanted(t.path)
}

func (s *soak) judge() error {
	runs, err := s.world.runs()
	if err != nil {
		return err
	}
	tries := s.callers.taken()
	counts := make(map[int]int)
	for _, t := range tries {
		counts[t.status]++
	}
	_, _ = fmt.Fprintf(s.Out, "tries=%d by_status=%v revocations=%d\n", len(tries), counts, len(s.gone))
	told, starved := s.served(tries)
	_, _ = fmt.Fprintln(s.Out, told)
	broken := append(starved, check(tries, runs, s.gone)...)
	broken = append(broken, s.world.ends.check(len(s.world.nodes))...)
	visits, err := s.checkVisits()
	if err != nil {
		return err
	}
	broken = append(broken, visits...)
	for _, line := range broken {
		_, _ = fmt.Fprintln(s.Out, "broken:", line)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrBroken, "%d promises", len(broken))
	}
	return nil
}
