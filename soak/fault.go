package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
)

// injectFault does one harm and undoes it.
func (s *runner) injectFault(random *rand.Rand) {
	lasts := time.Duration(random.Int64N(int64(maxFaultDuration)))
	kind, which, mode := random.IntN(10), random.IntN(1<<20), Mode(1+random.IntN(4))
	what, err := "", error(nil)
	switch kind {
	case 0, 1, 2:
		what, err = s.injectNodeFault(kind, which%len(s.cluster.nodes), lasts)
	case 3:
		what, err = s.restartEngine(which%len(s.cluster.engines), lasts)
	case 4:
		engine := which % len(s.cluster.engines)
		what = fmt.Sprintf("%s before engine-%d", mode, engine)
		from := time.Now()
		s.disturbLink(s.cluster.engineProxies[engine], mode, lasts)
		s.disturbed.record(s.cluster.engineName(engine), from)
	case 5:
		link := which % len(s.cluster.storeProxies)
		what = fmt.Sprintf("%s between store and node-%d", mode, link)
		s.disturbLink(s.cluster.storeProxies[link], mode, lasts)
	case 6:
		what, err = s.injectStoreFault(random, lasts)
	case 7:
		what, err = s.revokeKey(lasts)
	case 8:
		what, err = s.failStreams(lasts)
	default:
		what = s.muteConnections(which)
	}
	s.logFault(what, lasts, err)
}

// injectNodeFault kills, stops or pauses a node.
func (s *runner) injectNodeFault(kind, which int, lasts time.Duration) (string, error) {
	s.cluster.nodeMu[which].Lock()
	defer s.cluster.nodeMu[which].Unlock()
	node := s.cluster.nodes[which]
	defer s.disturbed.record(node.Name(), time.Now())
	switch kind {
	case 0:
		node.Kill()
		time.Sleep(lasts / 4)
		return "kill " + node.Name(), s.cluster.restart(node)
	case 1:
		node.Stop()
		return "stop " + node.Name(), s.cluster.restart(node)
	default:
		node.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		node.Signal(syscall.SIGCONT)
		return "pause " + node.Name(), nil
	}
}

// restartEngine kills an engine and starts another in its place.
func (s *runner) restartEngine(which int, lasts time.Duration) (string, error) {
	s.cluster.engineMu[which].Lock()
	defer s.cluster.engineMu[which].Unlock()
	s.cluster.engines[which].Kill()
	time.Sleep(lasts)
	return fmt.Sprintf("kill engine-%d", which), s.cluster.startEngine(which)
}

// streamFaults engines answer each second stream with a failure of their own, and break each
// third off partway: what is taken up elsewhere meets failures too.
var streamFaults = standin.ChainFaults{FailEvery: 2, AbortEvery: 3}

// failStreams has all engines fail a part of their streams.
func (s *runner) failStreams(lasts time.Duration) (string, error) {
	err := s.setEngineFaults(streamFaults)
	time.Sleep(lasts)
	return "engines fail", errors.CombineErrors(err, s.setEngineFaults(standin.ChainFaults{}))
}

// setEngineFaults sets what goes wrong with all engines. One that is just being started
// again gets none.
func (s *runner) setEngineFaults(f standin.ChainFaults) error {
	var failed error
	for i, engine := range s.cluster.engines {
		if !s.cluster.engineMu[i].TryLock() {
			continue
		}
		failed = errors.CombineErrors(failed, postJSON("http://"+engine.Address()+"/faults", f))
		s.cluster.engineMu[i].Unlock()
	}
	return failed
}

// muteConnections has the open connections of an engine, or of a node to the store, go silent for
// good, while new ones work.
func (s *runner) muteConnections(which int) string {
	if which%2 == 0 {
		engine := which / 2 % len(s.cluster.engineProxies)
		s.cluster.engineProxies[engine].mute()
		return fmt.Sprintf("mute engine-%d", engine)
	}
	node := which / 2 % len(s.cluster.storeProxies)
	s.cluster.storeProxies[node].mute()
	return fmt.Sprintf("mute store and node-%d", node)
}

func (s *runner) disturbLink(link *proxy, mode Mode, lasts time.Duration) {
	link.set(mode)
	time.Sleep(lasts)
	link.set(Pass)
}

func (s *runner) injectStoreFault(random *rand.Rand, lasts time.Duration) (string, error) {
	faults := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {ResponseDelayMS: 200}, {LoseWriteResponses: true}, {DropHistory: true}}
	names := []string{"store down", "store silent", "store slow", "store loses answers", "store forgets"}
	i := random.IntN(len(faults))
	if err := s.cluster.setStoreFaults(faults[i]); err != nil {
		return names[i], err
	}
	time.Sleep(lasts)
	return names[i], s.cluster.setStoreFaults(standin.RowStoreFaults{})
}

// revokeKey takes the second key away, long enough to matter, and gives it back.
func (s *runner) revokeKey(lasts time.Duration) (string, error) {
	s.keyMu.Lock()
	defer s.keyMu.Unlock()
	from, err := s.cluster.writeKeys(permanentKey)
	if err != nil {
		return "revoke", err
	}
	time.Sleep(revocationBound + lasts)
	to := time.Now()
	s.mu.Lock()
	s.revocations = append(s.revocations, revocation{from: from, to: to})
	s.mu.Unlock()
	_, err = s.cluster.writeKeys(permanentKey, "key-2")
	return "revoke", err
}
