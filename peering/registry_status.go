package peering

import (
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// In a large data centre only some nodes have to register. The others find these in the
// registry, and send messages to those nodes that have to know them. A thousand registrations
// take the store five seconds, and a thousand nodes that each read them a hundred megabytes.
const (
	// enoughRegistered is the number of registrations of nodes of the same data centre, with at
	// least the capacity of a node, from which that node need not register. It exceeds the
	// number of nodes up to which all exchange messages with each other, so that readers of the
	// registry see that there are more.
	enoughRegistered = 25
	// minCapacity is the capacity of a VM from which nodes always register, and do so first.
	minCapacity = 4
	// normalCapacity is the capacity up to which such nodes use all of registrationSpread.
	normalCapacity = 8
	// maxStartDelay is how long a node with a capacity of 1 waits before its first registry
	// access when the whole system starts. Nodes with a capacity of n below minCapacity wait
	// one n-th of that. By then the nodes from minCapacity on are registered. lowCapacitySpread
	// is the time over which the accesses of these low-capacity nodes are spread.
	maxStartDelay     clock.Millis = 2000
	lowCapacitySpread clock.Millis = 500
)

// registryStatus is the status of a node in the registry.
type registryStatus struct {
	registered bool
	// notNeeded is set if enough other nodes are registered.
	notNeeded bool
}

// statusIn returns the status of a node among registrations.
func statusIn(list []Registration, self *wire.Member) registryStatus {
	var status registryStatus
	comparable := 0
	for _, r := range list {
		if proto.Equal(r.Member, self) {
			status.registered = true
		}
		if r.Member.GetDataCentre() == self.GetDataCentre() && r.Member.GetStrength() >= self.GetStrength() {
			comparable++
		}
	}
	_, lowCapacity := startDelay(self.GetStrength())
	status.notNeeded = lowCapacity && comparable >= enoughRegistered
	return status
}

// startDelay returns how long a node of a capacity waits before its first registry access when
// the whole system starts, and whether it is a low-capacity node. A node that does not report
// its capacity is not.
func startDelay(capacity uint32) (delay clock.Millis, lowCapacity bool) {
	if capacity == 0 || capacity >= minCapacity {
		return 0, false
	}
	return maxStartDelay / clock.Millis(capacity), true
}

// spreadFor returns the part of registrationSpread over which nodes of a capacity register.
// Nodes of a high capacity are few, and must be known before the low-capacity nodes access the
// registry.
func spreadFor(capacity uint32) clock.Millis {
	if capacity <= normalCapacity {
		return registrationSpread
	}
	return max(registrationSpread*normalCapacity/clock.Millis(capacity), 1)
}

// MaxStartWait returns how long a node of a capacity may have to wait until it knows other
// nodes when the whole system starts.
func MaxStartWait(capacity uint32) clock.Millis {
	delay, lowCapacity := startDelay(capacity)
	if !lowCapacity {
		return 0
	}
	return delay + lowCapacitySpread + registryTimeout
}

// registryTimeout is how long the registry may take to answer.
const registryTimeout clock.Millis = 500
