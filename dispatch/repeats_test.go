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
	// retrySimDuration is how long a play lasts, in ms.
	retrySimDuration = 45_000
)

// retryingNode is a node whose upstream fails, from some time on, all that it gets, so that it
// spends all that it may.
type retryingNode struct {
	model       *Model
	startedAt   clock.Millis
	lastRequest RequestID
}

func newRetryingNode(at clock.Millis) *retryingNode {
	m := New(WithPolicy(Policy{RetryWindow: retryWindowMS, RetryShare: retryShare, RetrySlack: retrySlack}))
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 9, Timeout: 20_000, LatencyTarget: 500}),
		catalog.WithServices(&catalog.Service{Name: "s"}))})
	id := fleet.IncarnationByID("u")
	m.Update(0, FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: "u:1"}}}})
	m.Update(0, PeersMsg{TotalNodes: retryNodes})
	return &retryingNode{model: m, startedAt: at}
}

// serve has a request arrive, whose attempts all fail or go well, and returns how often it
// is repeated.
func (s *retryingNode) serve(now clock.Millis, fails bool) int {
	s.lastRequest++
	own := now.Sub(s.startedAt)
	s.model.Update(own, TickMsg{})
	cmds := s.model.Update(own, ArriveMsg{Request: s.lastRequest, CallerID: "c", Host: "h", Path: "/a", Remaining: 20_000})
	sends := 0
	for fails && len(cmds) > 0 {
		send, ok := cmds[len(cmds)-1].(SendCmd)
		if !ok {
			break
		}
		sends++
		cmds = s.model.Update(own, AttemptFailedMsg{Request: s.lastRequest, Attempt: send.Attempt, Cause: CauseUpstreamFailed})
	}
	s.model.Update(own, RequestEndedMsg{Request: s.lastRequest})
	return max(sends-1, 0)
}

// Engines failed half of what they got, and nine nodes of ten were killed: the whole system
// made 1,048 repeats where 926 were allowed, since nodes that started knew nothing of what
// those before them had spent, by the requests of the window before too. Here upstreams begin
// to fail all, and all nodes are started anew three times in a window, at any moments.
func TestStartedNodesStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var first, repeats [retrySimDuration]int
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
				first[now]++
				repeats[now] += nodes[i].serve(now, now >= failsFrom)
			}
			if len(starts) > 0 && now >= starts[0] {
				starts = starts[1:]
			}
		}
		checkRetryWindows(t, seed, first[:], repeats[:])
	}
}

// drawRestarts draws when all nodes are started anew: three times in one window.
func drawRestarts(random *rand.Rand) []clock.Millis {
	begin := clock.Millis(15_000 + random.IntN(5000))
	second := begin.Add(clock.Millis(random.IntN(5000)))
	third := second.Add(clock.Millis(random.IntN(4000)))
	return []clock.Millis{begin, second, third}
}

// checkRetryWindows fails where repeats in some window exceed what its first tries allow.
func checkRetryWindows(t *testing.T, seed uint64, first, repeats []int) {
	t.Helper()
	firsts, sum := 0, 0
	for at := range first {
		firsts, sum = firsts+first[at], sum+repeats[at]
		if at >= retryWindowMS {
			firsts, sum = firsts-first[at-retryWindowMS], sum-repeats[at-retryWindowMS]
		}
		if allowed := retryShare*float64(firsts) + retrySlack; at >= retryWindowMS && float64(sum) > allowed {
			t.Fatalf("seed %d: got %d repeats in the window to %d ms, want %.0f at most", seed, sum, at, allowed)
		}
	}
}
