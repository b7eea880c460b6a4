package core_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/wire"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, map[string]string{"rapid.checks": "2000", "rapid.steps": "300"})
}

// TestPromisesUnderRandomFailures drives a few nodes through random deaths,
// freezes, losses and reorderings, and checks after each step what must always
// hold: keys run at most once, "not run" is true, and answers are whole, in
// order, and the caller's own.
func TestPromisesUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"submit":        w.actSubmit,
			"try again":     w.actRetry,
			"deliver":       w.actDeliver,
			"deliver more":  w.actDeliver,
			"deliver most":  w.actDeliverMany,
			"lose":          w.actLose,
			"tick":          w.actTick,
			"hang up":       w.actCancel,
			"freeze":        w.actFreeze,
			"thaw":          w.actThaw,
			"kill node":     w.actKillNode,
			"stop node":     w.actStopNode,
			"gossip":        w.actGossip,
			"kill engine":   w.actKillEngine,
			"toggle store":  func(*rapid.T) { w.storeDown = !w.storeDown },
			"double answer": w.actDuplicate,
			"": func(t *rapid.T) {
				if len(w.violations) > 0 {
					t.Fatalf("got %v, want no fault", w.violations)
				}
			},
		})
	})
}

func (w *world) chooseIndex(t *rapid.T, n int, what string) int {
	if n == 0 {
		t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(t, what)
}

func (w *world) actSubmit(t *rapid.T) {
	n := len(w.requests)
	r := &fakeRequest{spec: core.SubmitMsg{KeyHash: core.HashKey("clinic-key")}}
	if rapid.Bool().Draw(t, "service") {
		r.spec.Route, r.spec.Path = "orders", fmt.Sprintf("/%d", n)
		if rapid.IntRange(0, 3).Draw(t, "marked") > 0 {
			r.spec.Key = fmt.Sprintf("k%d", n)
		}
	} else {
		r.spec.Route, r.spec.Prompt, r.spec.MaxTokens = "notices", fmt.Sprintf("hola %d", n), 3
		if rapid.Bool().Draw(t, "marked") {
			r.spec.Key = fmt.Sprintf("k%d", n)
		}
	}
	w.requests = append(w.requests, r)
	w.submit(r, w.nodes[w.chooseIndex(t, len(w.nodes), "node")])
}

// actRetry sends a request again that has no answer yet: its caller was
// told to, or has given up waiting.
func (w *world) actRetry(t *rapid.T) {
	r := w.requests[w.chooseIndex(t, len(w.requests), "request")]
	if r.spec.Key == "" || (!r.waiting && r.final == outcome.Failed) {
		t.Skip("not to be asked again")
	}
	w.submit(r, w.nodes[w.chooseIndex(t, len(w.nodes), "node")])
}

func (w *world) removeEvent(i int) event {
	e := w.events[i]
	w.events = append(w.events[:i], w.events[i+1:]...)
	return e
}

func (w *world) actDeliver(t *rapid.T) {
	e := w.removeEvent(w.chooseIndex(t, len(w.events), "event"))
	e.onDeliver()
}

func (w *world) actDeliverMany(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "events") {
		if len(w.events) == 0 {
			return
		}
		w.removeEvent(0).onDeliver()
	}
}

// actDuplicate delivers something and leaves it on its way as well: an answer
// that comes twice. What a node has sent to a service cannot double itself.
func (w *world) actDuplicate(t *rapid.T) {
	e := w.events[w.chooseIndex(t, len(w.events), "event")]
	if e.name != "step" && e.name != "step answer" && e.name != "claims" && e.name != "claims answer" && e.name != "call answer" {
		t.Skip("not to be doubled")
	}
	e.onDeliver()
}

func (w *world) actLose(t *rapid.T) {
	i := w.chooseIndex(t, len(w.events), "event")
	switch e := w.events[i]; {
	case e.onLost != nil:
		w.removeEvent(i)
		e.onLost()
	case e.name == "step answer":
		w.removeEvent(i)
	default:
		t.Skip("not to be lost")
	}
}

func (w *world) actTick(t *rapid.T) {
	w.now = w.now.Add(core.TickInterval * clock.Millis(rapid.IntRange(1, 20).Draw(t, "ticks")))
	for _, n := range w.nodes {
		w.deliver(n, core.TickMsg{})
	}
	if rapid.IntRange(0, 9).Draw(t, "list") == 0 {
		for _, n := range w.nodes {
			w.deliver(n, core.ListMsg{Upstreams: w.listing()})
		}
	}
}

func (w *world) actCancel(t *rapid.T) {
	n := w.nodes[w.chooseIndex(t, len(w.nodes), "node")]
	for caller := uint64(1); caller <= w.callers; caller++ {
		if n.callers[caller] != nil {
			delete(n.callers, caller)
			w.deliver(n, core.CancelMsg{Caller: caller})
			return
		}
	}
}

func (w *world) actFreeze(t *rapid.T) { w.nodes[w.chooseIndex(t, len(w.nodes), "node")].frozen = true }

func (w *world) actThaw(t *rapid.T) {
	n := w.nodes[w.chooseIndex(t, len(w.nodes), "node")]
	n.frozen = false
	held := n.heldMsgs
	n.heldMsgs = nil
	for _, msg := range held {
		w.update(n, msg)
	}
}

func (w *world) actKillNode(t *rapid.T) {
	w.replace(w.nodes[w.chooseIndex(t, len(w.nodes), "node")])
}

// actStopNode begins a planned stop.
func (w *world) actStopNode(t *rapid.T) {
	w.deliver(w.nodes[w.chooseIndex(t, len(w.nodes), "node")], core.DrainMsg{})
}

// actGossip tells one node what another says of itself.
func (w *world) actGossip(t *rapid.T) {
	from := w.nodes[w.chooseIndex(t, len(w.nodes), "from")]
	record := from.model.Self()
	record.Beat = uint64(w.now) + w.callers + 2
	w.deliver(w.nodes[w.chooseIndex(t, len(w.nodes), "to")], core.NodesMsg{Nodes: []*wire.NodeRecord{record}})
}

func (w *world) actKillEngine(t *rapid.T) {
	name := []string{"a1", "a2", "b1", "b2"}[w.chooseIndex(t, 4, "engine")]
	w.engines[name].restart()
	for _, n := range w.nodes {
		w.deliver(n, core.UpstreamDownMsg{Upstream: name})
	}
}
