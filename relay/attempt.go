package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Errors of an attempt.
var (
	errUpstreamBlocked = errors.New("relay: the upstream rests or is leaving")
	errConfigTooOld    = errors.New("relay: the configuration is too old for a request with a key")
	errAlreadyWritten  = errors.New("relay: the request was written before")
	errAnswerMismatch  = errors.New("relay: the answer belongs to another request")
	errAnswerNotSealed = errors.New("relay: the answer is not the upstream's own")
	errAnswerEncoded   = errors.New("relay: the answer is encoded")
	errNotResumable    = errors.New("relay: an answer that has begun is not gone on with")
)

const (
	// maxBufferedAnswer is how much of an answer is held back until it is known
	// to be whole, in bytes. A larger one is passed on as it comes.
	maxBufferedAnswer = 512 << 10
	// chunkSize is the size of the pieces in which a large answer is passed on.
	chunkSize = 32 << 10
	// maxQueuedUpdates bounds the pieces that wait for a slow caller.
	maxQueuedUpdates = 8
)

// attemptUpdate is what an attempt tells its session.
type attemptUpdate struct {
	// head is set on the first piece of an answer.
	head *http.Response
	// event is set for streams of events, data for all else.
	event event
	data  []byte
	// end tells that the answer is whole with this piece.
	end bool
	// failed tells that there is no answer, and why.
	failed        bool
	cause         dispatch.Cause
	faultyAddress string
	status        UpstreamStatus
	err           error
}

// attempt is one sending of a request.
type attempt struct {
	protocol Protocol
	conns    *upstreamConns
	// blocked tells whether the upstream may get no request now, and said is told what it
	// says of itself.
	blocked      func() bool
	handleStatus func(upstream fleet.Incarnation, word UpstreamStatus)
	// handleNoLimit is told of an answer without a limit, and when its request was sent.
	handleNoLimit func(upstream fleet.Incarnation, sent clock.Millis)
	startedAt     clock.Millis
	// handlePresence is told who has answered in the upstream's place.
	handlePresence func(upstream fleet.Incarnation, address string, presence fleet.Presence)
	// ownConnection tells that the attempt has a connection of its own.
	ownConnection bool
	gate          *configGate
	cmd           dispatch.SendCmd
	callerID      string
	// resuming tells that the caller's answer has begun. Only a stream of events can
	// go on with it; what else an upstream says is its failure to do so.
	resuming bool
	req      *http.Request
	// status is what the upstream has said of itself in the head of its answer.
	status  UpstreamStatus
	updates chan attemptUpdate
	cancel  context.CancelCauseFunc
	// written tells that bytes of the request have gone out, or are about to.
	written atomic.Bool
}

// outgoing builds the request of an attempt from the caller's.
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
		// A body without GetBody is never sent a second time by net/http.
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	return out
}

// run sends the request and reads the answer until it ends or the attempt is
// cancelled.
func (a *attempt) run(ctx context.Context) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.setGuard(a)
			}
		},
	})
	resp, err := a.conns.roundTripper(a.ownConnection).RoundTrip(a.req.WithContext(ctx))
	if err != nil {
		a.fail(ctx, a.failureCause(ctx), "", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.readAnswer(ctx, resp)
}

// beforeWrite implements writeGuard. An attempt is written once: whether it is
// repeated is the decider's to say.
func (a *attempt) beforeWrite() error {
	if a.cmd.RequiresKey && !a.gate.allows(a.cmd.Config) {
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

// failureCause says why there is no answer.
func (a *attempt) failureCause(ctx context.Context) dispatch.Cause {
	switch {
	case a.written.Load():
		return dispatch.CauseUnknown
	case errors.IsAny(context.Cause(ctx), errConfigTooOld, errUpstreamBlocked):
		return dispatch.CauseStaleConfig
	default:
		return dispatch.CauseNotSent
	}
}

// readAnswer judges the head of an answer, and passes the answer on.
func (a *attempt) readAnswer(ctx context.Context, resp *http.Response) {
	head := a.protocol.AnswerHead(resp.StatusCode, resp.Header)
	a.recordStatus(head)
	switch {
	case head.ID != "" && head.ID != a.callerID:
		a.fail(ctx, dispatch.CauseUnknown, "", errAnswerMismatch)
		return
	case head.Misdirected:
		if head.At == "" || head.At == a.cmd.Address {
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

// recordStatus takes in what the upstream says of itself. In a late answer to another request only
// its leaving is still so. Where it names another engine of the chain that could not take
// the request, that one has asked through it.
func (a *attempt) recordStatus(head AnswerHead) {
	word := head.UpstreamStatus
	if head.ID == a.callerID && !head.Misdirected && !word.HasLimit {
		a.handleNoLimit(a.cmd.Upstream, a.startedAt)
	}
	if head.ID != "" && head.ID != a.callerID {
		word.BackOff = 0
	}
	if word.IsZero() {
		return
	}
	a.status = word
	a.handleStatus(a.cmd.Upstream, word)
	for _, p := range a.cmd.Chain {
		if p.Address == head.At && p.ID != a.cmd.Upstream && word.BackOff > 0 {
			a.handleStatus(p.ID, UpstreamStatus{BackOff: word.BackOff})
		}
	}
}

func isEvents(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readEvents passes the events of a stream on. One that has neither a length nor
// chunks ends when its connection is closed. That is a way to answer that upstreams
// have, and an end like any other: whoever breaks such a stream off resets its
// connection, which is an error here, and one that stops within an event is told by
// that. A close between two events cannot be told from the end, since events do not
// say which is the last, and asking another upstream for what may follow would run
// each such stream twice.
func (a *attempt) readEvents(ctx context.Context, resp *http.Response) {
	events := newEventReader(resp.Body)
	head := resp
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			a.emit(ctx, attemptUpdate{head: head, end: true})
			return
		}
		if err != nil {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.emit(ctx, attemptUpdate{head: head, event: ev}) {
			return
		}
		head = nil
	}
}

// readBuffered holds an answer back until it is whole, if it is not too large.
func (a *attempt) readBuffered(ctx context.Context, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		a.fail(ctx, dispatch.CauseUnknown, "", err)
		return
	}
	if len(data) < maxBufferedAnswer {
		a.emit(ctx, attemptUpdate{head: resp, data: data, end: true})
		return
	}
	if a.emit(ctx, attemptUpdate{head: resp, data: data}) {
		a.readRemaining(ctx, resp.Body)
	}
}

// readRemaining passes on the rest of an answer that is too large to hold back.
func (a *attempt) readRemaining(ctx context.Context, body io.Reader) {
	for {
		data := make([]byte, chunkSize)
		n, err := body.Read(data)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.emit(ctx, attemptUpdate{data: data[:n], end: end}) || end {
			return
		}
	}
}

func (a *attempt) fail(ctx context.Context, cause dispatch.Cause, at string, err error) {
	a.emit(ctx, attemptUpdate{failed: true, cause: cause, faultyAddress: at, status: a.status, err: err})
}

// emit hands a piece to the session, and reports whether it still listens.
func (a *attempt) emit(ctx context.Context, p attemptUpdate) bool {
	select {
	case a.updates <- p:
		return true
	default:
	}
	select {
	case a.updates <- p:
		return true
	case <-ctx.Done():
		return false
	}
}
