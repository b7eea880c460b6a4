package lab

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

const (
	// connectTimeout is how long a node waits for a connection to an engine.
	connectTimeout clock.Millis = 400
	// oneWay is the magnitude of a NodeCut that loses only what engines send.
	oneWay = 1
)

// linkCut is how a node's links to all engines are cut.
type linkCut uint8

const (
	linksWork linkCut = iota
	linksSilent
	linksOneWay
)

// cutNodes cuts a share of the running nodes from all engines.
func (w *world) cutNodes(f Fault) {
	cut := linksSilent
	if f.Magnitude == oneWay {
		cut = linksOneWay
	}
	for _, i := range w.faultRand.Perm(len(w.nodes))[:shareCount(f.Share, len(w.nodes))] {
		n := w.nodes[i]
		n.links = cut
		w.after(f.Duration, func() { n.links = linksWork })
	}
}

// cutOff reports whether no answer of an engine reaches the node.
func (n *node) cutOff() bool { return n.links != linksWork }

// waitForLink handles the next events of a stream that are lost on the way to the node: the node
// finds the first engine silent.
func (a *attempt) waitForLink(version int) {
	detectAfter := stallAfter
	if a.session.receivedEvents == a.session.resumedFrom {
		detectAfter = max(firstEventStallAfter-a.world.now.Sub(a.lastEventAt), 0)
	}
	a.world.after(detectAfter+a.reportWait(), func() {
		if a.finished || a.planVersion != version {
			return
		}
		if !a.session.node.cutOff() {
			a.scheduleEvents(a.eventTime(1), 1)
			return
		}
		a.fail(dispatch.CauseNoProgress, a.cmd.Address)
	})
}
