package dispatch

import (
	"cmp"
	"maps"
	"slices"

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
	// worthSumming is the same for the nodes of a data centre that are told sums, and
	// mostSummed how many engines they are told of at the most: one takes some 25 bytes. What
	// is used less makes no engine dearer than another.
	worthSumming = 0.03
	mostSummed   = 300
)

// peerUsage is what another node has in use.
type peerUsage struct {
	at   clock.Millis
	used map[fleet.Incarnation]fleet.EngineUsage
	// total tells that it is another data centre's, whose name is centre, and whole that it
	// is that of all nodes.
	total  bool
	centre string
	whole  bool
}

// share tells the others what this node has in use, when it is time for that.
func (m *Model) share() []Cmd {
	if m.near == 0 && m.nodes.all < 2 || m.now < m.shared.Add(shareEvery) {
		return nil
	}
	m.nodes.add(m.now)
	m.shared = m.now
	used := make(map[fleet.Incarnation]fleet.EngineUsage)
	for id, u := range m.upstreams {
		if u.reserved > 0 {
			used[id] = fleet.EngineUsage{Memory: u.reserved, Streams: u.inFlight}
		}
	}
	m.told = used
	cmd := ShareCmd{Used: used, Limits: m.limits.Snapshot(m.now)}
	if !m.summed {
		cmd.Total, cmd.Whole, cmd.HeardOf = m.total(used), m.whole(), m.heardOf()
		cmd.Nodes = m.nodes.all
	}
	return []Cmd{cmd}
}

// whole is what the requests of all nodes take at the engines that are used most, as far as
// this node knows.
func (m *Model) whole() map[fleet.Incarnation]fleet.EngineUsage {
	type used struct {
		id   fleet.Incarnation
		use  fleet.EngineUsage
		part float64
	}
	var list []used
	for id, u := range m.upstreams {
		use := u.others.Plus(fleet.EngineUsage{Memory: u.reserved, Streams: u.inFlight})
		part := max(use.Memory/max(u.room, 1), float64(use.Streams)/float64(max(u.entry.Slots, 1)))
		if u.pipeline != nil && part >= worthSumming {
			list = append(list, used{id: id, use: use, part: part})
		}
	}
	slices.SortFunc(list, func(a, b used) int { return cmp.Or(cmp.Compare(b.part, a.part), a.id.Compare(b.id)) })
	whole := make(map[fleet.Incarnation]fleet.EngineUsage)
	for _, u := range list[:min(len(list), mostSummed)] {
		whole[u.id] = u.use
	}
	return whole
}

// heardOf are the other data centres of whose use this node has heard.
func (m *Model) heardOf() []string {
	var centres []string
	for _, peer := range m.usage {
		if peer.total {
			centres = append(centres, peer.centre)
		}
	}
	slices.Sort(centres)
	return centres
}

// total adds up what this node and those that tell it alone have in use.
func (m *Model) total(own map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	total := maps.Clone(own)
	for _, peer := range m.usage {
		if peer.total {
			continue
		}
		for id, use := range peer.used {
			total[id] = total[id].Plus(use)
		}
	}
	maps.DeleteFunc(total, func(id fleet.Incarnation, use fleet.EngineUsage) bool {
		u := m.upstreams[id]
		return u == nil || use.Memory < worthTelling*u.room && float64(use.Streams) < worthTelling*float64(u.entry.Slots)
	})
	return total
}

// noteUsage takes what another node has in use, in place of what it has told before.
// The sum for each engine is kept, since every request asks for it.
func (m *Model) noteUsage(msg UsageMsg) []Cmd {
	m.noteLife(msg)
	m.nodes.told(m.now, msg.DataCentre, msg.Whole, msg.Nodes)
	node, used := msg.Node, msg.Used
	switch {
	case m.summed != msg.Whole:
		// What a node has that is told sums is part of them, and a hub makes its own.
		return m.toldLimits(msg)
	case msg.Whole:
		node, used = allNodes, m.withoutOwn(used)
	}
	m.takeOff(m.usage[node].used)
	m.usage[node] = peerUsage{at: m.now, used: used, total: msg.Total, centre: msg.DataCentre, whole: msg.Whole}
	for id, use := range used {
		if u := m.upstreams[id]; u != nil {
			u.others = u.others.Plus(use)
		}
	}
	return m.toldLimits(msg)
}

// allNodes stands in for the name of a node in what all have in use: hubs take turns.
const allNodes = "all"

// noteLife notes signs of life in what another node tells.
func (m *Model) noteLife(msg UsageMsg) {
	if msg.Total || msg.Whole {
		m.limits.RecordDataCentreSeen(m.now, msg.DataCentre)
	}
	for _, centre := range msg.HeardOf {
		m.limits.RecordDataCentreSeen(m.now, centre)
	}
	if !msg.Total {
		m.limits.RecordSeen(m.now, msg.Node)
	}
}

// withoutOwn takes what this node has told last off what all nodes have in use.
func (m *Model) withoutOwn(whole map[fleet.Incarnation]fleet.EngineUsage) map[fleet.Incarnation]fleet.EngineUsage {
	others := make(map[fleet.Incarnation]fleet.EngineUsage, len(whole))
	for id, use := range whole {
		rest := use.Minus(m.told[id])
		others[id] = fleet.EngineUsage{Memory: max(rest.Memory, 0), Streams: max(rest.Streams, 0)}
	}
	return others
}

// forgetUsage drops all that was told.
func (m *Model) forgetUsage() {
	for node, peer := range m.usage {
		m.takeOff(peer.used)
		delete(m.usage, node)
	}
}

// takeOff takes what a node has told off the sums.
func (m *Model) takeOff(used map[fleet.Incarnation]fleet.EngineUsage) {
	for id, use := range used {
		if u := m.upstreams[id]; u != nil {
			u.others = u.others.Minus(use)
		}
	}
}

// usageOf adds up what other nodes have told of an engine that is new here.
func (m *Model) usageOf(id fleet.Incarnation) fleet.EngineUsage {
	var sum fleet.EngineUsage
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
func (m *Model) othersUse(u *upstream) fleet.EngineUsage {
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

// heard is of how many other nodes it is known what they have in use.
func (m *Model) heard() int {
	n := 0
	for _, peer := range m.usage {
		switch {
		case peer.whole:
			return m.near
		case !peer.total:
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
	lack := &Lack{MissingResource: chain.FindMissingResource(0, r.service.Pipeline.Layers, r.tokens, m.holders(r, m.byService[r.service.Name], m.answers)), Word: WordOwn}
	if u := m.upstreams[lack.ID]; u != nil {
		lack.Word, lack.Age = m.word(u)
	}
	return lack
}
