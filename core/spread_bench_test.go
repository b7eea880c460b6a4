package core_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// gossipFleet are the models of a fleet that hear of versions from each other
// only: the store is out.
type gossipFleet struct {
	models map[string]*core.Model
	order  []string
	bytes  int
}

func newGossipFleet(n int) *gossipFleet {
	g := &gossipFleet{models: make(map[string]*core.Model)}
	var nodes []*wire.NodeRecord
	for i := range n {
		node := benchNode(i, 1)
		node.Version = 0
		nodes = append(nodes, node)
	}
	for i, node := range nodes {
		m := core.New(core.WithNode(proto.CloneOf(node)), core.WithSeed(uint64(i)+1))
		g.order = append(g.order, node.GetAddress())
		g.models[node.GetAddress()] = m
	}
	for _, address := range g.order {
		g.models[address].Update(0, core.NodesMsg{Nodes: nodes})
		g.models[address].Update(0, core.ChangesMsg{Snapshot: &wire.Config{Version: 1}})
	}
	return g
}

func (g *gossipFleet) update(now clock.Millis, address string, msg core.Msg) {
	for _, cmd := range g.models[address].Update(now, msg) {
		switch cmd := cmd.(type) {
		case *core.HeartbeatCmd:
			g.bytes += proto.Size(cmd.Beat)
			to := g.models[cmd.Address]
			g.update(now, cmd.Address, core.HeartbeatMsg{From: cmd.Beat.GetFrom(), Heard: cmd.Beat.GetHeard()})
			reply := to.HeartbeatReply()
			g.bytes += proto.Size(reply)
			defer g.update(now, address, core.HeartbeatMsg{From: reply.GetFrom(), Heard: reply.GetHeard()})
		case *core.FetchChangesCmd:
			g.fetch(now, address, cmd)
		}
	}
}

func (g *gossipFleet) fetch(now clock.Millis, address string, cmd *core.FetchChangesCmd) {
	if cmd.Address == "" {
		defer g.update(now, address, core.FetchFailedMsg{})
		return
	}
	reply := g.models[cmd.Address].ChangesAfter(cmd.After)
	defer g.update(now, address, core.ChangesMsg{Snapshot: reply.GetSnapshot(), Records: reply.GetRecords()})
}

func (g *gossipFleet) nodesBehind(version uint64) int {
	n := 0
	for _, m := range g.models {
		if m.Config().GetVersion() < version {
			n++
		}
	}
	return n
}

// BenchmarkSpread tells how long a version takes from one node to all others
// by heartbeats alone, and what the heartbeats take on the wire.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{33, 165, 330, 660} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			spread, rate := 0.0, 0.0
			for b.Loop() {
				g := newGossipFleet(n)
				now := clock.Millis(0)
				for ; now < 5000; now += core.TickInterval {
					g.tick(now)
				}
				g.bytes = 0
				from := now
				g.update(now, g.order[0], core.ChangesMsg{Records: []*wire.ChangeRecord{{Version: 2, Changes: []*wire.Change{
					{Edit: &wire.Change_PutAccount{PutAccount: benchAccount(1, 1)}},
				}}}})
				for g.nodesBehind(2) > 0 && now < from+60_000 {
					now += core.TickInterval
					g.tick(now)
				}
				spread = float64(now - from)
				rate = float64(g.bytes) / float64(n) / (spread / 1000)
			}
			b.ReportMetric(spread, "spread-ms")
			b.ReportMetric(rate, "heartbeat-B/s/node")
		})
	}
}

func (g *gossipFleet) tick(now clock.Millis) {
	for _, address := range g.order {
		g.update(now, address, core.TickMsg{})
	}
}
