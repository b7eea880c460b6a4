package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "60"}) }

// Whatever the order of copies, returns, writes, outages and ends of nodes, a node in touch knows
// what was confirmed in time, forgets nothing of it, and takes no upstream as gone that lives.
func TestReturnsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 5, 7, 30}).Draw(draw, "nodes")
		seed := rapid.Uint64Range(1, 1000).Draw(draw, "seed")
		events := rapid.SliceOfN(rapid.Custom(drawRestoreEvent), 1, 40).Draw(draw, "events")
		missed := runSim(t, defaultSetting(), seed, nodes, restoreEventsEnd+simDeadline+simStablePeriod+simExpiry, slices.Clone(events)).failures
		if len(missed) > 0 {
			draw.Fatalf("%d nodes: %s\n%s", nodes, strings.Join(missed[:min(len(missed), maxReported)], "; "), formatEvents(events))
		}
	})
}

// Events are drawn between restoreEventsStart and restoreEventsEnd.
const (
	restoreEventsStart = 3 * time.Second
	restoreEventsEnd   = 11 * time.Second
)

func drawRestoreEvent(draw *rapid.T) simEvent {
	between := func(from, to time.Duration, name string) time.Duration {
		return millis(rapid.IntRange(int(from.Milliseconds()), int(to.Milliseconds())).Draw(draw, name))
	}
	e := simEvent{
		at: between(restoreEventsStart, restoreEventsEnd, "at"), share: 1,
		kind: rapid.SampledFrom([]string{"copy", "copy", "returns", "returns", "config", "config", "rows", "rows", "leaves", "ends", "joins", "kill", "silent", "down"}).Draw(draw, "what"),
	}
	switch e.kind {
	case "returns":
		e.mode = rapid.SampledFrom([]string{"", "down", "hang"}).Draw(draw, "how")
		if e.mode != "" {
			e.duration = between(0, 2*time.Second, "away")
		}
		e.rewriteDelay = between(0, 300*time.Millisecond, "rewrites")
	case "kill":
		e.node, e.duration = rapid.SampledFrom([]string{"n01", "n02", "n05"}).Draw(draw, "node"), between(100*time.Millisecond, 2*time.Second, "dead")
	case "down":
		e.duration = between(0, 2*time.Second, "down")
	}
	return e
}
