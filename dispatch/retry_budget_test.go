package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	retryNodes    = 12
	retryWindowMS = 10_000
	retryShare    = 0.2
	retrySlack    = 120
	// requestInterval is the pause between two requests at one node, in ms.
	requestInterval = 20
	// retrySimDuration is the duration of a simulation, in ms.
	retrySimDuration = 45_000
)

// retryingNode is a node whose only upstream fails every request from some time on, so that the
// node spends its whole retry budget.
type retryingNode struct {
	model       *Model
	startedAt   clock.Millis
	lastRequest RequestID
}

func newRetryingNode(at clock.Millis, opts ...Option) *retryingNode {
	m := New(append(opts, WithPolicy(Policy{RetryWindow: retryWindowMS, RetryShare: retryShare, RetrySlack: retrySlack}))...)
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 9, Timeout: 20_000, LatencyTarget: 500}),
		catalog.WithServices(&catalog.Service{Name: "s"}))})
	id := fleet.IncarnationByID("u")
	m.Update(0, FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: "u:1"}}}})
	m.Update(0, PeersMsg{TotalNodes: retryNodes})
	return &retryingNode{model: m, startedAt: at}
}

// serve handles a request whose attempts all fail or, without fails, a request that is not
// retried. It returns the number of retries.
func (s *retryingNode) serve(now clock.Millis, fails bool) int {
	s.lastRequest++
	sinceStart := now.Sub(s.startedAt)
	s.model.Update(sinceStart, TickMsg{})
	cmds := s.model.Update(sinceStart, ArriveMsg{Request: s.lastRequest, CallerID: "c", Host: "h", Path: "/a", Remaining: 20_000})
	sends := 0
	for fails && len(cmds) > 0 {
		send, ok := cmds[len(cmds)-1].(SendCmd)
		if !ok {
			break
		}
		sends++
		cmds = s.model.Update(sinceStart, AttemptFailedMsg{Request: s.lastRequest, Attempt: send.Attempt, Cause: CauseUpstreamFailed})
	}
	s.model.Update(sinceStart, RequestEndedMsg{Request: s.lastRequest})
	return max(sends-1, 0)
}

// Guards against restarted nodes that spend the retry budget again. While engines failed half of
// their requests, nine nodes of ten were killed, and all nodes together made 1,048 retries where
// 926 were allowed. The new processes did not know the retries of the old ones, some of which
// were earned by requests of the window before. The test makes the upstreams fail all requests
// and restarts all nodes three times in a window at random times.
func TestRestartedNodesStayWithinRetryBudget(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var firstAttempts, retries [retrySimDuration]int
		starts := drawRestarts(random)
		failsFrom := starts[0].Sub(clock.Millis(random.IntN(retryWindowMS)))
		nodes := make([]*retryingNode, retryNodes)
		for i := range nodes {
			nodes[i] = newRetryingNode(-retryWindowMS)
		}
		for now := clock.Millis(0); now < retrySimDuration; now += requestInterval {
			for i := range nodes {
				if len(starts) > 0 && now >= starts[0] {
					nodes[i] = newRetryingNode(now)
				}
				firstAttempts[now]++
				retries[now] += nodes[i].serve(now, now >= failsFrom)
			}
			if len(starts) > 0 && now >= starts[0] {
				starts = starts[1:]
			}
		}
		checkRetryWindows(t, seed, firstAttempts[:], retries[:])
	}
}

// drawRestarts draws the times at which all nodes restart: three times in one window.
func drawRestarts(random *rand.Rand) []clock.Millis {
	begin := clock.Millis(15_000 + random.IntN(5000))
	second := begin.Add(clock.Millis(random.IntN(5000)))
	third := second.Add(clock.Millis(random.IntN(4000)))
	return []clock.Millis{begin, second, third}
}

// checkRetryWindows fails the test if the retries of a window exceed the number that its first
// attempts allow.
func checkRetryWindows(t *testing.T, seed uint64, firstAttempts, retries []int) {
	t.Helper()
	attemptSum, retrySum := 0, 0
	for at := range firstAttempts {
		attemptSum, retrySum = attemptSum+firstAttempts[at], retrySum+retries[at]
		if at >= retryWindowMS {
			attemptSum, retrySum = attemptSum-firstAttempts[at-retryWindowMS], retrySum-retries[at-retryWindowMS]
		}
		if allowed := retryShare*float64(attemptSum) + retrySlack; at >= retryWindowMS && float64(retrySum) > allowed {
			t.Fatalf("seed %d: got %d retries in the window that ends at %d ms, want at most %.0f", seed, retrySum, at, allowed)
		}
	}
}
