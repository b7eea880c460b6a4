package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// deadlyDuration is how long a deadly request is repeated, maxDeadlyRetryPause bounds the
	// pause between its attempts, and maxDeadlyPause the pause before the next deadly request.
	deadlyDuration      = 8 * time.Second
	maxDeadlyRetryPause = 300 * time.Millisecond
	maxDeadlyPause      = 2 * time.Second
	// crashCheckInterval is the interval at which crashed engines are looked for, and
	// crashDowntime how long they stay down.
	crashCheckInterval = 300 * time.Millisecond
	crashDowntime      = time.Second
)

// deadlySeries sends requests that crash every upstream that starts to execute them. It repeats
// each request at random nodes, as a retrying client does. Every second series sends different requests
// that have one part of their prompts in common.
func (r *runner) deadlySeries(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(random.Int64N(int64(maxDeadlyPause))))
		t := attempt{key: permanentKey, method: http.MethodPost, path: fmt.Sprintf("/write/%s-%d", standin.CrashPath, n)}
		byPart := n%2 == 1
		if byPart {
			t.crashingPart = fmt.Sprintf("%s%d", standin.CrashPart, n)
		}
		until := time.Now().Add(deadlyDuration)
		for i := 0; ctx.Err() == nil && time.Now().Before(until); i++ {
			t.id = fmt.Sprintf("deadly-%d-%d", n, i)
			if byPart {
				t.path = fmt.Sprintf("/write/part-%d-%d", n, i)
			}
			node := random.IntN(len(r.cluster.nodes))
			go r.sendDeadly(ctx, node, t)
			sleep(ctx, time.Duration(random.Int64N(int64(maxDeadlyRetryPause))))
		}
		r.logFault(fmt.Sprintf("%s%s, upstreams crashed so far: %d", t.path, t.crashingPart, r.cluster.crashes.count()), deadlyDuration, nil)
	}
}

func (r *runner) sendDeadly(ctx context.Context, node int, t attempt) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	// A deadly request has no guaranteed outcome, so the response is not checked.
	_ = r.callers.send(ctx, transport, node, t)
}

// restartCrashedLoop restarts the engines that a request has crashed, until the context ends.
func (r *runner) restartCrashedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, crashCheckInterval)
		if r.anyCrashed() {
			sleep(ctx, crashDowntime)
			r.restartCrashed()
		}
	}
}

func (r *runner) anyCrashed() bool {
	for i := range r.cluster.engines {
		if !r.cluster.engineMu[i].TryLock() {
			continue
		}
		crashed := r.cluster.engines[i].Crashed()
		r.cluster.engineMu[i].Unlock()
		if crashed {
			return true
		}
	}
	return false
}

func (r *runner) restartCrashed() {
	for i := range r.cluster.engines {
		r.cluster.engineMu[i].Lock()
		if r.cluster.engines[i].Crashed() {
			r.logFault(fmt.Sprintf("restart engine-%d after a crash", i), 0, r.cluster.startEngine(i))
		}
		r.cluster.engineMu[i].Unlock()
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
