package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/standin"
)

// injectFault injects one random fault and reverts it.
func (r *runner) injectFault(random *rand.Rand) {
	duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
	kind, index, mode := random.IntN(10), random.IntN(1<<20), Mode(1+random.IntN(4))
	description, err := "", error(nil)
	switch kind {
	case 0, 1, 2:
		description, err = r.injectNodeFault(kind, index%len(r.cluster.nodes), duration)
	case 3:
		description, err = r.restartEngine(index%len(r.cluster.engines), duration)
	case 4:
		engine := index % len(r.cluster.engines)
		description = fmt.Sprintf("%s on the link to engine-%d", mode, engine)
		from := time.Now()
		r.disturbLink(r.cluster.engineProxies[engine], mode, duration)
		r.disturbed.record(r.cluster.engineName(engine), from)
	case 5:
		link := index % len(r.cluster.storeProxies)
		description = fmt.Sprintf("%s on the link from node-%d to the store", mode, link)
		r.disturbLink(r.cluster.storeProxies[link], mode, duration)
	case 6:
		description, err = r.injectStoreFault(random, duration)
	case 7:
		description, err = r.revokeKey(duration)
	case 8:
		description, err = r.failStreams(duration)
	default:
		description = r.muteConnections(index)
	}
	r.logFault(description, duration, err)
}

// injectNodeFault kills, stops or pauses a node, and starts or continues it again.
func (r *runner) injectNodeFault(kind, index int, duration time.Duration) (string, error) {
	r.cluster.nodeMu[index].Lock()
	defer r.cluster.nodeMu[index].Unlock()
	node := r.cluster.nodes[index]
	defer r.disturbed.record(node.Name(), time.Now())
	switch kind {
	case 0:
		node.Kill()
		time.Sleep(duration / 4)
		return "kill " + node.Name(), r.cluster.restart(node)
	case 1:
		node.Stop()
		return "stop " + node.Name(), r.cluster.restart(node)
	default:
		node.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		node.Signal(syscall.SIGCONT)
		return "pause " + node.Name(), nil
	}
}

// restartEngine kills an engine and starts it again after a duration.
func (r *runner) restartEngine(index int, duration time.Duration) (string, error) {
	r.cluster.engineMu[index].Lock()
	defer r.cluster.engineMu[index].Unlock()
	r.cluster.engines[index].Kill()
	time.Sleep(duration)
	return fmt.Sprintf("kill engine-%d", index), r.cluster.startEngine(index)
}

// streamFaults make an engine fail every second stream and cut every third off partway. Streams
// that resume at another engine fail there too.
var streamFaults = standin.ChainFaults{FailEvery: 2, AbortEvery: 3}

// failStreams sets streamFaults on all engines for a duration.
func (r *runner) failStreams(duration time.Duration) (string, error) {
	err := r.setEngineFaults(streamFaults)
	time.Sleep(duration)
	return "engines fail streams", errors.CombineErrors(err, r.setEngineFaults(standin.ChainFaults{}))
}

// setEngineFaults sets the stream faults of all engines. It skips an engine that is being
// restarted.
func (r *runner) setEngineFaults(f standin.ChainFaults) error {
	var failed error
	for i, engine := range r.cluster.engines {
		if !r.cluster.engineMu[i].TryLock() {
			continue
		}
		failed = errors.CombineErrors(failed, postJSON("http://"+engine.Address()+"/faults", f))
		r.cluster.engineMu[i].Unlock()
	}
	return failed
}

// muteConnections makes the open connections to an engine, or from a node to the store, silent
// for good. New connections work.
func (r *runner) muteConnections(index int) string {
	if index%2 == 0 {
		engine := index / 2 % len(r.cluster.engineProxies)
		r.cluster.engineProxies[engine].mute()
		return fmt.Sprintf("mute connections to engine-%d", engine)
	}
	node := index / 2 % len(r.cluster.storeProxies)
	r.cluster.storeProxies[node].mute()
	return fmt.Sprintf("mute connections from node-%d to the store", node)
}

func (r *runner) disturbLink(link *proxy, mode Mode, duration time.Duration) {
	link.set(mode)
	time.Sleep(duration)
	link.set(Pass)
}

func (r *runner) injectStoreFault(random *rand.Rand, duration time.Duration) (string, error) {
	faults := []standin.RowStoreFaults{{Down: true}, {Unresponsive: true}, {ResponseDelayMS: 200}, {LoseWriteResponses: true}, {DropHistory: true}}
	names := []string{"store down", "store silent", "store slow", "store loses responses", "store drops its change history"}
	i := random.IntN(len(faults))
	if err := r.cluster.setStoreFaults(faults[i]); err != nil {
		return names[i], err
	}
	time.Sleep(duration)
	return names[i], r.cluster.setStoreFaults(standin.RowStoreFaults{})
}

// revokeKey revokes the revocable key for longer than revocationBound, and restores it.
func (r *runner) revokeKey(duration time.Duration) (string, error) {
	r.keyMu.Lock()
	defer r.keyMu.Unlock()
	from, err := r.cluster.writeKeys(permanentKey)
	if err != nil {
		return "revoke", err
	}
	time.Sleep(revocationBound + duration)
	to := time.Now()
	r.mu.Lock()
	r.revocations = append(r.revocations, revocation{from: from, to: to})
	r.mu.Unlock()
	_, err = r.cluster.writeKeys(permanentKey, revocableKey)
	return "revoke", err
}
