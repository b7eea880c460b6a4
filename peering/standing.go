package peering

import (
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// In a large data centre only some nodes have to register: the others find them at the
// registry, and are known to those whom they tell of themselves. A thousand registrations
// take the store five seconds, and a thousand nodes that read them a hundred megabytes.
const (
	// enoughRegistered is how many nodes of a data centre that can do as much as a node there
	// must be registered for it not to be needed. It is more than tell each other all, so
	// that who reads the registry sees that there are more.
	enoughRegistered = 25
	// minCapacity is from which strength on a VM is strong enough to be registered in any
	// case, and among the first.
	minCapacity = 4
	// normalCapacity is up to which strength nodes take the whole of registrationSpread.
	normalCapacity = 8
	// maxStartDelay is how long a node of the least strength waits before it turns to the registry
	// where the whole system starts, and stronger ones by so many times less, so that the
	// strong ones are registered by then; lowCapacitySpread sets the weak ones apart.
	maxStartDelay     clock.Millis = 2000
	lowCapacitySpread clock.Millis = 500
)

// registryStatus is how a node stands in the registry.
type registryStatus struct {
	registered bool
	// notNeeded tells that it is not needed there.
	notNeeded bool
}

// statusIn works out how a node stands among registrations.
func statusIn(list []Registration, self *wire.Member) registryStatus {
	var s registryStatus
	alike := 0
	for _, r := range list {
		if proto.Equal(r.Member, self) {
			s.registered = true
		}
		if r.Member.GetDataCentre() == self.GetDataCentre() && r.Member.GetStrength() >= self.GetStrength() {
			alike++
		}
	}
	_, weak := startDelay(self.GetStrength())
	s.notNeeded = weak && alike >= enoughRegistered
	return s
}

// startDelay is after what time a node of a strength turns to the registry where the whole
// system starts, and whether it is a weak one. One that does not tell its strength is not.
func startDelay(strength uint32) (turn clock.Millis, weak bool) {
	if strength == 0 || strength >= minCapacity {
		return 0, false
	}
	return maxStartDelay / clock.Millis(strength), true
}

// spreadFor is the part of registrationSpread in which a strong node registers: those that can
// do much are few, and are to be known by the time of the weak ones' turn.
func spreadFor(strength uint32) clock.Millis {
	if strength <= normalCapacity {
		return registrationSpread
	}
	return max(registrationSpread*normalCapacity/clock.Millis(strength), 1)
}

// MaxStartWait is how long a node of a strength, which starts with the whole system, may have to
// wait until it knows of other nodes.
func MaxStartWait(strength uint32) clock.Millis {
	turn, weak := startDelay(strength)
	if !weak {
		return 0
	}
	return turn + lowCapacitySpread + registryTimeout
}

// registryTimeout is what the registry may take for its answer.
const registryTimeout clock.Millis = 500
