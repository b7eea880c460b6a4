package dispatch

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/quarantine"
)

// setFleet applies changes of the list of upstreams.
func (m *Model) setFleet(msg FleetMsg) []Cmd {
	var cmds []Cmd
	for _, c := range msg.Changes {
		u, known := m.upstreams[c.ID]
		if known && u.pipeline != nil && (c.Gone || c.Upstream.Leaving) {
			m.markDeparting(c.ID)
		}
		switch {
		case c.Gone:
			if known {
				m.entryRemoved(u)
			}
			m.crashed.Add(c.ID, true)
			cmds = append(cmds, m.quarantineCmds(m.quarantine.SetUpstreamState(m.now, c.ID, quarantine.Crashed))...)
			delete(m.upstreams, c.ID)
			if known {
				m.reach.Forget(u.link())
			}
			m.limits.Remove(c.ID)
			if known && c.Ended {
				cmds = append(cmds, m.crashConfirmed(u)...)
			}
		case known:
			u.update(m.now, c.Upstream)
		default:
			u = newUpstream(c.Upstream)
			u.recoveryPlace, u.probeCandidates = recoveryPlace(m.seed, c.ID), m.probeCandidates
			u.peerUse = m.peerUseOf(c.ID)
			m.upstreams[c.ID] = u
			m.upstreamListed(u)
		}
		if u != nil && m.catalog != nil {
			u.applyService(m.catalog.Service(u.entry.Service))
		}
	}
	m.rebuildIndex()
	return cmds
}

// rebuildIndex derives what the model keeps by service and address from the list and the
// configuration.
func (m *Model) rebuildIndex() {
	clear(m.byService)
	clear(m.localByService)
	clear(m.listedIn)
	clear(m.fastestTokenTime)
	atAddress := make(map[string]*upstream, len(m.upstreams))
	for _, u := range m.upstreams {
		m.recordFastestTokenTime(u)
		other := atAddress[u.entry.Address]
		u.sharesAddress = other != nil
		if other != nil {
			other.sharesAddress = true
		}
		atAddress[u.entry.Address] = u
		m.byService[u.entry.Service] = append(m.byService[u.entry.Service], u)
		m.listedIn[u.entry.DataCentre]++
	}
	for service, list := range m.byService {
		slices.SortFunc(list, compareByID)
		for _, u := range list {
			if u.entry.DataCentre == m.dataCentre {
				m.localByService[service] = append(m.localByService[service], u)
			}
		}
	}
}

func compareByID(a, b *upstream) int { return a.entry.ID.Compare(b.entry.ID) }

// recordFastestTokenTime updates fastestTokenTime with one engine.
func (m *Model) recordFastestTokenTime(u *upstream) {
	if u.pipeline == nil || u.layerTime <= 0 {
		return
	}
	tokenTime := u.layerTime * float64(u.pipeline.Layers)
	if fastest, known := m.fastestTokenTime[u.entry.Service]; !known || tokenTime < fastest {
		m.fastestTokenTime[u.entry.Service] = tokenTime
	}
}
