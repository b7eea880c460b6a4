package follow

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// The limits of all waits and pauses of the followers stand here, since they add up.
// Two bounds hold for their sums; docs/LIMITS.md shows them, and a test keeps them.
//
// Connections may go silent for good, those to the store and those between nodes at
// once, also while a node finds out that others had. From any state, 3 s later, for which
// the users count a node as out of touch, all that is known is as new as it must be.
//
// A node that others follow may be frozen, be dead or be cut off from the store, and
// those others are well meanwhile: what changes must be known to them within the time
// that the operator sets (Within).
const (
	// usualWithin is within what time a change must be known where nothing else is set:
	// what the users set.
	usualWithin clock.Millis = 2000

	// StoreMargin is how much longer than asked the store may take to answer a wait. It
	// takes 4 ms, and sixty times that when it is slow.
	StoreMargin clock.Millis = 500
	// storeAnswer is what an answer of a slow store takes.
	storeAnswer clock.Millis = 250
	// longestWait is how long the store may hold a wait for the list where changes need
	// not be known sooner, and longestConfigWait the same for the configuration. An
	// answered wait proves the configuration fresh as of its sending, so while the next
	// one is open the proof gets up to twice as old as a wait lasts: keys must be known
	// within 5 s.
	longestWait       clock.Millis = 8000
	longestConfigWait clock.Millis = 1800
	// followedConfigWait is how long the store may hold a wait for the configuration at
	// a node that others follow. Its proof gets up to twice as old, 1.2 s, and within
	// VouchFor its followers notice that it has lost the store.
	followedConfigWait clock.Millis = 600
	// followedWait bounds the same for the list.
	followedWait clock.Millis = 1250
	// leastWait is the least wait that is left where something is taken off it.
	leastWait clock.Millis = 100

	// ReaderMargin is how much longer than asked another node may take to answer. It
	// stands near and answers in a few ms.
	ReaderMargin clock.Millis = 250
	// readerWait is how long another node may hold a wait for the list, and
	// readerConfigWait one for the configuration.
	readerWait       clock.Millis = 800
	readerConfigWait clock.Millis = 600

	// VouchFor is how old the proof may be with which a node tells others that there is
	// nothing newer.
	VouchFor clock.Millis = 1400
	// renewal is what is left of VouchFor to ask the store once more on a new connection:
	// it answers in 4 ms.
	renewal clock.Millis = 50
	// vouchSoon is for how long a node that is asked for the first time may let the
	// question wait until it can vouch, where there is time for that: it may learn only
	// now that it reads for others, and its first call to the store then takes 0.6 s.
	vouchSoon clock.Millis = 1000
	// IdleConnection is for how long a connection to the store, or to another node, is
	// kept without use. It may have gone silent meanwhile, and only a call shows it.
	IdleConnection clock.Millis = 500
)

// The pauses after a change of the list, in which further ones gather: at a start each
// server's entry would cost a call of its own. They delay what is learnt, not what
// counts from when it is learnt, and are taken off the next wait, so that they do not
// add to the time in which silence is noticed.
const (
	gatherAlone clock.Millis = 800
	// gatherFollowed is the pause where few nodes call the store: an engine that ends
	// should be known everywhere soon.
	gatherFollowed clock.Millis = 400
	// gatherYoung is the pause in a node's first moments, up to young: where all start
	// together, so do the servers.
	gatherYoung clock.Millis = 1100
	young       clock.Millis = 3000
)

// Pauses after calls that failed. Every call costs, refused ones too, and all nodes lose
// the store together: a pause doubles with each further failure.
const (
	firstRetry clock.Millis = 150
	// longestRetry leaves the time, of the 3 s after the store's return, in which entries
	// that vanished may come back.
	longestRetry clock.Millis = 600
	// leastHang is how long a call must have hung before the store is asked beside it:
	// longer than an answer of a slow store takes.
	leastHang = storeAnswer + 50
	// firstSitOut is for how long the follower of the list leaves it to that of the
	// configuration to find the store again, and longestSitOut the same after further
	// failures.
	firstSitOut   clock.Millis = 300
	longestSitOut clock.Millis = 3000
)

// limits are the limits that hang on within what time changes must be known.
type limits struct {
	// wait is how long the store may hold a wait for the list, and configWait one for
	// the configuration.
	wait       clock.Millis
	configWait clock.Millis
}

func limitsFor(within clock.Millis) limits {
	wait := max(within-StoreMargin-storeAnswer, leastWait)
	return limits{wait: min(wait, longestWait), configWait: min(wait, longestConfigWait)}
}

// readerLost is within what time a node asks the store that has lost the node that it
// follows and found its successor silent too. Either its wait there is over, and it has
// asked once more on a new connection, or the other node has stopped to vouch.
const readerLost = max(readerWait+2*ReaderMargin, VouchFor) + ReaderMargin

// Patience is how long a node whose reader has failed may wait for another one to have
// the store, before it must ask the store itself, where changes must be known within a
// time.
func Patience(within clock.Millis) clock.Millis {
	return max(within-readerLost-vouchSoon-storeAnswer, 0)
}

// VouchSoon is for how long a node that is asked for the first time may let the question
// wait until it can vouch.
func VouchSoon(within clock.Millis) clock.Millis { return min(vouchSoon, Patience(within)) }

// retryPause is the pause after a number of failed calls in a row.
func retryPause(failures int) clock.Millis { return doubled(firstRetry, failures, longestRetry) }

// sitOutFor is how long the store is left alone after a number of failed calls in a row.
func sitOutFor(failures int) clock.Millis { return doubled(firstSitOut, failures, longestSitOut) }

func doubled(first clock.Millis, failures int, most clock.Millis) clock.Millis {
	const mostDoubled = 8
	return min(first<<min(max(failures-1, 0), mostDoubled), most)
}

// ErrSilent marks the errors of calls that brought no answer although there was a
// connection. It may have gone silent, which says nothing of who is at its other end.
var ErrSilent = errors.New("follow: no answer on a connection")

// MarkSilent marks an error with which a call brought no answer, but for one of a
// connection that could not be opened.
func MarkSilent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return errors.Mark(err, ErrSilent)
}
