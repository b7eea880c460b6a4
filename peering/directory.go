package peering

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

// registrationTTL is how long a registration is valid without a renewal: two and a half renewal
// intervals.
const registrationTTL clock.Millis = 300_000

// announcementTTL is how long an unregistered node is kept after its last message. Such nodes
// send some messages per second.
const announcementTTL clock.Millis = 60_000

// directory holds the known nodes. It is safe for concurrent use.
type directory struct {
	self *wire.Member
	mu   sync.Mutex
	// byName holds the other nodes. Seeds whose name is unknown are stored under their address.
	byName map[string]*wire.Member
	// renewals holds the last seen change of each registration. VMs are replaced under new
	// names all the time, and the store does not expire registrations.
	renewals map[string]renewal
	// announcedAt maps unregistered nodes to the time of their last message.
	announcedAt map[string]clock.Millis
	// expired holds the addresses of nodes whose registrations expired, by name. Reports of
	// other nodes do not add these nodes again.
	expired map[string]string
}

// renewal is the moment of the store at which a registration was last written, and the time at
// which this node first saw that write.
type renewal struct {
	writtenAt moment.Moment
	seenAt    clock.Millis
}

func newDirectory(self *wire.Member, seeds []string) *directory {
	d := &directory{
		self: self, byName: make(map[string]*wire.Member),
		renewals: make(map[string]renewal), announcedAt: make(map[string]clock.Millis), expired: make(map[string]string),
	}
	for _, address := range seeds {
		if address != self.GetAddress() {
			d.byName[address] = &wire.Member{Address: address}
		}
	}
	return d
}

// addReported adds nodes that another node reported, and reports whether any of them is new or
// has a new address.
func (d *directory) addReported(members ...*wire.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, m := range members {
		if address, ok := d.expired[m.GetName()]; ok && address == m.GetAddress() {
			continue
		}
		changed = d.put(m) || changed
	}
	return changed
}

// addSender adds the sender of a message, and reports whether it is new or changed.
func (d *directory) addSender(now clock.Millis, m *wire.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.expired, m.GetName())
	if _, registered := d.renewals[m.GetName()]; !registered {
		d.announcedAt[m.GetName()] = now
	}
	return d.putOwnRecord(m)
}

// dropUnannounced removes unregistered nodes without a recent message, and reports whether
// there were any. The caller holds the lock.
func (d *directory) dropUnannounced(now clock.Millis) (changed bool) {
	for name, at := range d.announcedAt {
		_, registered := d.renewals[name]
		if !registered && now < at.Add(announcementTTL) {
			continue
		}
		delete(d.announcedAt, name)
		if !registered {
			changed = true
			delete(d.byName, name)
		}
	}
	return changed
}

// put adds a node, and reports whether it is new or has a new address. The caller holds the
// lock.
func (d *directory) put(m *wire.Member) bool {
	if m.GetName() == "" || m.GetName() == d.self.GetName() {
		return false
	}
	delete(d.byName, m.GetAddress())
	if known, ok := d.byName[m.GetName()]; ok && known.GetAddress() == m.GetAddress() {
		return false
	}
	d.byName[m.GetName()] = m
	return true
}

// putOwnRecord adds a node by its own record, and reports whether it is new or changed. A
// changed capacity counts too: the VM was resized, or the node's previous version did not
// report it. The caller holds the lock.
func (d *directory) putOwnRecord(m *wire.Member) bool {
	if known, ok := d.byName[m.GetName()]; ok && known.GetStrength() != m.GetStrength() {
		delete(d.byName, m.GetName())
	}
	return d.put(m)
}

// applyRegistrations applies a complete list of registrations. It reports whether the known
// nodes changed, and returns the registrations that expired. Expiry counts from the time at
// which this node saw a registration change, so that no clocks of two machines are compared.
func (d *directory) applyRegistrations(now clock.Millis, list []Registration) (changed bool, expired []Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		name := r.Member.GetName()
		listed[name] = true
		known, ok := d.renewals[name]
		switch {
		case !ok || known.writtenAt != r.Renewed:
			d.renewals[name] = renewal{writtenAt: r.Renewed, seenAt: now}
			delete(d.expired, name)
			changed = d.putOwnRecord(r.Member) || changed
		case name != d.self.GetName() && now >= known.seenAt.Add(registrationTTL):
			expired = append(expired, r)
			d.expired[name] = r.Member.GetAddress()
			_, wasKnown := d.byName[name]
			changed = changed || wasKnown
			delete(d.byName, name)
		}
	}
	maps.DeleteFunc(d.renewals, func(name string, _ renewal) bool { return !listed[name] })
	return d.dropUnannounced(now) || changed, expired
}

// others returns the other nodes, ordered by name.
func (d *directory) others() []*wire.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*wire.Member, 0, len(d.byName))
	for _, m := range d.byName {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *wire.Member) int {
		return cmp.Or(strings.Compare(a.GetName(), b.GetName()), strings.Compare(a.GetAddress(), b.GetAddress()))
	})
	return list
}

// shared returns the nodes that are reported to peers. Unregistered nodes are left out: there
// may be hundreds, and they send messages themselves to the nodes that have to know them.
func (d *directory) shared() []*wire.Member {
	list := d.others()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(list, func(m *wire.Member) bool {
		_, unregistered := d.announcedAt[m.GetName()]
		return unregistered
	})
}

// rank returns how many other nodes precede this one by name.
func (d *directory) rank() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	rank := 0
	for _, m := range d.byName {
		if m.GetName() != "" && m.GetName() < d.self.GetName() {
			rank++
		}
	}
	return rank
}
