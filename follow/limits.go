package follow

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// This file defines the bounds of all waits and pauses of the followers, because they add up.
// Their sums must stay within two deadlines; docs/LIMITS.md lists the sums and a test checks
// them.
//
// Connections may become unresponsive for good, to the store and between nodes at the same time,
// even while a node detects that others had. In any state, all data must be up to date again
// 3 s later; users count a node as disconnected for that long.
//
// A reader may freeze, crash or be disconnected from the store while its followers are healthy.
// Its followers must get each change within the deadline that the operator sets
// (WithChangeDeadline).
const (
	// defaultChangeDeadline is the deadline for changes if none is set. It is the value that
	// users set.
	defaultChangeDeadline clock.Millis = 2000

	// StoreMargin is how much longer than its wait a call to the store may take. The store
	// answers in 4 ms, and takes sixty times that when it is slow.
	StoreMargin clock.Millis = 500
	// slowStoreAnswer is the response time of a slow store.
	slowStoreAnswer clock.Millis = 250
	// maxListWait bounds how long the store may hold a call for the list if the deadline for
	// changes allows it, and maxConfigWait the same for the configuration. An answer proves the
	// configuration as of the sending of its call. While the next call is open, the proof
	// therefore gets up to twice as old as a wait, and changes of keys must arrive within 5 s.
	maxListWait   clock.Millis = 8000
	maxConfigWait clock.Millis = 1800
	// followedConfigWait is how long the store may hold a call for the configuration of a node
	// with followers. Its proof gets up to twice as old, 1.2 s, and its followers notice within
	// ProofLifetime that it has lost the store.
	followedConfigWait clock.Millis = 600
	// followedListWait bounds the same for the list.
	followedListWait clock.Millis = 1250
	// minWait is the shortest wait after subtractions.
	minWait clock.Millis = 100

	// ReaderMargin is how much longer than its wait a call to a reader may take. Readers are
	// nearby and answer in a few ms.
	ReaderMargin clock.Millis = 250
	// readerListWait is how long a reader may hold a call for the list, and readerConfigWait
	// one for the configuration.
	readerListWait   clock.Millis = 800
	readerConfigWait clock.Millis = 600

	// ProofLifetime is the maximum age of the proof with which a reader confirms to followers
	// that their data is the newest.
	ProofLifetime clock.Millis = 1400
	// renewalTime is the part of ProofLifetime that is reserved for one more call to the store
	// on a new connection. The store answers in 4 ms.
	renewalTime clock.Millis = 50
	// firstRequestWait bounds how long a node may hold the first request of a follower until it
	// has a proof. It may learn only from this request that it is the reader, and its first
	// call to the store then takes 0.6 s.
	firstRequestWait clock.Millis = 1000
	// IdleConnTimeout is how long an idle connection to the store or to another node is kept.
	// It may have become unresponsive meanwhile, which only the next call shows.
	IdleConnTimeout clock.Millis = 500
)

// Pauses after a change of the list, during which further changes collect at the store. Without
// them, each server that starts would cause one more call. A pause delays changes and is
// subtracted from the next wait, so it does not delay the detection of an unresponsive
// connection.
const (
	// gatherAlone is the pause of a node that has no reader and no followers.
	gatherAlone clock.Millis = 800
	// gatherFollowed is the pause where few nodes call the store, so that the crash of an
	// engine is known on all nodes soon.
	gatherFollowed clock.Millis = 400
	// gatherAtStart is the pause until startPeriod after the node's start, because servers
	// often start together with the nodes.
	gatherAtStart clock.Millis = 1100
	startPeriod   clock.Millis = 3000
)

// Pauses after failed calls. They double with each further failure, because every call is
// expensive even if the store rejects it, and all nodes lose the store together.
const (
	// minRetryPause is the pause after the first failed call.
	minRetryPause clock.Millis = 150
	// maxRetryPause leaves enough of the 3 s after a recovery for falsely removed entries to be
	// listed again.
	maxRetryPause clock.Millis = 600
	// minHang is how long a call must be open before a second one is sent. It exceeds the
	// response time of a slow store.
	minHang = slowStoreAnswer + 50
	// minStorePause is how long the follower of the list waits for the follower of the
	// configuration to reach the store again, and maxStorePause the same after further
	// failures.
	minStorePause clock.Millis = 300
	maxStorePause clock.Millis = 3000
)

// limits are the bounds that depend on the deadline for changes.
type limits struct {
	// listWait is how long the store may hold a call for the list, and configWait one for the
	// configuration.
	listWait   clock.Millis
	configWait clock.Millis
}

func limitsFor(deadline clock.Millis) limits {
	wait := max(deadline-StoreMargin-slowStoreAnswer, minWait)
	return limits{listWait: min(wait, maxListWait), configWait: min(wait, maxConfigWait)}
}

// readerLossDelay is the time until a node calls the store after its reader and the next one
// have become unresponsive: either a wait and one more call on a new connection time out, or
// the next reader's proof expires.
const readerLossDelay = max(readerListWait+2*ReaderMargin, ProofLifetime) + ReaderMargin

// FailoverWait returns how long a node whose reader has failed may wait for another one to
// reach the store before it must call the store itself to meet a deadline for changes.
func FailoverWait(deadline clock.Millis) clock.Millis {
	return max(deadline-readerLossDelay-firstRequestWait-slowStoreAnswer, 0)
}

// FirstRequestWait returns how long a node may hold the first request of a follower until it
// has a proof, for a deadline for changes.
func FirstRequestWait(deadline clock.Millis) clock.Millis {
	return min(firstRequestWait, FailoverWait(deadline))
}

// retryPause returns the pause after a number of consecutive failed calls.
func retryPause(failures int) clock.Millis {
	return exponentialPause(minRetryPause, failures, maxRetryPause)
}

// storePause returns how long the follower of the list does not call the store after a number
// of consecutive failed calls.
func storePause(failures int) clock.Millis {
	return exponentialPause(minStorePause, failures, maxStorePause)
}

// exponentialPause returns first, doubled for each failure after the first one, up to most.
func exponentialPause(first clock.Millis, failures int, most clock.Millis) clock.Millis {
	const maxDoublings = 8
	return min(first<<min(max(failures-1, 0), maxDoublings), most)
}

// ErrNoAnswer marks errors of calls that got no answer on an established connection. The
// connection may be unresponsive while the other end is healthy.
var ErrNoAnswer = errors.New("follow: no answer on a connection")

// MarkNoAnswer marks the error of a call that got no answer, unless the connection could not be
// opened.
func MarkNoAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return errors.Mark(err, ErrNoAnswer)
}
