package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/internal/httpanswer"
)

// Errors that end an attempt.
var (
	errUpstreamBlocked = errors.New("relay: upstream requests a back-off or is leaving")
	errConfigTooOld    = errors.New("relay: configuration is stale or no longer accepts the client key, request is not written")
	errAlreadyWritten  = errors.New("relay: request has already been written")
	errAnswerMismatch  = errors.New("relay: answer belongs to another request")
	errAnswerNotSealed = errors.New("relay: answer has no upstream seal")
	errAnswerEncoded   = errors.New("relay: answer has a content encoding")
	errNotResumable    = errors.New("relay: answer cannot resume the event stream")
	errFailureTooLong  = errors.New("relay: failure of the upstream exceeds the size limit")
	errAttemptPanicked = errors.New("relay: panic while an answer was read")
)

const (
	// maxBufferedAnswer bounds, in bytes, the answers that are buffered until complete. A
	// larger answer is forwarded while it is received; a larger failure only if the request may
	// not be repeated.
	maxBufferedAnswer = 512 << 10
	// chunkSize is the size in bytes of the chunks in which a large answer is forwarded.
	chunkSize = 32 << 10
	// maxQueuedUpdates bounds the updates that an attempt queues for a slow caller.
	maxQueuedUpdates = 8
)

// attemptUpdate is a part of an answer, or the failure of an attempt, sent to the session.
type attemptUpdate struct {
	// head is the response with status and headers; set in the first update of an answer.
	head *http.Response
	// event is set for event streams, data for all other answers.
	event event
	data  []byte
	// end reports that the answer ends with this update.
	end bool
	// failed reports that the attempt has failed; the fields below give the reason.
	failed        bool
	cause         dispatch.Cause
	faultyAddress string
	status        UpstreamStatus
	err           error
	// refusal is that of another node, for CauseNodeRefused.
	refusal dispatch.NodeRefusal
	// upstream is the upstream that produced the answer.
	upstream fleet.Incarnation
}

// attempt sends a request to one upstream or another node and reads the answer.
type attempt struct {
	protocol Protocol
	conns    *upstreamConns
	// blocked reports whether no request may be written to the upstream now, and handleStatus is
	// called with the upstream status of an answer.
	blocked      func() bool
	handleStatus func(upstream fleet.Incarnation, status UpstreamStatus)
	// handleNoLimit is called for an answer that advertises no rate limit, with the time at which
	// the attempt was started.
	handleNoLimit func(upstream fleet.Incarnation, sentAt clock.Millis)
	startedAt     clock.Millis
	// handlePresence is called when a misdirected request shows which incarnation uses the
	// upstream's address.
	handlePresence func(upstream fleet.Incarnation, address string, presence fleet.Presence)
	// ownConnection reports that the attempt uses a connection of its own instead of a pooled
	// one.
	ownConnection bool
	gate          *configGate
	cmd           dispatch.SendCmd
	// servedBy is the upstream that answers at another node, which is known with the answer.
	servedBy fleet.Incarnation
	callerID string
	// key is the client key of the request.
	key string
	// resuming reports that part of the answer has been written to the caller. Only an event
	// stream can resume it; any other answer fails the attempt.
	resuming bool
	// chain holds the engines of the stream, which change when it is migrated; empty for a plain service.
	chain atomic.Pointer[[]chain.Stage]
	// checkEnd is called for an answer that ends with its connection. It returns nil if all upstreams of the
	// attempt outlived that end, or else the address of one that may not have.
	checkEnd func(ctx context.Context, a *attempt) (faultyAddress string, err error)
	// contain limits what a panic over the upstream's bytes costs.
	contain contain.Func
	req     *http.Request
	// status is the upstream status in the headers of the answer.
	status  UpstreamStatus
	updates chan attemptUpdate
	cancel  context.CancelCauseFunc
	// written reports that bytes of the request have been written to the connection, or are
	// about to be.
	written atomic.Bool
}

// outgoing returns the request to an upstream for a caller's request.
func outgoing(ctx context.Context, r *http.Request, address string, body []byte) *http.Request {
	target := &url.URL{
		Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	out := (&http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: forwardedHeaders(r.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: http.NoBody,
	}).WithContext(ctx)
	if len(body) > 0 {
		// net/http never resends a body whose request has no GetBody.
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value stops net/http from adding its default User-Agent.
		out.Header["User-Agent"] = []string{""}
	}
	return out
}

// run makes the attempt. A panic over the bytes of an upstream fails it and costs no other request.
func (a *attempt) run(ctx context.Context) {
	input := func() string {
		return fmt.Sprintf("id=%s attempt=%d upstream=%s address=%s", a.callerID, a.cmd.Attempt, a.cmd.Upstream, a.cmd.Address)
	}
	if !a.contain("attempt", input, func() { a.exchange(ctx) }) {
		a.fail(ctx, a.failureCause(ctx, errAttemptPanicked), "", errAttemptPanicked)
	}
}

// exchange sends the request and reads the answer until it is complete or the attempt is cancelled.
func (a *attempt) exchange(ctx context.Context) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn := guardedConnOf(info.Conn); conn != nil {
				conn.setGuard(a)
			}
		},
	})
	resp, err := a.conns.roundTripper(a.ownConnection).RoundTrip(a.req.WithContext(ctx))
	if err != nil {
		a.fail(ctx, a.failureCause(ctx, err), "", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.readAnswer(ctx, resp)
}

// beforeWrite implements writeGuard. An attempt is written at most once, since only the decider
// decides on retries.
func (a *attempt) beforeWrite() error {
	if a.cmd.RequiresKey && !a.gate.allows(a.cmd.Config, a.key, a.cmd.Account) {
		a.cancel(errConfigTooOld)
		return errConfigTooOld
	}
	if a.blocked() {
		a.cancel(errUpstreamBlocked)
		return errUpstreamBlocked
	}
	if a.written.Swap(true) {
		a.cancel(errAlreadyWritten)
		return errAlreadyWritten
	}
	return nil
}

// nothingWritten implements writeGuard.
func (a *attempt) nothingWritten() { a.written.Store(false) }

// upstream returns the upstream that answers; zero while it is not known.
func (a *attempt) upstream() fleet.Incarnation {
	if a.cmd.Node != "" {
		return a.servedBy
	}
	return a.cmd.Upstream
}

// failureCause returns the cause of an attempt that got no response headers.
func (a *attempt) failureCause(ctx context.Context, err error) dispatch.Cause {
	switch {
	case a.written.Load() && errors.IsAny(err, httpanswer.ErrBrokenHead, httpanswer.ErrProtocolSwitched):
		return dispatch.CauseBrokenAnswer
	case a.written.Load():
		return dispatch.CauseUnknown
	case errors.IsAny(context.Cause(ctx), errConfigTooOld, errUpstreamBlocked):
		return dispatch.CauseStaleConfig
	default:
		return dispatch.CauseNotSent
	}
}

// readAnswer checks the headers of an answer and forwards the answer to the session.
func (a *attempt) readAnswer(ctx context.Context, resp *http.Response) {
	if a.cmd.Node != "" && !a.acceptForwarded(ctx, resp) {
		return
	}
	head := a.protocol.AnswerHead(resp.StatusCode, resp.Header)
	a.recordStatus(head)
	switch {
	case head.ID != "" && head.ID != a.callerID:
		a.fail(ctx, dispatch.CauseUnknown, "", errAnswerMismatch)
		return
	case head.Misdirected:
		if a.cmd.Node == "" && (head.At == "" || head.At == a.cmd.Address) {
			a.handlePresence(a.cmd.Upstream, a.cmd.Address, a.cmd.Upstream.Presence(head.Responder))
		}
		a.fail(ctx, dispatch.CauseMisdirected, head.At, errors.Newf("status %d", resp.StatusCode))
		return
	case head.NotExecuted:
		a.fail(ctx, dispatch.CauseFull, head.At, errors.Newf("status %d", resp.StatusCode))
		return
	case !head.Sealed:
		a.fail(ctx, dispatch.CauseUnknown, "", errAnswerNotSealed)
		return
	case resp.Header.Get("Content-Encoding") != "":
		a.fail(ctx, dispatch.CauseUnknown, "", errAnswerEncoded)
		return
	}
	switch {
	case isEvents(resp) && a.cmd.Route.Kind == catalog.Streaming:
		a.readEvents(ctx, resp)
	case a.resuming:
		a.fail(ctx, dispatch.CauseUpstreamFailed, "", errors.Wrapf(errNotResumable, "status %d", resp.StatusCode))
	default:
		a.readBuffered(ctx, resp)
	}
}

// recordStatus records the upstream status in the headers of an answer. In a late answer to
// another request, only the leaving flag still applies. If the answer names a later engine of
// the chain as the one that could not take the request, the requested back-off applies to that
// engine as well.
func (a *attempt) recordStatus(head AnswerHead) {
	status := head.UpstreamStatus
	if head.ID == a.callerID && !head.Misdirected && !status.HasLimit {
		a.handleNoLimit(a.upstream(), a.startedAt)
	}
	if head.ID != "" && head.ID != a.callerID {
		status.BackOff = 0
	}
	if status.IsZero() {
		return
	}
	a.status = status
	a.handleStatus(a.upstream(), status)
	for _, part := range a.cmd.Chain {
		if part.Address == head.At && part.ID != a.cmd.Upstream && status.BackOff > 0 {
			a.handleStatus(part.ID, UpstreamStatus{BackOff: status.BackOff})
		}
	}
}

func isEvents(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readRemaining forwards the remaining body of an answer that exceeds maxBufferedAnswer.
func (a *attempt) readRemaining(ctx context.Context, resp *http.Response) {
	for {
		data := make([]byte, chunkSize)
		n, err := resp.Body.Read(data)
		if errors.Is(err, io.EOF) {
			a.endBody(ctx, resp, attemptUpdate{data: data[:n], end: true})
			return
		}
		if err != nil {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.emit(ctx, attemptUpdate{data: data[:n]}) {
			return
		}
	}
}

func (a *attempt) fail(ctx context.Context, cause dispatch.Cause, faultyAddress string, err error) {
	a.emit(ctx, attemptUpdate{failed: true, cause: cause, faultyAddress: faultyAddress, status: a.status, err: err})
}

// emit sends an update to the session and reports whether it was accepted before ctx ended.
func (a *attempt) emit(ctx context.Context, update attemptUpdate) bool {
	update.upstream = a.upstream()
	select {
	case a.updates <- update:
		return true
	default:
	}
	select {
	case a.updates <- update:
		return true
	case <-ctx.Done():
		return false
	}
}
