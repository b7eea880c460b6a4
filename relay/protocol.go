package relay

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// CallerHead holds the values from the headers of a caller's request.
type CallerHead struct {
	// ID is the caller's id for this attempt; the answer carries it too.
	ID string
	// Key is the caller's key; HasKey reports whether one was sent.
	Key    string
	HasKey bool
	// Remaining is the time until the caller's deadline; zero if none was sent.
	Remaining clock.Millis
	// PromptTokens, AnswerTokens and HintTokens are the size of the prompt, the maximum size of
	// the answer and the caller's estimate of it, in tokens; zero if not sent.
	PromptTokens int
	AnswerTokens int
	HintTokens   int
	// PromptParts are the parts of the prompt that other requests may share; empty if not sent.
	PromptParts []work.ID
}

// AttemptHead holds the values that a node puts into the headers of a request to an upstream.
type AttemptHead struct {
	// Upstream is the intended incarnation; any other one at its address rejects the request.
	Upstream fleet.Incarnation
	Account  string
	// Priority is the request's priority at an engine, 0 being the highest. Plain services have
	// no priorities.
	Priority int
	// Remaining is the time that the upstream has for the request.
	Remaining clock.Millis
	Chain     []chain.Stage
	// LastEventID is the id of the last event that the caller has received; empty for none.
	LastEventID string
}

// ForwardHead holds the values that a node puts into the headers of a request that it passes on to
// another node.
type ForwardHead struct {
	// Remaining is the time that the other node has for the request.
	Remaining clock.Millis
	// LastEventID is the id of the last event that the caller has received; empty for none.
	LastEventID string
}

// AnswerHead holds the values from the headers of an upstream's answer.
type AnswerHead struct {
	// ID is the caller's id of the attempt that is answered.
	ID string
	// Sealed reports whether the upstream itself produced the answer.
	Sealed bool
	// NotExecuted reports whether the upstream has not executed the request and will not
	// execute it.
	NotExecuted bool
	// Misdirected reports whether the request reached an upstream that is not the intended one
	// or does not hold the requested layers.
	Misdirected bool
	// At is the address of the upstream that caused the failure, if it is another one.
	At string
	// Responder is the id of the upstream that answered a request intended for another one;
	// empty if not sent.
	Responder fleet.ID
	// UpstreamStatus is the status that the upstream reports in the headers.
	UpstreamStatus UpstreamStatus
}

// Protocol reads and writes the headers of requests and answers.
type Protocol interface {
	CallerHead(h http.Header) CallerHead
	SetAttempt(h http.Header, a AttemptHead)
	SetForwarded(h http.Header, f ForwardHead)
	AnswerHead(status int, h http.Header) AnswerHead
}

// StalledStream is a stream that an engine reports as stalled.
type StalledStream struct {
	// ID is the caller's id of the attempt, and At the address of the engine that the stream
	// waits for.
	ID string
	At string
}

// EngineReport is an engine's report on its own state.
type EngineReport struct {
	// Stalled are the stalled streams for which the engine is the first of the chain.
	Stalled []StalledStream
	// Identified reports whether the report names the incarnation that was asked for.
	Identified bool
	dispatch.Report
}

// ErrOtherUpstream is the error of a probe that another upstream than the probed one has rejected.
var ErrOtherUpstream = errors.New("relay: another upstream has the address")

// Engines queries upstreams and sends them orders. Probe checks whether an upstream answers; its error is
// ErrOtherUpstream if another one rejects the probe. Identify asks which upstream uses an address.
type Engines interface {
	Report(ctx context.Context, address string, upstream fleet.Incarnation) (EngineReport, error)
	Move(ctx context.Context, address, callerID string, parts []chain.Stage) (result dispatch.MigrationResult, at string)
	Probe(ctx context.Context, address string, upstream fleet.Incarnation) error
	Identify(ctx context.Context, address, path string, upstream fleet.Incarnation) (fleet.Presence, error)
}
