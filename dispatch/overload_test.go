package dispatch

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Guards against an overloaded node that takes its own delay for the silence of engines, and tells the other nodes
// so: after all nodes have returned their findings kept each other's engines out of service.
func TestOverloadedNodeFindsNoEngineUnresponsive(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		m, ids := newProbingModel(9, 41)
		m.Update(500, OverloadMsg{Overloaded: overloaded})
		findings := 0
		for now := clock.Millis(1000); now < 10_000; now = now.Add(100) {
			m.Update(now, PeerUnresponsiveMsg{Upstream: ids[0]})
			for _, cmd := range m.Update(now, TickMsg{}) {
				if probe, ok := cmd.(ProbeCmd); ok {
					for _, cmd := range m.Update(now.Add(50), ProbedMsg{Upstream: probe.Upstream}) {
						if _, ok := cmd.(ResponsivenessCmd); ok {
							findings++
						}
					}
				}
			}
		}
		if got, want := findings > 0, !overloaded; got != want {
			t.Errorf("overloaded %v: got %d findings, want some: %v", overloaded, findings, want)
		}
	}
}

// Guards against an overloaded node that stays with its doubt: what answers once it has time is responsive.
func TestEngineAnswersAfterOverload(t *testing.T) {
	m, ids := newProbingModel(9, 41)
	m.Update(500, OverloadMsg{Overloaded: true})
	probeUnanswered(m, ids[:1], 1000, 5000)
	m.Update(6000, OverloadMsg{})
	answered := false
	for now := clock.Millis(6100); now < 12_000 && !answered; now = now.Add(100) {
		for _, cmd := range m.Update(now, TickMsg{}) {
			if probe, ok := cmd.(ProbeCmd); ok {
				m.Update(now.Add(5), ProbedMsg{Upstream: probe.Upstream, Answered: true})
				answered = true
			}
		}
	}
	if u := m.upstreams[ids[0]]; !answered || u.suspected {
		t.Errorf("got probed %v and suspected %v after the overload, want true and false", answered, u.suspected)
	}
}
