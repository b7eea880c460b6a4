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
	// deadlyDuration is for how long a deadly request comes again and again, maxDeadlyRetryPause
	// bounds the pause between two of its tries, and maxDeadlyPause that between two such
	// requests.
	deadlyDuration      = 8 * time.Second
	maxDeadlyRetryPause = 300 * time.Millisecond
	maxDeadlyPause      = 2 * time.Second
	// crashCheckInterval is how often upstreams are looked for that have ended, and crashDowntime
	// how long they stay down.
	crashCheckInterval = 300 * time.Millisecond
	crashDowntime      = time.Second
)

// deadlySeries sends requests that end each upstream which begins to run them, the same one
// again and again at any node, as its caller's repeats come.
func (s *runner) deadlySeries(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(random.Int64N(int64(maxDeadlyPause))))
		path := fmt.Sprintf("/write/%s-%d", standin.CrashPath, n)
		until := time.Now().Add(deadlyDuration)
		for i := 0; ctx.Err() == nil && time.Now().Before(until); i++ {
			node, id := random.IntN(len(s.cluster.nodes)), fmt.Sprintf("deadly-%d-%d", n, i)
			go s.sendDeadly(ctx, node, attempt{id: id, key: permanentKey, method: http.MethodPost, path: path})
			sleep(ctx, time.Duration(random.Int64N(int64(maxDeadlyRetryPause))))
		}
		s.logFault(fmt.Sprintf("%s, upstreams ended so far %d", path, s.cluster.crashes.count()), deadlyDuration, nil)
	}
}

func (s *runner) sendDeadly(ctx context.Context, node int, t attempt) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	// What becomes of it is nothing that its caller is promised.
	_ = s.callers.send(ctx, transport, node, t)
}

// restartCrashedLoop starts engines again that a request has ended.
func (s *runner) restartCrashedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, crashCheckInterval)
		if s.anyCrashed() {
			sleep(ctx, crashDowntime)
			s.restartCrashed()
		}
	}
}

func (s *runner) anyCrashed() bool {
	for i := range s.cluster.engines {
		if !s.cluster.engineMu[i].TryLock() {
			continue
		}
		crashed := s.cluster.engines[i].Crashed()
		s.cluster.engineMu[i].Unlock()
		if crashed {
			return true
		}
	}
	return false
}

func (s *runner) restartCrashed() {
	for i := range s.cluster.engines {
		s.cluster.engineMu[i].Lock()
		if s.cluster.engines[i].Crashed() {
			s.logFault(fmt.Sprintf("engine-%d again", i), 0, s.cluster.startEngine(i))
		}
		s.cluster.engineMu[i].Unlock()
	}
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
