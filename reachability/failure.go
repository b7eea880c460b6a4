package reachability

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Failure is how a node failed to reach an upstream.
type Failure uint8

const (
	// NotConnected means that no connection could be opened or used.
	NotConnected Failure = iota
	// BrokenOff means that a connection broke after a request was written.
	BrokenOff
	// Silent means that a request was written and nothing came back in time.
	Silent
	// ProbeUnanswered means that the upstream answered no probe.
	ProbeUnanswered
)

var failureNames = [...]string{"not_connected", "broken_off", "silent", "probe_unanswered"}

// String returns the name of the failure in logs.
func (f Failure) String() string { return failureNames[f] }

// IsSilence reports whether the failure is only that nothing was heard in time.
func (f Failure) IsSilence() bool { return f == Silent || f == ProbeUnanswered }

// Link identifies an upstream and the data centre in which it runs.
type Link struct {
	Upstream   fleet.Incarnation
	DataCentre string
}

// failureRecord is the last failure to reach an upstream.
type failureRecord struct {
	kind Failure
	at   clock.Millis
}
