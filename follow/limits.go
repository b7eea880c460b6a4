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
	// defaultChangeDeadline is within what time a change must be known where nothing else is set:
	// what the users set.
	defaultChangeDeadline clock.Millis = 2000

	// StoreMargin is how much longer than asked the store may take to answer a wait. It
	// takes 4 ms, and sixty times that when it is slow.
	StoreMargin clock.Millis = 500
	// slowStoreAnswer is what an answer of a slow store takes.
	slowStoreAnswer clock.Millis = 250
	// maxListWait is how long the store may hold a wait for the list where changes need
	// not be known sooner, and maxConfigWait the same for the configuration. An
	// answered wait proves the configuration fresh as of its sending, so while the next
	// one is open the proof gets up to twice as old as a wait lasts: keys must be known
	// within 5 s.
	maxListWait   clock.Millis = 8000
	maxConfigWait clock.Millis = 1800
	// followedConfigWait is how long the store may hold a wait for the configuration at
	// a node that others follow. Its proof gets up to twice as old, 1.2 s, and within
	// ProofLifetime its followers notice that it has lost the store.
	followedConfigWait clock.Millis = 600
	// followedListWait bounds the same for the list.
	followedListWait clock.Millis = 1250
	// minWait is the least wait that is left where something is taken off it.
	minWait clock.Millis = 100

	// ReaderMargin is how much longer than asked another node may take to answer. It
	// stands near and answers in a few ms.
	ReaderMargin clock.Millis = 250
	// readerListWait is how long another node may hold a wait for the list, and
	// readerConfigWait one for the configuration.
	readerListWait   clock.Millis = 800
	readerConfigWait clock.Millis = 600

	// ProofLifetime is how old the proof may be with which a node tells others that there is
	// nothing newer.
	ProofLifetime clock.Millis = 1400
	// renewalTime is what is left of ProofLifetime to ask the store once more on a new connection:
	// it answers in 4 ms.
	renewalTime clock.Millis = 50
	// firstRequestWait is for how long a node that is asked for the first time may let the
	// question wait until it can vouch, where there is time for that: it may learn only
	// now that it reads for others, and its first call to the store then takes 0.6 s.
	firstRequestWait clock.Millis = 1000
	// IdleConnTimeout is for how long a connection to the store, or to another node, is
	// kept without use. It may have gone silent meanwhile, and only a call shows it.
	IdleConnTimeout clock.Millis = 500
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
	// gatherAtStart is the pause in a node's first moments, up to young: where all start
	// together, so do the servers.
	gatherAtStart clock.Millis = 1100
	startPeriod   clock.Millis = 3000
)

// Pauses after calls that failed. Every call costs, refused ones too, and all nodes lose
// the store together: a pause doubles with each further failure.
const (
	minRetryPause clock.Millis = 150
	// maxRetryPause leaves the time, of the 3 s after the store's return, in which entries
	// that vanished may come back.
	maxRetryPause clock.Millis = 600
	// minHang is how long a call must have hung before the store is asked beside it:
	// longer than an answer of a slow store takes.
	minHang = slowStoreAnswer + 50
	// minStorePause is for how long the follower of the list leaves it to that of the
	// configuration to find the store again, and maxStorePause the same after further
	// failures.
	minStorePause clock.Millis = 300
	maxStorePause clock.Millis = 3000
)

// limits are the limits that hang on within what time changes must be known.
type limits struct {
	// listWait is how long the store may hold a wait for the list, and configWait one for
	// the configuration.
	listWait   clock.Millis
	configWait clock.Millis
}

func limitsFor(within clock.Millis) limits {
	wait := max(within-StoreMargin-slowStoreAnswer, minWait)
	return limits{listWait: min(wait, maxListWait), configWait: min(wait, maxConfigWait)}
}

// readerLossDelay is within what time a node asks the store that has lost the node that it
// follows and found its successor silent too. Either its wait there is over, and it has
// asked once more on a new connection, or the other node has stopped to vouch.
const readerLossDelay = max(readerListWait+2*ReaderMargin, ProofLifetime) + ReaderMargin

// FailoverWait is how long a node whose reader has failed may wait for another one to have
// the store, before it must ask the store itself, where changes must be known within a
// time.
func FailoverWait(within clock.Millis) clock.Millis {
	return max(within-readerLossDelay-firstRequestWait-slowStoreAnswer, 0)
}

// FirstRequestWait is for how long a node that is asked for the first time may let the question
// wait until it can vouch.
func FirstRequestWait(within clock.Millis) clock.Millis {
	return min(firstRequestWait, FailoverWait(within))
}

// retryPause is the pause after a number of failed calls in a row.
func retryPause(failures int) clock.Millis {
	return exponentialPause(minRetryPause, failures, maxRetryPause)
}

// storePause is how long the store is left alone after a number of failed calls in a row.
func storePause(failures int) clock.Millis {
	return exponentialPause(minStorePause, failures, maxStorePause)
}

func exponentialPause(first clock.Millis, failures int, most clock.Millis) clock.Millis {
	const mostDoubled = 8
	return min(first<<min(max(failures-1, 0), mostDoubled), most)
}

// ErrNoAnswer marks the errors of calls that brought no answer although there was a
// connection. It may have gone silent, which says nothing of who is at its other end.
var ErrNoAnswer = errors.New("follow: no answer on a connection")

// MarkNoAnswer marks an error with which a call brought no answer, but for one of a
// connection that could not be opened.
func MarkNoAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return errors.Mark(err, ErrNoAnswer)
}
