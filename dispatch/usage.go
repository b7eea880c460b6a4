package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// shareEvery is how often a node tells others what it has in use. A stream
	// lasts one to three seconds.
	shareEvery clock.Millis = 300
	// usageLasts is for how long that counts: some datagrams are lost.
	usageLasts clock.Millis = 1500
)

// peerUsage is what another node has in use.
type peerUsage struct {
	at clock.Millis
	// local tells that the node stands in this one's data centre.
	local bool
	used  map[string]float64
}

// share tells the others what this node has in use, when it is time for that.
func (m *Model) share() []Cmd {
	if m.peers.All < 2 || m.now < m.shared.Add(shareEvery) {
		return nil
	}
	m.shared = m.now
	used := make(map[string]float64)
	for id, u := range m.upstreams {
		if u.reserved > 0 {
			used[id] = u.reserved
		}
	}
	return []Cmd{ShareCmd{Used: used}}
}

func (m *Model) noteUsage(msg UsageMsg) {
	m.usage[msg.Node] = peerUsage{at: m.now, local: msg.DataCentre == m.dataCentre, used: msg.Used}
}

// unheard is how many nodes of the data centre have not told what they have in
// use. Each is taken to use as much as this one.
func (m *Model) unheard() float64 {
	heard := 0
	for node, u := range m.usage {
		if m.now > u.at.Add(usageLasts) {
			delete(m.usage, node)
			continue
		}
		if u.local {
			heard++
		}
	}
	return float64(max(m.peers.Local-1-heard, 0))
}

// free returns the memory that is left at an engine, as far as is known.
func (m *Model) free(u *upstream, unheard float64) float64 {
	free := u.room - u.reserved*(1+unheard)
	for _, peer := range m.usage {
		free -= peer.used[u.entry.ID]
	}
	return free
}
