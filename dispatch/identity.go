package dispatch

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/quarantine"
)

const (
	// minIdentifyPause is after how long an upstream is asked again who it is that has not
	// said so, which doubles up to maxIdentifyPause: it asks for a slot, and one that is
	// full refuses. A verdict can wait for that; each question costs a health check.
	minIdentifyPause clock.Millis = 400
	maxIdentifyPause clock.Millis = 6400
)

// recordProbeFate takes in what a probe tells of an upstream's end. Silence speaks of the address,
// and so does an answer that bears no name: the next process may have it by then, under
// another id. Such an answer takes nothing back that speaks against a request; whoever has
// given it is asked for its name where anything hangs on that.
func (m *Model) recordProbeFate(u *upstream, msg ProbedMsg) []Cmd {
	switch {
	case !msg.Answered:
		return m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, msg.Upstream, quarantine.Unresponsive))
	case msg.Named:
		return m.quarantineCmds(m.quarantine.UpstreamAnswered(msg.Upstream))
	}
	return m.identify(u)
}

// identify asks who is at an upstream's address, if that decides about a request.
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

// retryIdentify asks those again that have not said who they are.
func (m *Model) retryIdentify() []Cmd {
	var cmds []Cmd
	for _, id := range m.quarantine.UpstreamsToCheck() {
		if u := m.upstreams[id]; u != nil && u.failedIdentifications > 0 {
			cmds = append(cmds, m.identify(u)...)
		}
	}
	return cmds
}

// identified takes in who is at an upstream's address. Only its own name speaks for it;
// another's proves that it has ended.
func (m *Model) identified(msg IdentifiedMsg) []Cmd {
	u := m.upstreams[msg.Upstream]
	if u != nil {
		u.identifying = false
	}
	switch msg.Presence {
	case fleet.Present:
		return m.quarantineCmds(m.quarantine.UpstreamAnswered(msg.Upstream))
	case fleet.Replaced:
		return m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, msg.Upstream, quarantine.Ended))
	case fleet.PresenceUnknown:
		if u != nil {
			u.identifyAfter = m.now.Add(min(minIdentifyPause<<min(u.failedIdentifications, 8), maxIdentifyPause))
			u.failedIdentifications++
		}
	}
	return nil
}

// IdentifyCmd asks who is at an upstream's address.
type IdentifyCmd struct {
	Upstream fleet.Incarnation
	Address  string
	// Path is where upstreams of its service are asked how they are.
	Path string
}

// IdentifiedMsg tells who is at an upstream's address.
type IdentifiedMsg struct {
	Upstream fleet.Incarnation
	Presence fleet.Presence
}

func (IdentifyCmd) dispatchCmd()   {}
func (IdentifiedMsg) dispatchMsg() {}
