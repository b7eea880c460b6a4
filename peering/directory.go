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

// registrationTTL is for how long a registration counts that is not renewed:
// two renewals and a half.
const registrationTTL clock.Millis = 300_000

// announcementTTL is the same for a node that is not registered and tells of itself a few times a
// second.
const announcementTTL clock.Millis = 60_000

// directory holds the nodes that are known. It is safe for concurrent use.
type directory struct {
	self *wire.Member
	mu   sync.Mutex
	// byName holds the others. Seeds that have not told their name yet stand
	// under their address.
	byName map[string]*wire.Member
	// renewals are the registrations as they were seen to change. VMs are
	// replaced under other names all the time, and nothing in the store runs out
	// by itself.
	renewals map[string]renewal
	// announcedAt are the nodes that are known by their own word alone, and when that came last.
	announcedAt map[string]clock.Millis
	// expired are the addresses of nodes whose registrations have run out, by
	// name. Hearsay does not bring them back.
	expired map[string]string
}

// renewal is when the store was told of a registration last, and when that was first seen.
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

// addReported notes nodes of which others have told, and returns whether any of them is
// new or has moved.
func (d *directory) addReported(members ...*wire.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := false
	for _, m := range members {
		if address, ok := d.expired[m.GetName()]; ok && address == m.GetAddress() {
			continue
		}
		news = d.put(m) || news
	}
	return news
}

// addSender notes a node that has spoken itself.
func (d *directory) addSender(now clock.Millis, m *wire.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.expired, m.GetName())
	if _, registered := d.renewals[m.GetName()]; !registered {
		d.announcedAt[m.GetName()] = now
	}
	return d.putOwnRecord(m)
}

// dropUnannounced forgets the nodes that are not registered and have not been heard for long.
// The caller holds the lock.
func (d *directory) dropUnannounced(now clock.Millis) (news bool) {
	for name, at := range d.announcedAt {
		_, registered := d.renewals[name]
		if !registered && now < at.Add(announcementTTL) {
			continue
		}
		delete(d.announcedAt, name)
		if !registered {
			news = true
			delete(d.byName, name)
		}
	}
	return news
}

// put takes in a node. The caller holds the lock.
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

// putOwnRecord takes in a node by its own word, which also counts where it can do more or less
// than was known: its VM was changed, or its program before did not tell. The caller holds
// the lock.
func (d *directory) putOwnRecord(m *wire.Member) bool {
	if known, ok := d.byName[m.GetName()]; ok && known.GetStrength() != m.GetStrength() {
		delete(d.byName, m.GetName())
	}
	return d.put(m)
}

// applyRegistrations notes all registrations, and returns whether the nodes have
// changed, and the registrations that have not been renewed for too long. What
// counts is when this node saw them change, so no two clocks are compared.
func (d *directory) applyRegistrations(now clock.Millis, list []Registration) (news bool, expired []Registration) {
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
			news = d.putOwnRecord(r.Member) || news
		case name != d.self.GetName() && now >= known.seenAt.Add(registrationTTL):
			expired = append(expired, r)
			d.expired[name] = r.Member.GetAddress()
			_, had := d.byName[name]
			news = news || had
			delete(d.byName, name)
		}
	}
	maps.DeleteFunc(d.renewals, func(name string, _ renewal) bool { return !listed[name] })
	return d.dropUnannounced(now) || news, expired
}

// others returns the other nodes, in the order of their names.
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

// shared returns the nodes of which others are told: not those that tell of themselves to whom
// they are to be known, of which there may be hundreds.
func (d *directory) shared() []*wire.Member {
	list := d.others()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(list, func(m *wire.Member) bool {
		_, heard := d.announcedAt[m.GetName()]
		return heard
	})
}

// rank returns how many nodes come before this one by name.
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
