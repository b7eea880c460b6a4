package reading

import (
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against work of a reader that grows with nodes times upstreams at a common start: it
// encoded the full list for each of a hundred nodes.
func TestFullListIsEncodedOnce(t *testing.T) {
	const followers = 20
	for _, upstreams := range []int{30, 3000} {
		l := NewLog(clocktest.NewClock(), clock.Millis(600_000), 0)
		l.SetConfig(follow.PublishedConfig{AnsweredAt: l.clock.Now()})
		s := &server{log: l}
		request := func() *wire.AwaitFleetResponse {
			response, err := s.AwaitFleet(t.Context(), connect.NewRequest(&wire.AwaitFleetRequest{}))
			if err != nil {
				t.Fatal(err)
			}
			return response.Msg
		}
		var list []fleet.Upstream
		for i := range upstreams {
			list = append(list, fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(fmt.Sprint("u", i))), Service: "writer"})
		}
		l.SetFleet(moment.At(0, 10), list)
		if got, want := testing.AllocsPerRun(followers, func() { request() }), 40.0; got > want {
			t.Errorf("%d upstreams: got %.0f allocations for each further follower, want at most %.0f", upstreams, got, want)
		}
		// The list must arrive whole, and a changed one must be encoded again.
		l.AddFleet(moment.At(0, 11), []fleet.Change{{ID: list[0].ID, Gone: true}})
		data, err := proto.Marshal(request())
		if err != nil {
			t.Fatal(err)
		}
		var decoded wire.AwaitFleetResponse
		if err := proto.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if got, want := len(decoded.GetChanges()), upstreams-1; got != want || !decoded.GetWhole() || len(decoded.ProtoReflect().GetUnknown()) != 0 {
			t.Errorf("got full=%v with %d upstreams after a removal, want all %d", decoded.GetWhole(), got, want)
		}
	}
}
