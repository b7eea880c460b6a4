package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
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
	// keys is held while the second key is away.
	keys sync.Mutex
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
	err := s.recovered()
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
	group.Wait()
}

// fault does one harm and undoes it.
func (s *soak) fault(random *rand.Rand) {
	lasts := time.Duration(random.Int64N(int64(longestFault)))
	kind, which, mode := random.IntN(10), random.IntN(1<<20), Mode(1+random.IntN(4))
	what, err := "", error(nil)
	switch kind {
	case 0, 1, 2:
		what, err = s.nodeFault(kind, which%len(s.world.nodes), lasts)
	case 3:
		what, err = s.engineFault(which%len(s.world.engines), lasts)
	case 4:
		engine := which % len(s.world.engines)
		what = fmt.Sprintf("%s before engine-%d", mode, engine)
		s.cut(s.world.links[engine], mode, lasts)
	case 5:
		link := which % len(s.world.storeLink)
		what = fmt.Sprintf("%s between store and node-%d", mode, link)
		s.cut(s.world.storeLink[link], mode, lasts)
	case 6:
		what, err = s.storeFault(random, lasts)
	case 7:
		what, err = s.revoke(lasts)
	case 8:
		what, err = s.enginesFail(lasts)
	default:
		what = s.mute(which)
	}
	s.note(what, lasts, err)
}

// nodeFault kills, stops or pauses a node.
func (s *soak) nodeFault(kind, which int, lasts time.Duration) (string, error) {
	s.world.nodeBusy[which].Lock()
	defer s.world.nodeBusy[which].Unlock()
	node := s.world.nodes[which]
	switch kind {
	case 0:
		node.kill()
		time.Sleep(lasts / 4)
		return "kill " + node.name, s.world.restart(node)
	case 1:
		node.stop()
		return "stop " + node.name, s.world.restart(node)
	default:
		node.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		node.signal(syscall.SIGCONT)
		return "pause " + node.name, nil
	}
}

// engineFault kills an engine and starts another in its place.
func (s *soak) engineFault(which int, lasts time.Duration) (string, error) {
	s.world.engineBusy[which].Lock()
	defer s.world.engineBusy[which].Unlock()
	s.world.engines[which].kill()
	time.Sleep(lasts)
	return fmt.Sprintf("kill engine-%d", which), s.world.startEngine(which)
}

// failing engines answer each second stream with a failure of their own, and break each
// third off partway: what is taken up elsewhere meets failures too.
var failing = standin.ChainFaults{FailEach: 2, CutEach: 3}

// enginesFail has all engines fail a part of their streams.
func (s *soak) enginesFail(lasts time.Duration) (string, error) {
	err := s.engineFaults(failing)
	time.Sleep(lasts)
	return "engines fail", errors.CombineErrors(err, s.engineFaults(standin.ChainFaults{}))
}

// engineFaults sets what goes wrong with all engines. One that is just being started
// again gets none.
func (s *soak) engineFaults(f standin.ChainFaults) error {
	var failed error
	for i, engine := range s.world.engines {
		if !s.world.engineBusy[i].TryLock() {
			continue
		}
		failed = errors.CombineErrors(failed, post("http://"+engine.at()+"/faults", f))
		s.world.engineBusy[i].Unlock()
	}
	return failed
}

// mute has the open connections of an engine, or of a node to the store, go silent for
// good, while new ones work.
func (s *soak) mute(which int) string {
	if which%2 == 0 {
		engine := which / 2 % len(s.world.links)
		s.world.links[engine].mute()
		return fmt.Sprintf("mute engine-%d", engine)
	}
	node := which / 2 % len(s.world.storeLink)
	s.world.storeLink[node].mute()
	return fmt.Sprintf("mute store and node-%d", node)
}

func (s *soak) note(what string, lasts time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list of faults is for people; a lost line harms nothing.
	_, _ = fmt.Fprintf(s.Out, "fault=%q for=%s error=%v\n", what, lasts.Round(time.Millisecond), err)
}

func (s *soak) cut(link *proxy, mode Mode, lasts time.Duration) {
	link.set(mode)
	time.Sleep(lasts)
	link.set(Pass)
}

func (s *soak) storeFault(random *rand.Rand, lasts time.Duration) (string, error) {
	faults := []standin.RowStoreFaults{{Down: true}, {Silent: true}, {SlowMS: 200}, {LoseWrites: true}, {Forget: true}}
	names := []string{"store down", "store silent", "store slow", "store loses answers", "store forgets"}
	i := random.IntN(len(faults))
	if err := s.world.storeFaults(faults[i]); err != nil {
		return names[i], err
	}
	time.Sleep(lasts)
	return names[i], s.world.storeFaults(standin.RowStoreFaults{})
}

// revoke takes the second key away, long enough to matter, and gives it back.
func (s *soak) revoke(lasts time.Duration) (string, error) {
	s.keys.Lock()
	defer s.keys.Unlock()
	from, err := s.world.setKeys(keptKey)
	if err != nil {
		return "revoke", err
	}
	time.Sleep(revokeWithin + lasts)
	to := time.Now()
	s.mu.Lock()
	s.gone = append(s.gone, revocation{from: from, to: to})
	s.mu.Unlock()
	_, err = s.world.setKeys(keptKey, "key-2")
	return "revoke", err
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
	broken := check(tries, runs, s.gone)
	for _, line := range broken {
		_, _ = fmt.Fprintln(s.Out, "broken:", line)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrBroken, "%d promises", len(broken))
	}
	return nil
}
