package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// spreadNodes send requests over engines that hold a quarter of the layers each. Each quarter
	// is held by enginesPerQuarter engines.
	spreadNodes       = 130
	enginesPerQuarter = 12
	spreadLayers      = 80
	// spreadRate is the number of requests per second of each node. With it an engine receives
	// more than 100 requests per second, so that chance alone does not double its share.
	spreadRate                    = 10
	spreadStreamTime clock.Millis = 1000
	spreadTime       clock.Millis = 6000
)

// quarterEngines returns four times enginesPerQuarter equal engines.
func quarterEngines() []fleet.Change {
	var changes []fleet.Change
	for i := range 4 * enginesPerQuarter {
		id := fleet.IncarnationByID(fleet.ID(fmt.Sprintf("e%03d", i)))
		from := i % 4 * spreadLayers / 4
		changes = append(changes, fleet.Change{ID: id, Upstream: fleet.Upstream{
			ID: id, Service: "s", Address: fmt.Sprint("e", i, ":1"), DataCentre: "a", Accelerator: "fast", Slots: 192,
			Held: fleet.LayerRange{From: from, To: from + spreadLayers/4},
		}})
	}
	return changes
}

// spreadModel returns a node's model in a data centre of the given number of nodes.
func spreadModel(node, nodes int, aggregated bool) *Model {
	m := New(WithDataCentre("a"), WithSeed(uint64(node)+1), WithPolicy(Policy{SpreadCost: DefaultSpreadCost}))
	m.Update(0, CatalogMsg{Catalog: catalog.New(1,
		catalog.WithRoutes(&catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Anonymous: true,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, Timeout: 20_000, LatencyTarget: 500}),
		catalog.WithServices(&catalog.Service{Name: "s", Pipeline: &catalog.Pipeline{
			Layers: spreadLayers, LayerMB: 1000, TokenBytes: 80_000, StepMS: 1, ReadRate: 100, StepsPerPass: 1, PromptTokensPerPass: 100,
			Accelerators: map[string]catalog.Accelerator{"fast": {Name: "fast", MemoryMB: 40_000, StepFactor: 1, ReadFactor: 1}},
		}}))})
	m.Update(0, FleetMsg{Changes: quarterEngines()})
	m.Update(0, PeersMsg{TotalNodes: nodes, UsagePeers: nodes - 1, Aggregated: aggregated})
	return m
}

// sendTo lets a model decide on a request and returns the command that sends it.
func sendTo(t *testing.T, m *Model, now clock.Millis, id RequestID) SendCmd {
	t.Helper()
	cmds := m.Update(now, ArriveMsg{Request: id, CallerID: fmt.Sprint(id), Host: "h", Path: "/a", Remaining: 20_000, PromptTokens: 100, AnswerTokens: 50})
	send, ok := cmds[len(cmds)-1].(SendCmd)
	if !ok {
		t.Fatalf("got %T, want SendCmd", cmds[len(cmds)-1])
	}
	return send
}

// firstChoices returns how often each engine is part of the first chain of nodes that have the
// same view.
func firstChoices(t *testing.T, nodes int, aggregated bool) map[fleet.Incarnation]int {
	counts := make(map[fleet.Incarnation]int)
	for node := range nodes {
		for _, stage := range sendTo(t, spreadModel(node, nodes, aggregated), 2000, 1).Chain {
			counts[stage.ID]++
		}
	}
	return counts
}

func most(counts map[fleet.Incarnation]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// Guards against nodes that all choose the same cheapest chain. In a data centre of two hundred
// nodes and 570 engines, with a request each four seconds per node, one engine of that chain
// dropped its layers and refused 27 requests of 27 nodes within half a second.
func TestNodesWithEqualViewChooseDifferentEngines(t *testing.T) {
	const nodes = 200
	mean := nodes / enginesPerQuarter
	counts := firstChoices(t, nodes, true)
	if got, want := most(counts), 3*mean; got > want {
		t.Errorf("got %d of %d requests on one engine, want at most %d", got, nodes, want)
	}
	if got, want := len(counts), 4*enginesPerQuarter; got != want {
		t.Errorf("got %d engines in use, want all %d", got, want)
	}
	// In a small data centre each node has many requests, and the nodes choose different engines
	// because they know each other's usage.
	if got, want := most(firstChoices(t, nodes, false)), nodes; got != want {
		t.Errorf("got %d of %d requests on one engine in a small data centre, want all", got, want)
	}
}

// spreadEnd is the end of a stream in the closed loop.
type spreadEnd struct {
	model   *Model
	request RequestID
}

// Guards against herds: nodes that follow sums of usage which are 0.3 s old must not send to the
// same engines in turn. Without the random cost, the busiest entry engine of a second received
// several times its share and rejected most of it.
func TestNodesWithOldKnowledgeSpreadTheirRequests(t *testing.T) {
	var nodes []*Model
	for node := range spreadNodes {
		nodes = append(nodes, spreadModel(node, spreadNodes, true))
	}
	random := rand.New(rand.NewPCG(3, 3))
	ends := make(map[clock.Millis][]spreadEnd)
	perSecond := make(map[clock.Millis]map[fleet.Incarnation]int)
	known := make(map[fleet.Incarnation]fleet.EngineUsage)
	var request RequestID
	for now := clock.Millis(0); now < spreadTime; now += 10 {
		for _, end := range ends[now] {
			end.model.Update(now, AttemptDoneMsg{Request: end.request, Attempt: 1, Took: spreadStreamTime})
		}
		if now%shareInterval == 0 {
			known = exchangeUsage(nodes, now, known)
		}
		for _, m := range nodes {
			if random.Float64() >= spreadRate*0.01 {
				continue
			}
			request++
			send := sendTo(t, m, now, request)
			ends[now.Add(spreadStreamTime)] = append(ends[now.Add(spreadStreamTime)], spreadEnd{model: m, request: request})
			second := now / 1000
			if perSecond[second] == nil {
				perSecond[second] = make(map[fleet.Incarnation]int)
			}
			for _, stage := range send.Chain {
				perSecond[second][stage.ID]++
			}
		}
	}
	for second, counts := range perSecond {
		sum := 0
		for n := range maps.Values(counts) {
			sum += n
		}
		share := float64(sum) / (4 * enginesPerQuarter)
		if got, want := float64(most(counts)), 1.5*share; got > want {
			t.Errorf("got %.0f requests on one engine in second %d, want at most %.0f", got, second, want)
		}
	}
}

// exchangeUsage delivers the sum of the last interval to all nodes and returns the sum of this
// one, which is delivered an interval later.
func exchangeUsage(nodes []*Model, now clock.Millis, known map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	sum := make(map[fleet.Incarnation]fleet.EngineUsage)
	for _, m := range nodes {
		for _, cmd := range m.Update(now, TickMsg{}) {
			share, ok := cmd.(ShareUsageCmd)
			if !ok {
				continue
			}
			for id, use := range share.Used {
				sum[id] = sum[id].Plus(use)
			}
		}
		m.Update(now, UsageMsg{Node: "hub", DataCentre: "a", AllNodes: true, Used: known, Nodes: len(nodes)})
	}
	return sum
}
