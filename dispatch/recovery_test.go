package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// burstStart is the time at which an engine is lost; the number of nodes is known by then.
	burstStart clock.Millis = 2000
	// promptReadTime is the time in ms for which an engine of the burst tests reads a prompt.
	promptReadTime = 16
)

// burstNode is a node of the burst tests with its pending RecoverMsg.
type burstNode struct {
	model     *dispatch.Model
	recoverAt clock.Millis
}

// burst is a set of nodes that lose their streams through one engine at the same time.
type burst struct {
	t     *testing.T
	now   clock.Millis
	nodes []*burstNode
	// moves holds the streams that have moved, in order.
	moves []burstMove
}

type burstMove struct {
	at     clock.Millis
	node   int
	stream dispatch.RequestID
	engine string
	report *dispatch.Recovery
}

// newBurst starts nodes with streams over the engines first and lost. The given number of other
// engines holds the layers of the lost one; the last of them reads at half the rate.
func newBurst(t *testing.T, nodes, streams, engines int, gapTarget clock.Millis) *burst {
	t.Helper()
	b := &burst{t: t}
	for i := range nodes {
		b.nodes = append(b.nodes, &burstNode{})
		m := dispatch.New(dispatch.WithDataCentre("a"), dispatch.WithSeed(uint64(i+1)), dispatch.WithPolicy(dispatch.Policy{RetryWindow: 10_000, RetryShare: 1, RetrySlack: 1e6}))
		b.nodes[i].model = m
		m.Update(0, dispatch.PeersMsg{TotalNodes: nodes, UsagePeers: nodes - 1})
		m.Update(0, dispatch.CatalogMsg{Catalog: burstCatalog(gapTarget)})
		m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{burstEngine("first", "even", 0, 4), burstEngine("lost", "even", 4, 8)}})
		for s := range streams {
			b.apply(i, m.Update(burstStart-1000, dispatch.ArriveMsg{
				Request: dispatch.RequestID(s + 1), CallerID: "c", Host: "h", Path: fmt.Sprintf("/write%d/a", s%2), Remaining: 20_000, PromptTokens: 800, AnswerTokens: 100,
			}))
		}
		for e := range engines {
			kind := "even"
			if e > 0 && e == engines-1 {
				kind = "slow"
			}
			m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{burstEngine(fmt.Sprintf("e%d", e), kind, 4, 8)}})
		}
	}
	b.moves = nil
	return b
}

// burstCatalog returns a pipeline whose engines read a prompt of 800 tokens in promptReadTime ms,
// and the routes write0 with priority 1 and write1 with priority 0.
func burstCatalog(gapTarget clock.Millis) *catalog.Catalog {
	route := func(name string, priority int) *catalog.Route {
		return &catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: catalog.Streaming, Resumable: true, Anonymous: true, Priority: priority,
			Targets: []catalog.Target{{Service: "writer", Weight: 1}}, MaxAttempts: 3, Timeout: 20_000, LatencyTarget: 500, EventGapTarget: gapTarget,
		}
	}
	return catalog.New(1, catalog.WithRoutes(route("write0", 1), route("write1", 0)), catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
		Layers: 8, LayerMB: 1000, TokenBytes: 1000, StepMS: 20, ReadRate: 25, MeanPromptTokens: 800, MeanAnswerTokens: 100,
		Accelerators: map[string]catalog.Accelerator{
			"even": {Name: "even", MemoryMB: 50_000, StepFactor: 1, ReadFactor: 1},
			"slow": {Name: "slow", MemoryMB: 50_000, StepFactor: 1, ReadFactor: 2},
		},
	}}))
}

func burstEngine(id, kind string, from, to int) fleet.Change {
	u := fleet.Upstream{
		ID: fleet.IncarnationByID(fleet.ID(id)), Address: id + ":80", Service: "writer", DataCentre: "a", Accelerator: kind,
		Held: fleet.LayerRange{From: from, To: to}, Slots: 64,
	}
	return fleet.Change{ID: u.ID, Upstream: u}
}

// apply executes the commands of a node.
func (b *burst) apply(node int, cmds []dispatch.Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case dispatch.RecoverCmd:
			b.nodes[node].recoverAt = b.now.Add(c.After)
		case dispatch.MigrateCmd:
			b.moves = append(b.moves, burstMove{at: b.now, node: node, stream: c.Request, engine: string(c.Chain[1].ID.ID()), report: c.Recovery})
		case dispatch.SendCmd:
			b.moves = append(b.moves, burstMove{at: b.now, node: node, stream: c.Request, engine: string(c.Chain[len(c.Chain)-1].ID.ID()), report: c.Recovery})
		}
	}
}

// stall reports all streams of all nodes as stalled by the lost engine since the given pauses.
func (b *burst) stall(pauses ...clock.Millis) {
	b.now = burstStart
	for i, n := range b.nodes {
		for s, pause := range pauses {
			b.apply(i, n.model.Update(b.now, dispatch.StalledMsg{
				Request: dispatch.RequestID(s + 1), Attempt: 1, FaultyAddress: "lost:80", Events: 10, LastEventAt: b.now.Sub(pause), Provisional: true,
			}))
		}
	}
}

// run lets the nodes run until a time.
func (b *burst) run(until clock.Millis) {
	for ; b.now <= until; b.now++ {
		for i, n := range b.nodes {
			if n.recoverAt == b.now {
				b.apply(i, n.model.Update(b.now, dispatch.RecoverMsg{}))
			}
		}
	}
}

// byEngine returns how many streams have moved to each engine up to a time.
func (b *burst) byEngine(until clock.Millis) map[string]int {
	count := make(map[string]int)
	for _, m := range b.moves {
		if m.at <= until {
			count[m.engine]++
		}
	}
	return count
}

// All 27 nodes lost two streams each at one engine, and all moved them to the cheapest of the four
// engines that took over: the last of 54 prompts was read after 864 ms.
func TestBurstSpreadsOverEngines(t *testing.T) {
	b := newBurst(t, 27, 2, 4, 250)
	b.stall(150, 160)
	b.run(burstStart + 1200)
	count := b.byEngine(burstStart + 1200)
	if len(b.moves) != 54 {
		t.Fatalf("got %d streams moved, want 54: %v", len(b.moves), count)
	}
	for engine, n := range count {
		if n > 24 {
			t.Errorf("got %d of 54 streams on %s, want at most 24: %v", n, engine, count)
		}
	}
	if count["e3"] >= min(count["e0"], count["e1"], count["e2"]) {
		t.Errorf("got %v, want fewest streams on e3, which reads at half the rate", count)
	}
}

// Without a bound on the rate, an engine that takes over alone has all streams at once, and those
// of low priority are read before the urgent ones of other nodes.
func TestBurstIsBoundedPerEngine(t *testing.T) {
	b := newBurst(t, 27, 4, 1, 250)
	b.stall(150, 150, 160, 240)
	b.run(burstStart + 10)
	if got := len(b.moves); got != 27 {
		t.Errorf("got %d streams moved at once, want 27, one of each node", got)
	}
	for _, m := range b.moves {
		if m.stream != 4 {
			t.Errorf("node %d: got stream %d first, want 4, the urgent one with the least time left", m.node, m.stream)
		}
	}
	b.run(burstStart + 700)
	for from := burstStart; from < burstStart+700; from += 100 {
		within := b.byEngine(from + 500)["e0"] - b.byEngine(from - 1)["e0"]
		if most := 500/promptReadTime + 27; within > most {
			t.Errorf("got %d prompts in 500 ms from %d, want at most %d, which the engine reads and one of each node", within, from, most)
		}
	}
	b.run(burstStart + 1000)
	if got := len(b.moves); got != 108 {
		t.Errorf("got %d streams moved after half of the callers' patience, want all 108", got)
	}
}

// A route without a largest pause must be served as before: its streams move as they are reported.
func TestUnboundedPausesMoveAtOnce(t *testing.T) {
	b := newBurst(t, 3, 4, 1, 0)
	b.stall(150, 150, 160, 240)
	if got := len(b.moves); got != 12 {
		t.Errorf("got %d streams moved at once, want 12", got)
	}
	for _, m := range b.moves {
		if m.report != nil {
			t.Errorf("got report %+v, want none", m.report)
		}
	}
}

// A node that knows no node count counts itself and the nodes that report to it. With a count of 0
// it would divide the rate by zero or hold nothing back.
func TestBurstWithoutNodeCount(t *testing.T) {
	b := newBurst(t, 1, 2, 1, 250)
	b.nodes[0].model.Update(burstStart-1, dispatch.PeersMsg{UsagePeers: 26, LocalNodes: 27})
	b.stall(150, 150)
	b.run(burstStart + 1000)
	if len(b.moves) != 2 {
		t.Fatalf("got %d streams moved, want 2", len(b.moves))
	}
	if got := b.moves[1].report; got.Nodes != 27 || got.Held < 200 {
		t.Errorf("got %d nodes and the second stream held for %d ms, want 27 nodes and 200 ms or more", got.Nodes, got.Held)
	}
}

// The engine that takes over dies too, or refuses the stream: the stream must move on at once, and
// the refused prompt must not count for the engine.
func TestSecondEngineIsLost(t *testing.T) {
	for _, refused := range []bool{false, true} {
		b := newBurst(t, 1, 1, 2, 250)
		b.stall(150)
		b.run(burstStart + 20)
		if len(b.moves) != 1 {
			t.Fatalf("refused=%v: got %d moves, want 1", refused, len(b.moves))
		}
		second := b.moves[0].engine
		m := b.nodes[0].model
		result := dispatch.MigrationDone
		if refused {
			result = dispatch.MigrationRefused
		}
		b.apply(0, m.Update(b.now, dispatch.MigratedMsg{Request: 1, Attempt: 1, Result: result, FaultyAddress: second + ":80"}))
		if !refused {
			b.apply(0, m.Update(b.now, dispatch.StalledMsg{Request: 1, Attempt: 1, FaultyAddress: second + ":80", LastEventAt: b.now.Sub(200), Provisional: true}))
		}
		b.run(b.now + 20)
		if len(b.moves) != 2 || b.moves[1].engine == second {
			t.Errorf("refused=%v: got moves %+v, want a second one to another engine than %s", refused, b.moves, second)
		}
	}
}

// BenchmarkRecover measures the move of four streams of a node with 115 engines.
func BenchmarkRecover(b *testing.B) {
	m := benchModel(115)
	id := dispatch.RequestID(0)
	for b.Loop() {
		id += 4
		now := clock.Millis(id)
		for i := range dispatch.RequestID(4) {
			m.Update(now, dispatch.ArriveMsg{Request: id + i, CallerID: "c", Host: "h", Path: "/write/a", PromptTokens: 700, AnswerTokens: 200})
			m.Update(now, dispatch.StalledMsg{Request: id + i, Attempt: 1, FaultyAddress: "a3", LastEventAt: now, Events: 1, Slow: true})
		}
		m.Update(now, dispatch.RecoverMsg{})
		for i := range dispatch.RequestID(4) {
			m.Update(now, dispatch.RequestEndedMsg{Request: id + i})
		}
	}
}
