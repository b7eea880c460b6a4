package peering

import (
	"slices"
	"strings"
	"sync"

	"github.com/hoistjunction/hoistjunction/wire"
)

// directory holds the nodes that are known. It is safe for concurrent use.
type directory struct {
	self *wire.Member
	mu   sync.Mutex
	// byName holds the others. Seeds that have not told their name yet stand
	// under their address.
	byName map[string]*wire.Member
}

func newDirectory(self *wire.Member, seeds []string) *directory {
	d := &directory{self: self, byName: make(map[string]*wire.Member)}
	for _, address := range seeds {
		if address != self.GetAddress() {
			d.byName[address] = &wire.Member{Address: address}
		}
	}
	return d
}

// add notes nodes, and returns whether any of them is new or has moved.
func (d *directory) add(members ...*wire.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := false
	for _, m := range members {
		if m.GetName() == "" || m.GetName() == d.self.GetName() {
			continue
		}
		delete(d.byName, m.GetAddress())
		if known, ok := d.byName[m.GetName()]; ok && known.GetAddress() == m.GetAddress() {
			continue
		}
		d.byName[m.GetName()] = m
		news = true
	}
	return news
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
		return strings.Compare(a.GetName()+a.GetAddress(), b.GetName()+b.GetAddress())
	})
	return list
}

// rank returns how many nodes come before this one by name.
func (d *directory) rank() int {
	rank := 0
	for _, m := range d.others() {
		if m.GetName() != "" && m.GetName() < d.self.GetName() {
			rank++
		}
	}
	return rank
}
