package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
)

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
		from := time.Now()
		s.cut(s.world.links[engine], mode, lasts)
		s.disturbed.note(s.world.engineName(engine), from)
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
	defer s.disturbed.note(node.Name(), time.Now())
	switch kind {
	case 0:
		node.Kill()
		time.Sleep(lasts / 4)
		return "kill " + node.Name(), s.world.restart(node)
	case 1:
		node.Stop()
		return "stop " + node.Name(), s.world.restart(node)
	default:
		node.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		node.Signal(syscall.SIGCONT)
		return "pause " + node.Name(), nil
	}
}

// engineFault kills an engine and starts another in its place.
func (s *soak) engineFault(which int, lasts time.Duration) (string, error) {
	s.world.engineBusy[which].Lock()
	defer s.world.engineBusy[which].Unlock()
	s.world.engines[which].Kill()
	time.Sleep(lasts)
	return fmt.Sprintf("kill engine-%d", which), s.world.startEngine(which)
}

// failing engines answer each second stream with a failure of their own, and break each
// third off partway: what is taken up elsewhere meets failures too.
var failing = standin.ChainFaults{FailEvery: 2, AbortEvery: 3}

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
		failed = errors.CombineErrors(failed, post("http://"+engine.Address()+"/faults", f))
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

func (s *soak) cut(link *proxy, mode Mode, lasts time.Duration) {
	link.set(mode)
	time.Sleep(lasts)
	link.set(Pass)
}

func (s *soak) storeFault(random *rand.Rand, lasts time.Duration) (string, error) {
	faults := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {ResponseDelayMS: 200}, {LoseWriteResponses: true}, {DropHistory: true}}
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
