package dispatch_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

// Guards against replays whose sums over nodes differ in the last bits, because the reports or the
// requests are added up in the random order of a map. Decisions close to a threshold then differ too.
func TestReplayAddsUpInTheSameOrder(t *testing.T) {
	run := func() []dispatch.Cmd {
		m := dispatch.New(dispatch.WithDataCentre("a"), dispatch.WithPolicy(scriptPolicy))
		m.Update(0, dispatch.PeersMsg{TotalNodes: 8, UsagePeers: 7})
		m.Update(0, dispatch.CatalogMsg{Catalog: testCatalog(script.Step{Params: map[string]string{"priorities": "equal"}})})
		for i, held := range []string{"0-4", "4-8"} {
			step := script.Step{Args: []string{fmt.Sprintf("e%d", i)}, Params: map[string]string{"service": "writer", "kind": "fast", "held": held}}
			m.Update(0, dispatch.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(step.Arg(0)), Upstream: testUpstream(step)}}})
		}
		for request := range dispatch.RequestID(7) {
			m.Update(10, dispatch.ArriveMsg{Request: request, Host: "h", Path: "/write/a", Key: "k", HasKey: true, Remaining: 20_000, PromptTokens: 1, AnswerTokens: 1 + int(request)})
		}
		var cmds []dispatch.Cmd
		for now := clock.Millis(300); now <= 3000; now += 300 {
			for n := range 7 {
				m.Update(now, dispatch.UsageMsg{
					Node: fmt.Sprintf("n%d", n), DataCentre: "a",
					Used:     map[fleet.Incarnation]fleet.EngineUsage{script.Incarnation("e1"): {Memory: 120 + 0.1*float64(n), Streams: 1, PromptTokens: 0.1 * float64(n)}},
					Accounts: []fairshare.AccountUse{{Service: "writer", Account: "clinic", Amount: 120 + 0.1*float64(n)}, {Service: "writer", Account: "shop", Amount: 0.7 * float64(n)}},
				})
			}
			cmds = append(cmds, m.Update(now, dispatch.TickMsg{})...)
		}
		m.Update(3010, dispatch.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation("e1"), Gone: true}}})
		step := script.Step{Args: []string{"e1"}, Params: map[string]string{"service": "writer", "kind": "fast", "held": "4-8"}}
		m.Update(3020, dispatch.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation("e1"), Upstream: testUpstream(step)}}})
		return append(cmds, m.Update(3300, dispatch.TickMsg{})...)
	}
	want := run()
	for range 50 {
		if got := run(); !reflect.DeepEqual(got, want) {
			t.Fatalf("got another replay:\n%+v\nwant\n%+v", got, want)
		}
	}
}
