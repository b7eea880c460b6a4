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
	// deadlyLasts is for how long a deadly request comes again and again, deadlyPause
	// bounds the pause between two of its tries, and betweenDeadly that between two such
	// requests.
	deadlyLasts   = 8 * time.Second
	deadlyPause   = 300 * time.Millisecond
	betweenDeadly = 2 * time.Second
	// lookForCrashed is how often upstreams are looked for that have ended, and downFor
	// how long they stay down.
	lookForCrashed = 300 * time.Millisecond
	downFor        = time.Second
)

// deadlySeries sends requests that end each upstream which begins to run them, the same one
// again and again at any node, as its caller's repeats come.
func (s *soak) deadlySeries(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(random.Int64N(int64(betweenDeadly))))
		path := fmt.Sprintf("/write/%s-%d", standin.CrashPath, n)
		until := time.Now().Add(deadlyLasts)
		for i := 0; ctx.Err() == nil && time.Now().Before(until); i++ {
			node, id := random.IntN(len(s.world.nodes)), fmt.Sprintf("deadly-%d-%d", n, i)
			go s.tryDeadly(ctx, node, try{id: id, key: keptKey, method: http.MethodPost, path: path})
			sleep(ctx, time.Duration(random.Int64N(int64(deadlyPause))))
		}
		s.note(fmt.Sprintf("%s, upstreams ended so far %d", path, s.world.ends.count()), deadlyLasts, nil)
	}
}

func (s *soak) tryDeadly(ctx context.Context, node int, t try) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	// What becomes of it is nothing that its caller is promised.
	_ = s.callers.askPath(ctx, transport, node, t)
}

// restartCrashed starts engines again that a request has ended.
func (s *soak) restartCrashed(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, lookForCrashed)
		if s.anyCrashed() {
			sleep(ctx, downFor)
			s.startCrashed()
		}
	}
}

func (s *soak) anyCrashed() bool {
	for i := range s.world.engines {
		if !s.world.engineBusy[i].TryLock() {
			continue
		}
		crashed := s.world.engines[i].Crashed()
		s.world.engineBusy[i].Unlock()
		if crashed {
			return true
		}
	}
	return false
}

func (s *soak) startCrashed() {
	for i := range s.world.engines {
		s.world.engineBusy[i].Lock()
		if s.world.engines[i].Crashed() {
			s.note(fmt.Sprintf("engine-%d again", i), 0, s.world.startEngine(i))
		}
		s.world.engineBusy[i].Unlock()
	}
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
