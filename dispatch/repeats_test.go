package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	repeatNodes  = 12
	repeatWindow = 10_000
	repeatShare  = 0.2
	repeatSlack  = 120
	// repeatEvery is the pause between two requests at one node, in ms.
	repeatEvery = 20
	// repeatUntil is how long a play lasts, in ms.
	repeatUntil = 45_000
)

// spender is a node whose upstream fails, from some time on, all that it gets, so that it
// spends all that it may.
type spender struct {
	model   *Model
	started clock.Millis
	next    RequestID
}

func newSpender(at clock.Millis) *spender {
	m := New(WithPolicy(Policy{RetryWindow: repeatWindow, RetryShare: repeatShare, RetrySlack: repeatSlack}))
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 9, Timeout: 20_000, LatencyTarget: 500}),
		catalog.WithServices(&catalog.Service{Name: "s"}))})
	id := fleet.IncarnationByID("u")
	m.Update(0, FleetMsg{Changes: []fleet.Change{{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: "u:1"}}}})
	m.Update(0, PeersMsg{All: repeatNodes})
	return &spender{model: m, started: at}
}

// request has a request arrive, whose attempts all fail or go well, and returns how often it
// is repeated.
func (s *spender) request(now clock.Millis, fails bool) int {
	s.next++
	own := now.Sub(s.started)
	s.model.Update(own, TickMsg{})
	cmds := s.model.Update(own, ArriveMsg{Request: s.next, CallerID: "c", Host: "h", Path: "/a", Remaining: 20_000})
	sends := 0
	for fails && len(cmds) > 0 {
		send, ok := cmds[len(cmds)-1].(SendCmd)
		if !ok {
			break
		}
		sends++
		cmds = s.model.Update(own, AttemptFailedMsg{Request: s.next, Attempt: send.Attempt, Cause: Failed})
	}
	s.model.Update(own, GoneMsg{Request: s.next})
	return max(sends-1, 0)
}

// Engines failed half of what they got, and nine nodes of ten were killed: the whole system
// made 1,048 repeats where 926 were allowed, since nodes that started knew nothing of what
// those before them had spent, by the requests of the window before too. Here upstreams begin
// to fail all, and all nodes are started anew three times in a window, at any moments.
func TestStartedNodesStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var first, repeats [repeatUntil]int
		starts := drawStarts(random)
		failsFrom := starts[0].Sub(clock.Millis(random.IntN(repeatWindow)))
		nodes := make([]*spender, repeatNodes)
		for i := range nodes {
			nodes[i] = newSpender(-repeatWindow)
		}
		for now := clock.Millis(0); now < repeatUntil; now += repeatEvery {
			for i := range nodes {
				if len(starts) > 0 && now >= starts[0] {
					nodes[i] = newSpender(now)
				}
				first[now]++
				repeats[now] += nodes[i].request(now, now >= failsFrom)
			}
			if len(starts) > 0 && now >= starts[0] {
				starts = starts[1:]
			}
		}
		checkWindows(t, seed, first[:], repeats[:])
	}
}

// drawStarts draws when all nodes are started anew: three times in one window.
func drawStarts(random *rand.Rand) []clock.Millis {
	begin := clock.Millis(15_000 + random.IntN(5000))
	second := begin.Add(clock.Millis(random.IntN(5000)))
	third := second.Add(clock.Millis(random.IntN(4000)))
	return []clock.Millis{begin, second, third}
}

// checkWindows fails where repeats in some window exceed what its first tries allow.
func checkWindows(t *testing.T, seed uint64, first, repeats []int) {
	t.Helper()
	firsts, sum := 0, 0
	for at := range first {
		firsts, sum = firsts+first[at], sum+repeats[at]
		if at >= repeatWindow {
			firsts, sum = firsts-first[at-repeatWindow], sum-repeats[at-repeatWindow]
		}
		if allowed := repeatShare*float64(firsts) + repeatSlack; at >= repeatWindow && float64(sum) > allowed {
			t.Fatalf("seed %d: got %d repeats in the window to %d ms, want %.0f at most", seed, sum, at, allowed)
		}
	}
}
