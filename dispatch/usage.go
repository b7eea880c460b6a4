package dispatch

import (
	"maps"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// shareEvery is how often a node tells others what it has in use. A stream
	// lasts one to three seconds.
	shareEvery clock.Millis = 300
	// usageLasts is for how long that counts: some datagrams are lost.
	usageLasts clock.Millis = 1500
	// worthTelling is the part of an engine's memory, or slots, from which other data
	// centres are told of its use: below it nobody runs out of it.
	worthTelling = 0.25
)

// peerUsage is what another node has in use.
type peerUsage struct {
	at   clock.Millis
	used map[fleet.Incarnation]fleet.Use
	// total tells that it is another data centre's.
	total bool
}

// share tells the others what this node has in use, when it is time for that.
func (m *Model) share() []Cmd {
	if m.nodes < 2 || m.now < m.shared.Add(shareEvery) {
		return nil
	}
	m.shared = m.now
	used := make(map[fleet.Incarnation]fleet.Use)
	for id, u := range m.upstreams {
		if u.reserved > 0 {
			used[id] = fleet.Use{Memory: u.reserved, Streams: u.inFlight}
		}
	}
	return []Cmd{ShareCmd{Used: used, Total: m.total(used), Limits: m.limits.Known(m.now)}}
}

// total adds up what this node and those that tell it alone have in use.
func (m *Model) total(own map[fleet.Incarnation]fleet.Use) map[fleet.Incarnation]fleet.Use {
	total := maps.Clone(own)
	for _, peer := range m.usage {
		if peer.total {
			continue
		}
		for id, use := range peer.used {
			total[id] = total[id].Plus(use)
		}
	}
	maps.DeleteFunc(total, func(id fleet.Incarnation, use fleet.Use) bool {
		u := m.upstreams[id]
		return u == nil || use.Memory < worthTelling*u.room && float64(use.Streams) < worthTelling*float64(u.entry.Slots)
	})
	return total
}

// noteUsage takes what another node has in use, in place of what it has told before.
// The sum for each engine is kept, since every request asks for it.
func (m *Model) noteUsage(msg UsageMsg) []Cmd {
	if msg.Total {
		m.limits.HeardAll(m.now, msg.DataCentre)
	} else {
		m.limits.Heard(m.now, msg.Node)
	}
	m.takeOff(m.usage[msg.Node].used)
	m.usage[msg.Node] = peerUsage{at: m.now, used: msg.Used, total: msg.Total}
	for id, use := range msg.Used {
		if u := m.upstreams[id]; u != nil {
			u.others = u.others.Plus(use)
		}
	}
	return m.toldLimits(msg)
}

// takeOff takes what a node has told off the sums.
func (m *Model) takeOff(used map[fleet.Incarnation]fleet.Use) {
	for id, use := range used {
		if u := m.upstreams[id]; u != nil {
			u.others = u.others.Minus(use)
		}
	}
}

// usageOf adds up what other nodes have told of an engine that is new here.
func (m *Model) usageOf(id fleet.Incarnation) fleet.Use {
	var sum fleet.Use
	for _, peer := range m.usage {
		sum = sum.Plus(peer.used[id])
	}
	return sum
}

// expireUsage drops what was told too long ago.
func (m *Model) expireUsage() {
	for node, peer := range m.usage {
		if m.now > peer.at.Add(usageLasts) {
			m.takeOff(peer.used)
			delete(m.usage, node)
		}
	}
}

// free returns the memory that is left at an engine, as far as is known. A node
// that has not been heard of lately is taken to use nothing: it is dead or cut
// off far more often than its datagrams are all lost. Where that is wrong the
// engine refuses, and is taken as full for a moment.
func (m *Model) free(u *upstream) float64 {
	free := u.room - u.reserved - m.othersUse(u).Memory
	if reported, ok := m.reported(u); ok {
		free = min(free, reported)
	}
	return free
}

// unheardFor is for how long after its start a node takes others that it has not heard of
// to use as much as itself: each tells every 0.3 s.
const unheardFor clock.Millis = 1000

// othersUse is what other nodes' requests take at an engine. A node that has just started
// has heard of none, and so have the others if all have started together: each takes the
// others to choose as it does. Without that all begin at the same engines until they have
// heard of each other.
func (m *Model) othersUse(u *upstream) fleet.Use {
	use := u.others
	if m.now >= unheardFor {
		return use
	}
	if unheard := m.near - m.heard(); unheard > 0 {
		use.Memory += u.reserved * float64(unheard)
		use.Streams += u.inFlight * unheard
	}
	return use
}

// heard is how many other nodes have told this one what they alone have in use.
func (m *Model) heard() int {
	n := 0
	for _, peer := range m.usage {
		if !peer.total {
			n++
		}
	}
	return n
}

// reported returns the memory that is left at an engine by its own word, if that
// is recent.
func (m *Model) reported(u *upstream) (free float64, ok bool) {
	if m.now > u.reportedAt.Add(reportLasts) {
		return 0, false
	}
	return u.reportedFree - max(0, u.reserved-u.reservedThen), true
}

// word tells whose word on an engine's memory counts now, and how old it is.
func (m *Model) word(u *upstream) (Word, clock.Millis) {
	if u.full(m.now) {
		return WordRefusal, m.now.Sub(u.refusedAt)
	}
	free := m.free(u)
	if reported, ok := m.reported(u); ok && reported <= free {
		return WordEngine, m.now.Sub(u.reportedAt)
	}
	oldest := clock.Millis(-1)
	for _, peer := range m.usage {
		if m.now <= peer.at.Add(usageLasts) && peer.used[u.entry.ID].Memory > 0 {
			oldest = max(oldest, m.now.Sub(peer.at))
		}
	}
	if oldest < 0 {
		return WordOwn, 0
	}
	return WordNodes, oldest
}

// whatLacks says why no chain could be built for a request.
func (m *Model) whatLacks(r *request) *Lack {
	lack := &Lack{Lack: chain.WhatLacks(0, r.service.Pipeline.Layers, r.tokens, m.holders(r, m.byService[r.service.Name], m.answers)), Word: WordOwn}
	if u := m.upstreams[lack.ID]; u != nil {
		lack.Word, lack.Age = m.word(u)
	}
	return lack
}
