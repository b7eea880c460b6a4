package core

import (
	"github.com/hoistjunction/hoistjunction/wire"
)

// snapshotInterval is how many versions lie between whole configurations in the
// object store. A node that starts reads one of them, and the records after.
const snapshotInterval = 64

// headReceived takes in the newest version in the platform's table.
func (m *Model) headReceived(msg HeadMsg) {
	if msg.Version > m.tracker.Version() {
		m.fetchChanges("")
	}
}

// fetchChanges asks for the records that are missing here, one request at a
// time.
func (m *Model) fetchChanges(address string) {
	if m.fetching {
		return
	}
	m.fetching = true
	m.addCmd(&FetchChangesCmd{After: m.tracker.Version(), Address: address})
}

// changesReceived puts newer versions in force. Older ones are passed over, and a gap
// waits for the next fetch.
func (m *Model) changesReceived(msg ChangesMsg) {
	m.fetching = false
	before := m.tracker.Version()
	if msg.Snapshot != nil && m.tracker.Replace(msg.Snapshot) {
		m.rebuild()
	}
	for _, r := range msg.Records {
		m.applyRecord(r)
	}
	if m.tracker.Version() != before {
		m.versionApplied()
	}
}

func (m *Model) applyRecord(r *wire.ChangeRecord) {
	changed, err := m.tracker.Add(r)
	if err != nil || !changed {
		return
	}
	for _, c := range r.GetChanges() {
		m.applyChange(c)
	}
	if r.GetVersion()%snapshotInterval == 0 {
		m.maybeWriteSnapshot()
	}
}

// maybeWriteSnapshot writes the whole configuration into the object store. Every node
// would write the same bytes; one in about a handful does.
func (m *Model) maybeWriteSnapshot() {
	if m.rng.IntN(m.members.Len()+1) < snapshotWriters {
		m.addCmd(&SnapshotCmd{Config: m.tracker.Current()})
	}
}

// snapshotWriters is about how many nodes write each snapshot, so that one
// gets through when some of them fail.
const snapshotWriters = 2

// versionApplied tells the rest of the node, and its peers, of the version.
func (m *Model) versionApplied() {
	m.node.Version = m.tracker.Version()
	m.stats.Versions++
	m.answerProposals()
}

// rebuild derives everything from a whole configuration.
func (m *Model) rebuild() {
	c := m.tracker.Current()
	clear(m.accounts)
	old := m.accountsByName
	m.accountsByName = make(map[string]*account, len(c.GetAccounts()))
	for _, a := range c.GetAccounts() {
		m.putAccount(a, old[a.GetName()])
	}
	m.rebuildRoutes()
}

// applyChange derives what one change touches. An account's change does not
// look at the other accounts.
func (m *Model) applyChange(c *wire.Change) {
	switch e := c.GetEdit().(type) {
	case *wire.Change_PutAccount:
		m.putAccount(e.PutAccount, m.accountsByName[e.PutAccount.GetName()])
	case *wire.Change_DeleteAccount:
		m.deleteAccount(e.DeleteAccount)
	default:
		m.rebuildRoutes()
	}
}

func (m *Model) putAccount(c *wire.ClientAccount, a *account) {
	if a == nil {
		a = newAccount(c)
	} else {
		delete(m.accounts, keyHashOf(a.config))
		a.config = c
	}
	m.accounts[keyHashOf(c)] = a
	m.accountsByName[c.GetName()] = a
}

func (m *Model) deleteAccount(name string) {
	a := m.accountsByName[name]
	if a == nil {
		return
	}
	delete(m.accounts, keyHashOf(a.config))
	delete(m.accountsByName, name)
}

func keyHashOf(c *wire.ClientAccount) KeyHash {
	var h KeyHash
	copy(h[:], c.GetKeyHash())
	return h
}

func (m *Model) rebuildRoutes() {
	c := m.tracker.Current()
	lanes := make(map[string]*lane, len(m.lanes))
	for _, l := range m.lanes {
		lanes[l.name] = l
	}
	m.lanes = nil
	old := m.routes
	m.routes = make(map[string]*route, len(c.GetRoutes()))
	for _, rc := range c.GetRoutes() {
		r := &route{config: rc, lane: m.laneFor(rc, lanes)}
		if before := old[rc.GetName()]; before != nil {
			r.latencies = before.latencies
		}
		m.routes[rc.GetName()] = r
	}
}

// laneFor returns the lane of a route, which it shares with all routes to the
// same pipeline or service.
func (m *Model) laneFor(rc *wire.Route, lanes map[string]*lane) *lane {
	name := "service/" + rc.GetService()
	groups := []string{rc.GetService()}
	var p *wire.Pipeline
	if rc.GetPipeline() != "" {
		name = "pipeline/" + rc.GetPipeline()
		p, groups = m.pipeline(rc.GetPipeline())
	}
	for _, l := range m.lanes {
		if l.name == name {
			return l
		}
	}
	l := lanes[name]
	if l == nil {
		l = m.newLane(name, p, groups)
	} else {
		l.setGroups(m.pool, p, groups)
	}
	m.lanes = append(m.lanes, l)
	return l
}

func (m *Model) pipeline(name string) (*wire.Pipeline, []string) {
	for _, p := range m.tracker.Current().GetPipelines() {
		if p.GetName() != name {
			continue
		}
		var groups []string
		for _, s := range p.GetStages() {
			groups = append(groups, s.GetPool())
		}
		return p, groups
	}
	return nil, nil
}
