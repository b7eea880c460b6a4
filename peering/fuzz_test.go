package peering

import (
	"math"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// FuzzAnswer guards against an answer of another node that ends the process, or is taken over with ages
// out of range.
func FuzzAnswer(f *testing.F) {
	for _, answer := range []*wire.AskResponse{
		{Edition: &wire.Edition{Version: math.MaxUint64}, AgeMs: math.MinInt64, HasFleet: true, Fleet: []*wire.ListedUpstream{{Id: "e1", Slots: math.MinInt32, HeldFrom: -1, HeldTo: math.MaxInt32, Born: -1}}},
		{AgeMs: math.MaxInt64, Config: []byte("{"), Members: []*wire.Member{{}, {Name: "n2", Address: "x"}, {Name: "me"}}},
		{Quarantined: []*wire.QuarantinedWork{{Work: work.FromPart("part").Bytes(), AgeMs: -1}, {Work: []byte{1}}}},
	} {
		raw, err := proto.Marshal(answer)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var answer wire.AskResponse
		if proto.Unmarshal(raw, &answer) != nil {
			return
		}
		node := &fakeNode{}
		p := New(member("me"), nil, &scriptedRegistry{}, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1)
		p.directory.addReported(answer.GetMembers()...)
		p.applyAnswer(1000, member("n2"), &answer)
		for _, m := range p.directory.others() {
			if m.GetName() == "" || m.GetName() == "me" {
				t.Fatalf("got node %v, want only others with a name", m)
			}
		}
		for _, q := range decodeQuarantined(answer.GetQuarantined()) {
			if q.Age < 0 {
				t.Fatalf("got %+v, want an age of zero or more", q)
			}
		}
	})
}
