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
	errBarred      = errors.New("relay: the upstream rests or is leaving")
	errGateShut    = errors.New("relay: the configuration is too old for a request with a key")
	errSentTwice   = errors.New("relay: the request was written before")
	errOtherAnswer = errors.New("relay: the answer belongs to another request")
	errNotSealed   = errors.New("relay: the answer is not the upstream's own")
	errEncoded     = errors.New("relay: the answer is encoded")
	errNoStream    = errors.New("relay: an answer that has begun is not gone on with")
)

const (
	// bufferedAnswer is how much of an answer is held back until it is known
	// to be whole, in bytes. A larger one is passed on as it comes.
	bufferedAnswer = 512 << 10
	// pieceSize is the size of the pieces in which a large answer is passed on.
	pieceSize = 32 << 10
	// piecesWaiting bounds the pieces that wait for a slow caller.
	piecesWaiting = 8
)

// piece is what an attempt tells its session.
type piece struct {
	// head is set on the first piece of an answer.
	head *http.Response
	// event is set for streams of events, data for all else.
	event event
	data  []byte
	// end tells that the answer is whole with this piece.
	end bool
	// failed tells that there is no answer, and why.
	failed bool
	cause  dispatch.Cause
	at     string
	word   Word
	err    error
}

// attempt is one sending of a request.
type attempt struct {
	protocol Protocol
	conns    *upstreamConns
	// barred tells whether the upstream may get no request now, and said is told what it
	// says of itself.
	barred func() bool
	said   func(upstream fleet.Incarnation, word Word)
	// unlimited is told of an answer without a limit, and when its request was sent.
	unlimited func(upstream fleet.Incarnation, sent clock.Millis)
	begunAt   clock.Millis
	// answeredBy is told who has answered in the upstream's place.
	answeredBy func(upstream fleet.Incarnation, address string, presence fleet.Presence)
	// alone tells that the attempt has a connection of its own.
	alone    bool
	gate     *gate
	cmd      dispatch.SendCmd
	callerID string
	// resumes tells that the caller's answer has begun. Only a stream of events can
	// go on with it; what else an upstream says is its failure to do so.
	resumes bool
	req     *http.Request
	// word is what the upstream has said of itself in the head of its answer.
	word   Word
	pieces chan piece
	cancel context.CancelCauseFunc
	// wrote tells that bytes of the request have gone out, or are about to.
	wrote atomic.Bool
}

// outgoing builds the request of an attempt from the caller's.
func outgoing(ctx context.Context, r *http.Request, address string, body []byte) *http.Request {
	target := &url.URL{
		Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	out := (&http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: passedOn(r.Header),
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
				conn.arm(a)
			}
		},
	})
	resp, err := a.conns.choose(a.alone).RoundTrip(a.req.WithContext(ctx))
	if err != nil {
		a.fail(ctx, a.causeOf(ctx), "", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.read(ctx, resp)
}

// mayWrite implements sendGuard. An attempt is written once: whether it is
// repeated is the decider's to say.
func (a *attempt) mayWrite() error {
	if a.cmd.RequiresKey && !a.gate.open(a.cmd.Config) {
		a.cancel(errGateShut)
		return errGateShut
	}
	if a.barred() {
		a.cancel(errBarred)
		return errBarred
	}
	if a.wrote.Swap(true) {
		a.cancel(errSentTwice)
		return errSentTwice
	}
	return nil
}

// notWritten implements sendGuard.
func (a *attempt) notWritten() { a.wrote.Store(false) }

// causeOf says why there is no answer.
func (a *attempt) causeOf(ctx context.Context) dispatch.Cause {
	switch {
	case a.wrote.Load():
		return dispatch.CauseUnknown
	case errors.IsAny(context.Cause(ctx), errGateShut, errBarred):
		return dispatch.CauseStaleConfig
	default:
		return dispatch.CauseNotSent
	}
}

// read judges the head of an answer, and passes the answer on.
func (a *attempt) read(ctx context.Context, resp *http.Response) {
	head := a.protocol.AnswerHead(resp.StatusCode, resp.Header)
	a.hear(head)
	switch {
	case head.ID != "" && head.ID != a.callerID:
		a.fail(ctx, dispatch.CauseUnknown, "", errOtherAnswer)
		return
	case head.Misdirected:
		if head.At == "" || head.At == a.cmd.Address {
			a.answeredBy(a.cmd.Upstream, a.cmd.Address, a.cmd.Upstream.Presence(head.Answerer))
		}
		a.fail(ctx, dispatch.CauseMisdirected, head.At, errors.Newf("status %d", resp.StatusCode))
		return
	case head.NotRun:
		a.fail(ctx, dispatch.CauseFull, head.At, errors.Newf("status %d", resp.StatusCode))
		return
	case !head.Sealed:
		a.fail(ctx, dispatch.CauseUnknown, "", errNotSealed)
		return
	case resp.Header.Get("Content-Encoding") != "":
		a.fail(ctx, dispatch.CauseUnknown, "", errEncoded)
		return
	}
	switch {
	case isEvents(resp) && a.cmd.Route.Kind == catalog.Streaming:
		a.readEvents(ctx, resp)
	case a.resumes:
		a.fail(ctx, dispatch.CauseUpstreamFailed, "", errors.Wrapf(errNoStream, "status %d", resp.StatusCode))
	default:
		a.readWhole(ctx, resp)
	}
}

// hear takes in what the upstream says of itself. In a late answer to another request only
// its leaving is still so. Where it names another engine of the chain that could not take
// the request, that one has asked through it.
func (a *attempt) hear(head AnswerHead) {
	word := head.Word
	if head.ID == a.callerID && !head.Misdirected && !word.Limited {
		a.unlimited(a.cmd.Upstream, a.begunAt)
	}
	if head.ID != "" && head.ID != a.callerID {
		word.Rest = 0
	}
	if word.IsZero() {
		return
	}
	a.word = word
	a.said(a.cmd.Upstream, word)
	for _, p := range a.cmd.Chain {
		if p.Address == head.At && p.ID != a.cmd.Upstream && word.Rest > 0 {
			a.said(p.ID, Word{Rest: word.Rest})
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
			a.send(ctx, piece{head: head, end: true})
			return
		}
		if err != nil {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.send(ctx, piece{head: head, event: ev}) {
			return
		}
		head = nil
	}
}

// readWhole holds an answer back until it is whole, if it is not too large.
func (a *attempt) readWhole(ctx context.Context, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer))
	if err != nil {
		a.fail(ctx, dispatch.CauseUnknown, "", err)
		return
	}
	if len(data) < bufferedAnswer {
		a.send(ctx, piece{head: resp, data: data, end: true})
		return
	}
	if a.send(ctx, piece{head: resp, data: data}) {
		a.readRest(ctx, resp.Body)
	}
}

// readRest passes on the rest of an answer that is too large to hold back.
func (a *attempt) readRest(ctx context.Context, body io.Reader) {
	for {
		data := make([]byte, pieceSize)
		n, err := body.Read(data)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			a.fail(ctx, dispatch.CauseUnknown, "", err)
			return
		}
		if !a.send(ctx, piece{data: data[:n], end: end}) || end {
			return
		}
	}
}

func (a *attempt) fail(ctx context.Context, cause dispatch.Cause, at string, err error) {
	a.send(ctx, piece{failed: true, cause: cause, at: at, word: a.word, err: err})
}

// send hands a piece to the session, and reports whether it still listens.
func (a *attempt) send(ctx context.Context, p piece) bool {
	select {
	case a.pieces <- p:
		return true
	default:
	}
	select {
	case a.pieces <- p:
		return true
	case <-ctx.Done():
		return false
	}
}
