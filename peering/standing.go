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
	// mostRegistered is how many nodes of a data centre that can do as much as a node there
	// must be registered for it not to be needed. It is more than tell each other all, so
	// that who reads the registry sees that there are more.
	mostRegistered = 25
	// weakStrength is from which strength on a VM is strong enough to be registered in any
	// case, and among the first.
	weakStrength = 4
	// usualStrength is up to which strength nodes take the whole of registerSpread.
	usualStrength = 8
	// firstTurn is how long a node of the least strength waits before it turns to the registry
	// where the whole system starts, and stronger ones by so many times less, so that the
	// strong ones are registered by then; weakSpread sets the weak ones apart.
	firstTurn  clock.Millis = 2000
	weakSpread clock.Millis = 500
)

// standing is how a node stands in the registry.
type standing struct {
	registered bool
	// enough tells that it is not needed there.
	enough bool
}

// standingIn works out how a node stands among registrations.
func standingIn(list []Registration, self *wire.Member) standing {
	var s standing
	alike := 0
	for _, r := range list {
		if proto.Equal(r.Member, self) {
			s.registered = true
		}
		if r.Member.GetDataCentre() == self.GetDataCentre() && r.Member.GetStrength() >= self.GetStrength() {
			alike++
		}
	}
	_, weak := startTurn(self.GetStrength())
	s.enough = weak && alike >= mostRegistered
	return s
}

// startTurn is after what time a node of a strength turns to the registry where the whole
// system starts, and whether it is a weak one. One that does not tell its strength is not.
func startTurn(strength uint32) (turn clock.Millis, weak bool) {
	if strength == 0 || strength >= weakStrength {
		return 0, false
	}
	return firstTurn / clock.Millis(strength), true
}

// strongSpread is the part of registerSpread in which a strong node registers: those that can
// do much are few, and are to be known by the time of the weak ones' turn.
func strongSpread(strength uint32) clock.Millis {
	if strength <= usualStrength {
		return registerSpread
	}
	return max(registerSpread*usualStrength/clock.Millis(strength), 1)
}

// StartWait is how long a node of a strength, which starts with the whole system, may have to
// wait until it knows of other nodes.
func StartWait(strength uint32) clock.Millis {
	turn, weak := startTurn(strength)
	if !weak {
		return 0
	}
	return turn + weakSpread + registryAnswer
}

// registryAnswer is what the registry may take for its answer.
const registryAnswer clock.Millis = 500
