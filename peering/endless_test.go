package peering_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/endless"
	"github.com/hoistjunction/hoistjunction/peering"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/wire"
)

// answerCounter is a node that counts what it takes from the answers of its peers.
type answerCounter struct {
	testNode
	taken atomic.Int64
}

func (n *answerCounter) ReceiveConfig(catalog.Edition, []byte, clock.Millis) { n.taken.Add(1) }
func (n *answerCounter) ReceiveFleet([]fleet.Upstream)                       { n.taken.Add(1) }
func (n *answerCounter) ReceiveQuarantined([]dispatch.Quarantined)           { n.taken.Add(1) }

// Guards against an answer without end of another node that costs memory without bound for as long as the
// query lasts, or that is taken for an answer.
func TestEndlessAnswersOfPeers(t *testing.T) {
	const (
		maxHeadRead = 64 << 10
		// maxBodyRead is the limit of an answer, and a buffer more.
		maxBodyRead = 16<<20 + 128<<10
		head        = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
		// unknownField is a field that the message does not have, which the library passes over.
		unknownField = "\xa0\x06\x01"
	)
	tests := []struct {
		name    string
		answer  endless.Answer
		maxRead int64
	}{
		{"header line", endless.Answer{Head: "HTTP/1.1 200 OK\r\nX: ", Repeat: "x"}, maxHeadRead},
		{"header lines", endless.Answer{Head: "HTTP/1.1 200 OK\r\n", Repeat: "X: x\r\n"}, maxHeadRead},
		{"answers 1xx", endless.Answer{Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"}, maxHeadRead},
		{"body without length", endless.Answer{Head: head + "\r\n", Repeat: unknownField}, maxBodyRead},
		{"body with length", endless.Answer{Head: head + "Content-Length: 99999999999\r\n\r\n", Repeat: unknownField}, maxBodyRead},
		{"chunks", endless.Answer{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "c00\r\n" + strings.Repeat(unknownField, 1<<10) + "\r\n"}, maxBodyRead},
		{"slow body", endless.Answer{Head: head + "\r\n", Repeat: unknownField, Pause: time.Millisecond}, maxBodyRead},
		{"error", endless.Answer{Head: "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n{\"message\":\"", Repeat: "x"}, maxBodyRead},
		{"switched protocol", endless.Answer{Head: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"}, maxHeadRead},
	}
	queries := map[string]func(p *peering.Peering, address string){
		"configuration": func(p *peering.Peering, address string) { p.QueryAddress(context.Background(), address) },
		"quarantine": func(p *peering.Peering, address string) {
			p.QueryQuarantined(context.Background(), &wire.Member{Address: address})
		},
	}
	for _, tt := range tests {
		for name, query := range queries {
			// The queries run one after another, since each read without bound before.
			t.Run(name+", "+tt.name, func(t *testing.T) {
				server, meter, node := endless.Serve(t, tt.answer), &endless.Meter{}, &answerCounter{}
				transport := platform.NewOneShotTransport(platform.WithDialer(meter.Dialer()))
				p := peering.New(&wire.Member{Name: "asker", Address: "asker:80"}, nil, nil, node, node, clocktest.NewClock(), zap.NewNop(), transport, 1)
				endless.Await(t, func() bool { query(p, server.Address()); return true })
				server.AwaitClosed(t, 1)
				if got := node.taken.Load(); got != 0 {
					t.Errorf("got %d answers taken, want none", got)
				}
				if got := meter.Most(); got > tt.maxRead {
					t.Errorf("got %d bytes read from one connection, want at most %d", got, tt.maxRead)
				}
			})
		}
	}
}
