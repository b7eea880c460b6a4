package usage

import (
	"math"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// rangeChecker is a Listener that fails if a message of another node has a value out of range.
type rangeChecker struct{ t *testing.T }

func (c rangeChecker) ReceiveUsage(_ *wire.Member, msg Report) {
	if len(msg.Accounts) > fairshare.MaxReported {
		c.t.Fatalf("got %d accounts, want at most %d", len(msg.Accounts), fairshare.MaxReported)
	}
	for _, u := range msg.Accounts {
		if math.IsNaN(u.Amount) || math.IsInf(u.Amount, 0) || u.Amount < 0 {
			c.t.Fatalf("got %+v, want a finite amount of zero or more", u)
		}
	}
}

func (c rangeChecker) ReceiveCrash(crash Crash) {
	if crash.Age < 0 || len(crash.Request.Parts) > work.MaxParts {
		c.t.Fatalf("got %+v, want an age of zero or more and at most %d parts", crash, work.MaxParts)
	}
}

func (c rangeChecker) ReceiveVerdict(v Verdict) {
	if v.Age < 0 {
		c.t.Fatalf("got %+v, want an age of zero or more", v)
	}
}

func (c rangeChecker) ReceivePartShare(s PartShare) {
	if s.Answers < 0 || s.Answers > s.Requests {
		c.t.Fatalf("got %+v, want at most as many answers as requests", s)
	}
}

func (rangeChecker) ReceivePlacement(fleet.Incarnation, fleet.LayerRange, bool) {}
func (rangeChecker) ReceiveUnresponsive(*wire.Member, fleet.Incarnation)        {}
func (rangeChecker) ReceiveResponsive(*wire.Member, fleet.Incarnation)          {}
func (rangeChecker) ReceivePermitRequest(*wire.Member, limit.PermitRequest)     {}
func (rangeChecker) ReceivePermitGrant(*wire.Member, limit.Grant)               {}
func (rangeChecker) ReceiveAnswered(work.ID)                                    {}

// FuzzDatagram guards against a datagram that ends the process, or is passed on with values out of range.
func FuzzDatagram(f *testing.F) {
	part := work.FromPart("part").Bytes()
	for _, msg := range []*wire.Usage{
		{From: &wire.Member{Name: "n2"}},
		{From: &wire.Member{Name: "n2"}, Lost: []*wire.LostWork{{Work: part, Id: "e1", Born: -1, Parts: [][]byte{part, {1}}, AgeMs: math.MinInt64}}, PartShares: []*wire.PartShare{{Part: part, Answers: 3, Requests: 2}}},
		{From: &wire.Member{Name: "n2"}, Accounts: []*wire.AccountUse{{Service: "writer", Amount: math.NaN()}}, Quarantined: []*wire.QuarantinedWork{{Work: part, AgeMs: -1}}, Placed: []*wire.PlacedEngine{{Id: "e1", From: math.MinInt32, To: math.MaxInt32}}},
		{From: &wire.Member{Name: "n2", UsageAddress: "x"}, PermitAsk: &wire.PermitAsk{Id: "e1", Named: &wire.NamedLimit{Rate: math.Inf(1), AgeMs: math.MaxInt64}, Sent: make([]uint32, 100)}},
	} {
		raw, err := proto.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		x, err := New(t.Context(), &wire.Member{Name: "n1"}, "127.0.0.1:0", zap.NewNop(), func() bool { return true }, rangeChecker{t}, WithClock(clock.New()))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = x.conn.Close() }()
		x.receive(raw)
	})
}
