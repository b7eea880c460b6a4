package relay

import (
	"context"
	"net/http"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// CallerHead is what the head of a caller's request says.
type CallerHead struct {
	// ID is the name of this try; answers carry it too.
	ID string
	// Key is the caller's key; HasKey tells that one was sent.
	Key    string
	HasKey bool
	// Remaining is how long the caller will wait; zero where it does not say.
	Remaining clock.Millis
	// Sizes of a generation in tokens; zero where they were not sent.
	PromptTokens int
	AnswerTokens int
	HintTokens   int
}

// AttemptHead is what a node says in the head of an attempt.
type AttemptHead struct {
	// Upstream is the one meant; any other that has its address refuses.
	Upstream fleet.Incarnation
	Account  string
	// Priority is the request's rank at an engine, 0 being the first. Plain
	// services know none.
	Priority int
	// Remaining is how long the upstream may work on it.
	Remaining clock.Millis
	Chain     []chain.Stage
	// LastEventID is the last event that the caller has; empty for none.
	LastEventID string
}

// AnswerHead is what the head of an upstream's answer says.
type AnswerHead struct {
	// ID is the try that is answered.
	ID string
	// Sealed tells that the answer is the upstream's own word on the request.
	Sealed bool
	// NotExecuted tells that the upstream has not run the request and will not.
	NotExecuted bool
	// Misdirected tells that the upstream is not the one meant, or does not
	// hold what was asked of it.
	Misdirected bool
	// At is the address of the upstream at fault, if it is another.
	At string
	// Responder is the upstream that answers, where it says so as it refuses what was meant
	// for another one; empty otherwise.
	Responder fleet.ID
	// UpstreamStatus is what the upstream says of itself.
	UpstreamStatus UpstreamStatus
}

// Protocol translates heads.
type Protocol interface {
	CallerHead(h http.Header) CallerHead
	SetAttempt(h http.Header, a AttemptHead)
	AnswerHead(status int, h http.Header) AnswerHead
}

// StalledStream is a stream that an engine reports as standing still.
type StalledStream struct {
	// ID is the caller's name of the try, and At the address of the engine
	// that it waits for.
	ID string
	At string
}

// EngineReport is an engine's own account of itself.
type EngineReport struct {
	// Stalled are the streams that began there and stand still.
	Stalled []StalledStream
	// Identified tells that the report says that it is of the run that was asked.
	Identified bool
	dispatch.Report
}

// Engines asks upstreams for their state and gives them orders. Identify tells who answers
// at an upstream's address.
type Engines interface {
	Report(ctx context.Context, address string, upstream fleet.Incarnation) (EngineReport, error)
	Move(ctx context.Context, address, callerID string, parts []chain.Stage) (result dispatch.MigrationResult, at string)
	Probe(ctx context.Context, address string, upstream fleet.Incarnation) error
	Identify(ctx context.Context, address, path string, upstream fleet.Incarnation) (fleet.Presence, error)
}
