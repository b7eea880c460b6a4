package usage

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/wire"
)

// panickingListener panics for one engine and passes the others on.
type panickingListener struct {
	rangeChecker
	placed chan fleet.Incarnation
}

func (l panickingListener) ReceivePlacement(id fleet.Incarnation, _ fleet.LayerRange, _ bool) {
	if id.Compare(fleet.IncarnationByID("bad")) == 0 {
		panic("index out of range")
	}
	l.placed <- id
}

// Guards against a datagram that ends the process: it costs itself alone, and the next one is received.
func TestDatagramThatPanicsCostsItselfAlone(t *testing.T) {
	panics := contain.New(zap.NewNop())
	l := panickingListener{rangeChecker: rangeChecker{t}, placed: make(chan fleet.Incarnation, 1)}
	x, err := New(t.Context(), &wire.Member{Name: "n1"}, "127.0.0.1:0", zap.NewNop(), func() bool { return true }, l, WithContainment(panics.Run))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "udp", x.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	send := func(id string) {
		raw, err := proto.Marshal(&wire.Usage{From: &wire.Member{Name: "n2"}, Placed: []*wire.PlacedEngine{{Id: id, To: 4}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(raw); err != nil {
			t.Fatalf("send %s: %v", hex.EncodeToString(raw), err)
		}
	}
	send("bad")
	send("good")
	if got := <-l.placed; got != fleet.IncarnationByID("good") {
		t.Errorf("got %s, want the engine of the second datagram", got)
	}
	if got := panics.Counts().String(); got != `{"datagram": 1}` {
		t.Errorf("got counts %s, want one datagram", got)
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) && !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v, want the end", err)
	}
}
