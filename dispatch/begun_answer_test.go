package dispatch_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "1000"}) }

// clientView is a request as its client sees it.
type clientView struct {
	t *rapid.T
	// attempt is the number of the current attempt; 0 for none.
	attempt   int
	events    int
	delivered dispatch.Delivered
	// ended reports whether the request has ended or the client has disconnected.
	ended bool
}

// apply executes a command and checks that it is allowed in the current state.
func (c *clientView) apply(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		c.attempt = cmd.Attempt
		if c.ended || c.delivered == dispatch.DeliveredPartial {
			c.t.Errorf("got attempt %d, want none: ended=%v delivered=%d", cmd.Attempt, c.ended, c.delivered)
		}
	case dispatch.RespondCmd, dispatch.RelayFailureCmd:
		if c.ended || c.delivered != dispatch.DeliveredNothing {
			c.t.Errorf("got %s, want a begun answer resumed or aborted: ended=%v delivered=%d", show(cmd), c.ended, c.delivered)
		}
		c.ended = true
	case dispatch.AbortResponseCmd:
		if c.ended || c.delivered == dispatch.DeliveredNothing {
			c.t.Errorf("got %s, want no abort of an answer that has not begun: ended=%v", show(cmd), c.ended)
		}
		c.ended = true
	}
}

// deliver draws the part of the answer that the client receives before the current attempt fails.
func (c *clientView) deliver() {
	switch {
	case rapid.Bool().Draw(c.t, "nothing"):
	case c.delivered == dispatch.DeliveredNothing && rapid.Bool().Draw(c.t, "part"):
		c.delivered = dispatch.DeliveredPartial
	case c.delivered != dispatch.DeliveredPartial:
		c.delivered = dispatch.DeliveredEvents
		c.events += rapid.IntRange(1, 3).Draw(c.t, "events")
	}
}

// An answer that has begun must never be completed by another answer, whatever happens to its
// attempts, the engines, the keys and the configuration: it is resumed, waits or is aborted. An
// answer that has not begun must never be aborted.
func TestBegunAnswerIsResumedOrAborted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := dispatch.New(dispatch.WithDataCentre("a"), dispatch.WithPolicy(dispatch.Policy{
			MaxConfigAge: 5000, RetryWindow: 10_000, RetryShare: 0.2, RetrySlack: rapid.SampledFrom([]float64{0, 100, 1000}).Draw(rt, "slack"),
		}))
		now := clock.Millis(1000)
		version := 1
		c := &clientView{t: rt}
		step := func(msg dispatch.Msg) {
			for _, cmd := range m.Update(now, msg) {
				c.apply(cmd)
			}
		}
		step(dispatch.CatalogMsg{Catalog: testCatalog(script.Step{}), ConfirmedAt: now})
		step(dispatch.FleetMsg{Changes: randomFleet(rt)})
		path := rapid.SampledFrom([]string{"/write/a", "/read/a", "/once/a"}).Draw(rt, "path")
		step(dispatch.ArriveMsg{Request: 1, CallerID: "c", Host: "h", Path: path, Key: "k", HasKey: true, PromptTokens: 10, AnswerTokens: 10, Remaining: 20_000})
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(clock.Millis(rapid.IntRange(1, 400).Draw(rt, "pause")))
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0:
				step(dispatch.FleetMsg{Changes: randomFleet(rt)})
			case 1:
				step(dispatch.TickMsg{})
			case 2:
				keys := rapid.SampledFrom([]string{"all", "none"}).Draw(rt, "keys")
				version++
				step(dispatch.CatalogMsg{Catalog: testCatalog(script.Step{Params: map[string]string{"keys": keys, "version": strconv.Itoa(version)}}), ConfirmedAt: now})
			default:
				if c.ended || c.attempt == 0 {
					continue
				}
				c.deliver()
				failed := c.attempt
				c.attempt = 0
				step(dispatch.AttemptFailedMsg{
					Request: 1, Attempt: failed, Events: c.events, Delivered: c.delivered,
					Cause: dispatch.Cause(rapid.IntRange(int(dispatch.CauseNotSent), int(dispatch.CauseUpstreamFailed)).Draw(rt, "cause")),
				})
			}
		}
	})
}

// randomFleet draws changes of a few upstreams.
func randomFleet(t *rapid.T) []fleet.Change {
	var changes []fleet.Change
	for _, attributes := range []map[string]string{
		{"service": "writer", "kind": "fast", "held": "0-8"}, {"service": "writer", "kind": "fast", "held": "0-4"},
		{"service": "writer", "kind": "slow", "held": "4-8"}, {"service": "desk"}, {"service": "desk"},
	} {
		attributes["state"] = rapid.SampledFrom([]string{"ready", "ready", "leaving"}).Draw(t, "state")
		id := "u" + strconv.Itoa(len(changes))
		changes = append(changes, fleet.Change{
			ID: fleet.IncarnationByID(fleet.ID(id)), Gone: rapid.IntRange(0, 4).Draw(t, "gone") == 0,
			Upstream: testUpstream(script.Step{Args: []string{id}, Params: attributes}),
		})
	}
	return changes
}
