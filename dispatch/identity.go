package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

const (
	// minIdentifyPause is the pause before an upstream is asked again for its identity after an
	// answer that did not contain it. The pause doubles up to maxIdentifyPause, because the
	// question takes a slot and a full upstream refuses it. The quarantine can wait for the
	// answer, and each question costs a health check.
	minIdentifyPause clock.Millis = 400
	maxIdentifyPause clock.Millis = 6400
)

// recordProbeFate updates the quarantine with the result of a probe. An unanswered probe and an
// answer without a name only describe the address, which the next process may have under another
// id. Such an answer therefore removes no evidence against a request; the upstream is asked for
// its identity if that matters.
func (m *Model) recordProbeFate(u *upstream, msg ProbedMsg) []Cmd {
	switch {
	case !msg.Answered:
		return m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, msg.Upstream, quarantine.Unresponsive))
	case msg.Identified:
		return m.quarantineCmds(m.quarantine.UpstreamAnswered(msg.Upstream))
	}
	return m.identify(u)
}

// identify asks for the identity of the process at an upstream's address if a quarantine decision
// depends on it.
func (m *Model) identify(u *upstream) []Cmd {
	if m.catalog == nil || u.identifying || m.now < u.identifyAfter || !m.quarantine.NeedsCheck(u.entry.ID) {
		return nil
	}
	service := m.catalog.Service(u.entry.Service)
	if service == nil || service.HealthPath == "" {
		return nil
	}
	u.identifying = true
	return []Cmd{IdentifyCmd{Upstream: u.entry.ID, Address: u.entry.Address, Path: service.HealthPath}}
}

// retryIdentify asks again the upstreams whose last answer did not contain their identity.
func (m *Model) retryIdentify() []Cmd {
	var cmds []Cmd
	for _, id := range m.quarantine.UpstreamsToCheck() {
		if u := m.upstreams[id]; u != nil && u.failedIdentifications > 0 {
			cmds = append(cmds, m.identify(u)...)
		}
	}
	return cmds
}

// identified handles the identity of the process at an upstream's address. The upstream's own
// name proves that it is alive; another name proves that its process has ended.
func (m *Model) identified(msg IdentifiedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u != nil {
		u.identifying = false
	}
	switch msg.Presence {
	case fleet.Present:
		return append(m.quarantineCmds(m.quarantine.UpstreamAnswered(msg.Upstream)), m.refuteLoss(u)...)
	case fleet.Replaced:
		return m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, msg.Upstream, quarantine.Crashed))
	case fleet.PresenceUnknown:
		if u != nil {
			u.identifyAfter = m.now.Add(min(minIdentifyPause<<min(u.failedIdentifications, 8), maxIdentifyPause))
			u.failedIdentifications++
		}
	}
	return nil
}

// IdentifyCmd asks for the identity of the process at an upstream's address.
type IdentifyCmd struct {
	Upstream fleet.Incarnation
	Address  string
	// Path is the health check path of the service.
	Path string
}

// IdentifiedMsg reports the identity of the process at an upstream's address.
type IdentifiedMsg struct {
	Upstream fleet.Incarnation
	Presence fleet.Presence
}

func (IdentifyCmd) dispatchCmd()   {}
func (IdentifiedMsg) dispatchMsg() {}
