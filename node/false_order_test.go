package node_test

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against a message about an engine's layers that is not true, or an order that is never carried out,
// and that keeps a node from using what the engine holds until its entry changes.
func TestFalseOrderEndsNoService(t *testing.T) {
	t.Parallel()
	for _, completed := range []bool{false, true} {
		t.Run(fmt.Sprint("completed ", completed), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4)
			n := s.startNode("n1", s.storeAddress)
			n.awaitServing(t)
			// By the end of these requests the list shows the layers of all engines.
			n.checkServes(t, "b")
			n.sendUsage(t, s.falseOrder(completed))
			await(t, "refused stream", func() bool { return n.do("POST", "/write/r", "r", "k1").status != 200 })
			n.awaitServing(t)
			n.checkServes(t, "f")
		})
	}
}

// falseOrder returns a message that says of each engine that it is to hold one layer or, with completed, holds
// it.
func (s *site) falseOrder(completed bool) *wire.Usage {
	msg := &wire.Usage{From: &wire.Member{Name: "n9", DataCentre: "dc", Address: "127.0.0.1:9", UsageAddress: "127.0.0.1:9", Strength: 1}}
	for id := range s.engines {
		msg.Placed = append(msg.Placed, &wire.PlacedEngine{Id: id, Born: s.startTime(id), From: 0, To: 1, Holds: completed})
	}
	return msg
}

// sendUsage sends a datagram to a node as another node would.
func (n *testNode) sendUsage(t *testing.T, msg proto.Message) {
	t.Helper()
	conn, err := net.Dial("udp", n.UsageAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := proto.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
}
